package objects

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rates are calls a second that the platform gives the whole fleet.
type Rates struct {
	Reads  float64 // watches and lists included
	Writes float64
}

// Share returns an instance's part of the fleet's rates.
func (r Rates) Share(instances int) Rates {
	n := float64(max(1, instances))
	return Rates{Reads: r.Reads / n, Writes: r.Writes / n}
}

const (
	// burstTime is how long an unused budget adds up.
	burstTime = 2 * time.Second
	// minBurst lets one instance start and drain at any fleet size.
	minBurst = 20
)

// reserved is the part of a burst that calls of a priority leave to those
// before them.
var reserved = [...]float64{PriorityLease: 0, PriorityConfig: 0.1, PriorityLedger: 0.25, PriorityStatus: 0.5}

// Budget bounds an instance's calls. It is safe for concurrent use.
type Budget struct{ reads, writes *bucket }

// NewBudget returns a full budget.
func NewBudget(r Rates) *Budget {
	return &Budget{reads: newBucket(r.Reads), writes: newBucket(r.Writes)}
}

// take waits until a call may be sent. Calls of the last priority do not wait;
// they and those whose ctx ends first get ErrBudget.
func (b *Budget) take(ctx context.Context, c call) error {
	if b == nil {
		return nil
	}
	bucket := b.reads
	if c.write {
		bucket = b.writes
	}
	for {
		wait := bucket.take(time.Now(), c.priority)
		if wait == 0 {
			return nil
		}
		if c.priority == PriorityStatus || !pause(ctx, wait) {
			return ErrBudget
		}
	}
}

// bucket is a token bucket of which a part is kept for urgent calls.
type bucket struct {
	mu      sync.Mutex // makes look and take one step
	limiter *rate.Limiter
}

func newBucket(perSecond float64) *bucket {
	burst := max(minBurst, int(perSecond*burstTime.Seconds()))
	return &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// take takes a token and returns 0, or returns how long to wait for one.
func (b *bucket) take(now time.Time, p Priority) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	need := 1 + reserved[p]*float64(b.limiter.Burst())
	missing := need - b.limiter.TokensAt(now)
	if missing <= 0 {
		b.limiter.AllowN(now, 1)
		return 0
	}
	seconds := missing / float64(b.limiter.Limit())
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
