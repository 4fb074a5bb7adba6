package usage

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Timing of copying to peers.
const (
	// PushInterval is how often running requests are copied.
	PushInterval = 500 * time.Millisecond
	// retryPause is the wait after a push that no peer took.
	retryPause = 100 * time.Millisecond
	// pushMarks is how many windows a push holds, so that one may be lost.
	pushMarks = 3
)

// Pusher sends lines to the peers that hold this instance's copies. It returns
// how many took them, and whether these are all the peers that should and they
// had everything before; otherwise the next push repeats all lines.
type PushFunc func(ctx context.Context, lines []Line) (holders int, complete bool)

// Replicator copies a meter's totals to peers. Requests that end at the same
// time share one push.
type Replicator struct {
	meter *Meter
	push  PushFunc
	clock clockwork.Clock
	after uint64 // all holders have the changes up to this one; used by Run only

	mu     sync.Mutex // guards all below
	copied uint64     // at least one peer has the changes up to this one
	moved  chan struct{}
}

// NewReplicator returns a Replicator; Run does the work.
func NewReplicator(meter *Meter, push PushFunc, clock clockwork.Clock) *Replicator {
	return &Replicator{meter: meter, push: push, clock: clock, moved: make(chan struct{})}
}

// Run pushes whenever a request has ended, and at every interval, until ctx
// ends. After a push that nobody took it pauses.
func (r *Replicator) Run(ctx context.Context) {
	ticker := r.clock.NewTicker(PushInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		ended, added := r.meter.Ended()
		taken := true
		if ended > r.copiedUpTo() {
			taken = r.pushOnce(ctx)
		}
		if taken {
			select {
			case <-added:
				continue
			case <-ticker.Chan():
			case <-ctx.Done():
				return
			}
			r.pushOnce(ctx)
			continue
		}
		select {
		case <-r.clock.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// pushOnce reports whether at least one peer has everything now.
func (r *Replicator) pushOnce(ctx context.Context) bool {
	lines, sequence := r.meter.Lines(r.clock.Now(), pushMarks, r.after)
	if len(lines) == 0 {
		return true
	}
	holders, complete := r.push(ctx, lines)
	r.after = sequence
	if !complete {
		r.after = 0
	}
	if holders == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copied = sequence
	close(r.moved)
	r.moved = make(chan struct{})
	return true
}

func (r *Replicator) copiedUpTo() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.copied
}

// Wait returns true once a peer has every request that has ended so far, or
// false when ctx ends first.
func (r *Replicator) Wait(ctx context.Context) bool {
	wanted, _ := r.meter.Ended()
	for {
		r.mu.Lock()
		copied, moved := r.copied, r.moved
		r.mu.Unlock()
		if copied >= wanted {
			return true
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return false
		}
	}
}
