package idempotency

import (
	"context"
	"slices"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// handoverRecords is how many records one call hands over.
const handoverRecords = 256

// Retire hands this instance's records over to those that hold them without it,
// and tells all members that it has. It takes no claims from then on. After an
// error nobody relies on the handover.
func (c *Coordinator) Retire(ctx context.Context, members []objects.Member) error {
	me := c.me()
	members = slices.DeleteFunc(slices.Clone(members), func(m objects.Member) bool { return m.Name == me.Name })
	calls := c.holder.handovers(members)
	for _, m := range members {
		if err := c.handOver(ctx, me.Name, m, calls[m.Name]); err != nil {
			return err
		}
	}
	for _, m := range members {
		if err := c.call(ctx, m, "Handover", HandoverCall{From: me.Name, Complete: true}, &struct{}{}); err != nil {
			return oops.In("idempotency").With("step", "retire", "peer", m.Name).Wrap(err)
		}
	}
	return nil
}

func (c *Coordinator) handOver(ctx context.Context, from string, to objects.Member, all HandoverCall) error {
	for start := 0; start < len(all.Keys); start += handoverRecords {
		end := min(start+handoverRecords, len(all.Keys))
		part := HandoverCall{From: from, Keys: all.Keys[start:end], Records: all.Records[start:end]}
		if err := c.call(ctx, to, "Handover", part, &struct{}{}); err != nil {
			return oops.In("idempotency").With("step", "handover", "peer", to.Name).Wrap(err)
		}
	}
	return nil
}

// handovers closes the holder and sorts its records by those that must have them.
func (h *Holder) handovers(members []objects.Member) map[string]HandoverCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	calls := map[string]HandoverCall{}
	h.held.Each(func(key Key, record Record) {
		for _, m := range holdersOf(members, key) {
			call := calls[m.Name]
			call.Keys = append(call.Keys, key)
			call.Records = append(call.Records, record)
			calls[m.Name] = call
		}
	})
	return calls
}
