// Package operator is the operators' command line as a library.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/platform"
)

// Exit codes of the command.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command could not be carried out
	ExitInvalid  = 2 // the files have faults
	ExitConflict = 3 // another operator was first
	ExitLagging  = 4 // accepted, but not in force everywhere in time
)

// Error carries the exit code of a failure.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error of this package.
func ExitCode(err error) int {
	var coded *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	}
	return ExitFailed
}

// Operator carries out commands.
type Operator struct {
	Store platform.Store
	// Admin is the admin IP:port of any instance, for status and waiting.
	Admin string
	Out   io.Writer
	JSON  bool
}

// Load reads and checks configuration files.
func Load(paths []string) (*contract.Bundle, error) {
	files, err := contract.ReadFiles(paths)
	if err != nil {
		return nil, err
	}
	bundle, err := contract.Parse(files)
	if err != nil {
		return nil, &Error{Code: ExitInvalid, Err: err}
	}
	return bundle, nil
}

// Accepted returns the accepted bundle of a deployment and its object version.
// Both are zero when none was ever applied.
func (o *Operator) Accepted(ctx context.Context, deployment string) (contract.Accepted, platform.Version, error) {
	var accepted contract.Accepted
	object, err := o.Store.Get(ctx, platform.KindConfig, deployment)
	if errors.Is(err, platform.ErrNotFound) {
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
	next := contract.Accepted{Revision: before.Revision + 1, Digest: digest, By: by, Bundle: *bundle}
	_, err = o.Store.Put(ctx, platform.KindConfig, bundle.Deployment, version, next)
	if errors.Is(err, platform.ErrConflict) {
		return next, &Error{Code: ExitConflict, Err: fmt.Errorf("another operator applied a configuration after revision %d; look at 'pomelocross diff' and apply again", before.Revision)}
	}
	if err == nil {
		return next, nil
	}
	return next, o.settle(ctx, next, err)
}

// settle finds out whether a write whose answer was lost took effect.
func (o *Operator) settle(ctx context.Context, next contract.Accepted, cause error) error {
	stored, _, err := o.Accepted(ctx, next.Bundle.Deployment)
	if err != nil {
		return oops.In("operator").Wrapf(errors.Join(cause, err), "it is not known whether revision %d was accepted; run 'pomelocross get' when the platform answers", next.Revision)
	}
	if stored.Revision == next.Revision && stored.Digest == next.Digest && stored.By == next.By {
		return nil
	}
	return cause
}

const waitPoll = 200 * time.Millisecond

// WaitInForce waits until every listed instance has at least revision in force
// and names those that lag when ctx ends.
func (o *Operator) WaitInForce(ctx context.Context, revision contract.Revision) error {
	for {
		all, err := o.AllStatus(ctx)
		lagging := lagging(all, revision)
		if err == nil && len(all) > 0 && len(lagging) == 0 {
			fmt.Fprintf(o.Out, "revision %d is in force at %d instances\n", revision, len(all))
			return nil
		}
		select {
		case <-ctx.Done():
			return &Error{Code: ExitLagging, Err: fmt.Errorf("revision %d is accepted but not in force at: %v", revision, lagging)}
		case <-time.After(waitPoll):
		}
	}
}
