package idempotency

import (
	"context"
	"slices"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// handoverBatchSize is the maximum number of records in one Handover call.
const handoverBatchSize = 256

// Retire stops accepting claims and transfers the records of this instance to the
// members that become their holders after it has stopped. It then notifies all members
// that the handover is complete. Members rely on the handover only after this
// notification; if the transfer fails, it is not sent.
func (c *Coordinator) Retire(ctx context.Context, members []objects.Member) error {
	self := c.localMember()
	members = slices.DeleteFunc(slices.Clone(members), func(m objects.Member) bool { return m.Name == self.Name })
	calls := c.holder.prepareHandover(members)
	for _, m := range members {
		if err := c.sendRecords(ctx, self.Name, m, calls[m.Name]); err != nil {
			return err
		}
	}
	for _, m := range members {
		if err := c.call(ctx, m, "Handover", HandoverCall{From: self.Name, Complete: true}, &struct{}{}); err != nil {
			return oops.In("idempotency").With("step", "retire", "peer", m.Name).Wrap(err)
		}
	}
	return nil
}

// sendRecords sends the records of handover to a member, in batches.
func (c *Coordinator) sendRecords(ctx context.Context, from string, to objects.Member, handover HandoverCall) error {
	for start := 0; start < len(handover.Keys); start += handoverBatchSize {
		end := min(start+handoverBatchSize, len(handover.Keys))
		batch := HandoverCall{From: from, Keys: handover.Keys[start:end], Records: handover.Records[start:end]}
		if err := c.call(ctx, to, "Handover", batch, &struct{}{}); err != nil {
			return oops.In("idempotency").With("step", "handover", "peer", to.Name).Wrap(err)
		}
	}
	return nil
}

// prepareHandover makes the holder reject claims, and groups its records by the names
// of their new holders.
func (h *Holder) prepareHandover(members []objects.Member) map[string]HandoverCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	calls := map[string]HandoverCall{}
	h.records.Each(func(key Key, record Record) {
		for _, m := range holdersOf(members, key) {
			call := calls[m.Name]
			call.Keys = append(call.Keys, key)
			call.Records = append(call.Records, record)
			calls[m.Name] = call
		}
	})
	return calls
}
