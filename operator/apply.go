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

// confirmInterval is the pause between two reads that check whether a write took
// effect.
const confirmInterval = 200 * time.Millisecond

// Accepted returns the accepted bundle of a deployment and its object version.
// Both are zero if no bundle has been applied yet.
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

// Apply makes bundle the accepted one, as a whole or not at all. It fails with
// ExitConflict if another operator applied a bundle in the meantime. Applying the bundle that is
// already accepted has no effect.
func (o *Operator) Apply(ctx context.Context, bundle *contract.Bundle, by string) (contract.Accepted, error) {
	digest, err := contract.Digest(bundle)
	if err != nil {
		return contract.Accepted{}, err
	}
	previous, version, err := o.Accepted(ctx, bundle.Deployment)
	if err != nil || previous.Digest == digest {
		return previous, err
	}
	next := previous.Next(bundle, digest, by, uuid.NewString(), time.Now())
	if err := checkSize(next); err != nil {
		return previous, err
	}
	_, err = o.Store.Put(ctx, objects.KindConfig, bundle.Deployment, version, next)
	if errors.Is(err, objects.ErrConflict) {
		return previous, o.conflictError(ctx, previous, bundle.Deployment)
	}
	if err != nil {
		if err := o.confirmWrite(ctx, next, err); err != nil {
			return previous, err
		}
	}
	if _, err := o.storeHistory(ctx, bundle.Deployment, next.Recent); err != nil {
		fmt.Fprintf(o.progress(), "the history could not be stored; the next apply or history command stores it: %v\n", err)
	}
	return next, nil
}

// checkSize returns an error if the bundle does not fit in a single object of the
// platform. An apply is all or nothing because it writes a single object.
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

// conflictError returns an error that names the operator whose bundle was applied first
// and its revision.
func (o *Operator) conflictError(ctx context.Context, previous contract.Accepted, deployment string) error {
	appliedBy := "another operator"
	if current, _, err := o.Accepted(ctx, deployment); err == nil && current.Revision > previous.Revision {
		appliedBy = fmt.Sprintf("%s, with revision %d,", current.By, current.Revision)
	}
	return &Error{Code: ExitConflict, Err: fmt.Errorf("%s was first after revision %d; nothing of yours was applied: look at 'pomelocross diff' and apply again", appliedBy, previous.Revision)}
}

// confirmWrite determines whether a write whose response was lost took effect; it
// retries until ctx ends. A delayed write can still take effect after a read that
// does not show it, so only a newer revision proves that it did not.
func (o *Operator) confirmWrite(ctx context.Context, next contract.Accepted, cause error) error {
	applyID := next.Recent[len(next.Recent)-1].Apply
	for {
		stored, version, err := o.Accepted(ctx, next.Bundle.Deployment)
		switch {
		case err == nil && stored.IncludesApply(applyID):
			return nil
		case err == nil && stored.Revision >= next.Revision+contract.RecentEntries:
			return oops.In("operator").With("step", "confirm write").Wrapf(cause, "too many revisions were applied after revision %d to tell whether it was yours; run 'pomelocross history' to find out", next.Revision)
		case err == nil && stored.Revision >= next.Revision:
			return &Error{Code: ExitConflict, Err: fmt.Errorf("%s applied revision %d first; none of your changes were applied", stored.By, stored.Revision)}
		case err == nil:
			// The write is conditional, so repeating it takes effect no more than once.
			_, cause = o.Store.Put(ctx, objects.KindConfig, next.Bundle.Deployment, version, next)
			if cause == nil {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return oops.In("operator").With("step", "confirm write").Wrapf(errors.Join(cause, err), "it is unknown whether revision %d was accepted; run 'pomelocross history' when the platform is available again", next.Revision)
		case <-time.After(confirmInterval):
		}
	}
}
