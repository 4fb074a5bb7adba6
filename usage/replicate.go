package usage

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Parameters of copying to peers.
const (
	// PushInterval is how often the totals of running requests are copied.
	PushInterval = 500 * time.Millisecond
	// retryDelay is the delay after a push that no peer accepted.
	retryDelay = 100 * time.Millisecond
	// pushMarks is the number of windows in a push. Recent windows are included again, in
	// case one push is lost.
	pushMarks = 3
)

// PushFunc sends lines to the peers that hold copies for this instance. It returns the
// number of peers that accepted them. complete reports whether these are all the selected
// peers and each of them had all previous pushes; if not, the next push repeats all lines.
type PushFunc func(ctx context.Context, lines []Line) (accepted int, complete bool)

// Replicator copies the totals of a Meter to peers. Requests that end at about the same
// time share one push.
type Replicator struct {
	meter      *Meter
	push       PushFunc
	clock      clockwork.Clock
	pushedUpTo uint64 // all selected peers have the changes up to this sequence number; used by Run only

	mu             sync.Mutex    // guards the fields below
	replicatedUpTo uint64        // at least one peer has the changes up to this sequence number
	progress       chan struct{} // closed and replaced when replicatedUpTo changes
}

// NewReplicator returns a Replicator. It copies nothing until Run is called.
func NewReplicator(meter *Meter, push PushFunc, clock clockwork.Clock) *Replicator {
	return &Replicator{meter: meter, push: push, clock: clock, progress: make(chan struct{})}
}

// Run pushes after each end of a request, and every PushInterval, until ctx ends. If no
// peer accepts a push for ended requests, it retries after retryDelay.
func (r *Replicator) Run(ctx context.Context) {
	ticker := r.clock.NewTicker(PushInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		ended, requestEnded := r.meter.Ended()
		replicated := true
		if ended > r.replicated() {
			replicated = r.pushOnce(ctx)
		}
		if replicated {
			select {
			case <-requestEnded:
				continue
			case <-ticker.Chan():
			case <-ctx.Done():
				return
			}
			r.pushOnce(ctx)
			continue
		}
		select {
		case <-r.clock.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// pushOnce pushes all changes and reports whether at least one peer now has them.
func (r *Replicator) pushOnce(ctx context.Context) bool {
	lines, sequence := r.meter.Lines(r.clock.Now(), pushMarks, r.pushedUpTo)
	if len(lines) == 0 {
		return true
	}
	accepted, complete := r.push(ctx, lines)
	r.pushedUpTo = sequence
	if !complete {
		r.pushedUpTo = 0
	}
	if accepted == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicatedUpTo = sequence
	close(r.progress)
	r.progress = make(chan struct{})
	return true
}

// replicated returns the sequence number up to which at least one peer has all changes.
func (r *Replicator) replicated() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replicatedUpTo
}

// Wait waits until at least one peer has all requests that ended before the call. It
// returns false if ctx ends first.
func (r *Replicator) Wait(ctx context.Context) bool {
	target, _ := r.meter.Ended()
	for {
		r.mu.Lock()
		replicatedUpTo, progress := r.replicatedUpTo, r.progress
		r.mu.Unlock()
		if replicatedUpTo >= target {
			return true
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}
