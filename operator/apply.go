package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
)

// settlePause is how long to wait before asking again what became of a write.
const settlePause = 200 * time.Millisecond

// Accepted returns the accepted bundle of a deployment and its object version.
// Both are zero when none was ever applied.
func (o *Operator) Accepted(ctx context.Context, deployment string) (contract.Accepted, objects.Version, error) {
	var accepted contract.Accepted
	object, err := o.Store.Get(ctx, objects.KindConfig, deployment)
	if errors.Is(err, objects.ErrNotFound) {
		return accepted, 0, nil
	}
	if err != nil {
		return accepted, 0, err
	}
	if err := json.Unmarshal(object.Value, &accepted); err != nil {
		return accepted, 0, oops.In("operator").Wrapf(err, "decode accepted configuration")
	}
	return accepted, object.Version, nil
}

// Apply makes bundle the accepted one, whole, unless another operator applied
// one meanwhile. Applying what is accepted already changes nothing.
func (o *Operator) Apply(ctx context.Context, bundle *contract.Bundle, by string) (contract.Accepted, error) {
	digest, err := contract.Digest(bundle)
	if err != nil {
		return contract.Accepted{}, err
	}
	before, version, err := o.Accepted(ctx, bundle.Deployment)
	if err != nil || before.Digest == digest {
		return before, err
	}
	next := before.Next(bundle, digest, by, uuid.NewString(), time.Now())
	if err := checkSize(next); err != nil {
		return before, err
	}
	_, err = o.Store.Put(ctx, objects.KindConfig, bundle.Deployment, version, next)
	if errors.Is(err, objects.ErrConflict) {
		return before, o.conflict(ctx, before, bundle.Deployment)
	}
	if err != nil {
		if err := o.settle(ctx, next, err); err != nil {
			return before, err
		}
	}
	if _, err := o.storeHistory(ctx, bundle.Deployment, next.Recent); err != nil {
		fmt.Fprintf(o.progress(), "the history was not stored and will be with the next command: %v\n", err)
	}
	return next, nil
}

// checkSize refuses a bundle that the platform cannot hold as one object, which
// is what makes an apply whole or nothing.
func checkSize(a contract.Accepted) error {
	data, err := json.Marshal(a)
	if err != nil {
		return oops.In("operator").With("step", "encode").Wrap(err)
	}
	if len(data) <= objects.MaxValueBytes {
		return nil
	}
	return &Error{Code: ExitInvalid, Err: fmt.Errorf("the configuration takes %d bytes as the platform stores it; the limit is %d", len(data), objects.MaxValueBytes)}
}

// conflict tells which revision of whom was first.
func (o *Operator) conflict(ctx context.Context, before contract.Accepted, deployment string) error {
	winner := "another operator"
	if now, _, err := o.Accepted(ctx, deployment); err == nil && now.Revision > before.Revision {
		winner = fmt.Sprintf("%s, with revision %d,", now.By, now.Revision)
	}
	return &Error{Code: ExitConflict, Err: fmt.Errorf("%s was first after revision %d; nothing of yours was applied: look at 'pomelocross diff' and apply again", winner, before.Revision)}
}

// settle finds out whether a write whose answer was lost took effect, for as
// long as ctx lasts. A write that is late may still take effect after a reading
// that does not show it, so only a newer revision proves that it has not.
func (o *Operator) settle(ctx context.Context, next contract.Accepted, cause error) error {
	apply := next.Recent[len(next.Recent)-1].Apply
	for {
		stored, version, err := o.Accepted(ctx, next.Bundle.Deployment)
		switch {
		case err == nil && stored.IncludesApply(apply):
			return nil
		case err == nil && stored.Revision >= next.Revision+contract.RecentEntries:
			return oops.In("operator").With("step", "settle").Wrapf(cause, "revision %d is no longer recent; 'pomelocross history' tells whether it was yours", next.Revision)
		case err == nil && stored.Revision >= next.Revision:
			return &Error{Code: ExitConflict, Err: fmt.Errorf("%s was first with revision %d; nothing of yours was applied", stored.By, stored.Revision)}
		case err == nil:
			// The same conditional write again has one effect at most.
			_, cause = o.Store.Put(ctx, objects.KindConfig, next.Bundle.Deployment, version, next)
			if cause == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return oops.In("operator").With("step", "settle").Wrapf(errors.Join(cause, err), "it is not known whether revision %d was accepted; run 'pomelocross history' when the platform answers", next.Revision)
		case <-time.After(settlePause):
		}
	}
}
