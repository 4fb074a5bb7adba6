package objects

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Rates are the call rates, per second, that the platform allows the whole fleet.
type Rates struct {
	Reads  float64 // including watches and lists
	Writes float64
}

// Share returns one instance's equal share of the fleet's rates.
func (r Rates) Share(instances int) Rates {
	n := float64(max(1, instances))
	return Rates{Reads: r.Reads / n, Writes: r.Writes / n}
}

const (
	// burstWindow is the time over which unused budget accumulates.
	burstWindow = 2 * time.Second
	// minBurst is in calls: enough for one instance to start and drain at any
	// fleet size.
	minBurst = 20
)

// reservedShare is the fraction of the burst that calls of a priority leave for more
// urgent calls.
var reservedShare = [...]float64{PriorityLease: 0, PriorityConfig: 0.1, PriorityLedger: 0.25, PriorityStatus: 0.5}

// Budget limits the call rate of one instance. It is safe for concurrent use.
type Budget struct{ reads, writes *bucket }

// NewBudget returns a Budget whose token buckets are full.
func NewBudget(r Rates) *Budget {
	return &Budget{reads: newBucket(r.Reads), writes: newBucket(r.Writes)}
}

// wait blocks until a call may be sent. It returns ErrBudget if ctx ends first. Calls
// of PriorityStatus never wait and get ErrBudget at once. A nil Budget allows every
// call.
func (b *Budget) wait(ctx context.Context, c callClass) error {
	if b == nil {
		return nil
	}
	bucket := b.reads
	if c.write {
		bucket = b.writes
	}
	for {
		wait := bucket.tryTake(time.Now(), c.priority)
		if wait == 0 {
			return nil
		}
		if c.priority == PriorityStatus || !sleep(ctx, wait) {
			return ErrBudget
		}
	}
}

// bucket is a token bucket that keeps part of its burst for urgent calls.
type bucket struct {
	mu      sync.Mutex // makes checking and taking tokens atomic
	limiter *rate.Limiter
}

func newBucket(perSecond float64) *bucket {
	burst := max(minBurst, int(perSecond*burstWindow.Seconds()))
	return &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// tryTake takes a token and returns 0, or returns how long to wait for one.
func (b *bucket) tryTake(now time.Time, p Priority) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	need := 1 + reservedShare[p]*float64(b.limiter.Burst())
	missing := need - b.limiter.TokensAt(now)
	if missing <= 0 {
		b.limiter.AllowN(now, 1)
		return 0
	}
	seconds := missing / float64(b.limiter.Limit())
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
