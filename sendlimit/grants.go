package sendlimit

import (
	"errors"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/slots"
)

// ErrNotReady means that the holder of the control role grants nothing yet: sends under the
// grants of another holder may not have left the window.
var ErrNotReady = errors.New("the holder of the control role grants no sends yet")

// Grants grants the shares of all instances while this instance holds the control role. It
// is safe for concurrent use.
type Grants struct {
	timing slots.Timing

	grantsOnly bool // there are no fixed shares

	mu         sync.Mutex // guards all below
	epoch      int64
	since      time.Time // begin of the epoch
	allocators map[string]*slots.Allocator
	expected   map[string]time.Time // by instance: until when a report or the effect of a notice is awaited
}

// NewGrants returns a Grants without reports.
func NewGrants(timing slots.Timing) *Grants { return &Grants{timing: timing} }

// NewColdGrants returns a Grants for the bounds of cold upstreams. An instance without a grant
// sends nothing to such an upstream, and one without demand does not report.
func NewColdGrants(timing slots.Timing) *Grants { return &Grants{timing: timing, grantsOnly: true} }

// minShareDivisor is the divisor of an instance's equal part of the units that gives its
// minimum share. Few instances send nearly everything, and one that begins to send reports it
// within a fraction of a second.
const minShareDivisor = 16

// Begin starts the epoch of the control role in which reports are answered, once sends under
// the grants of another holder have left the window. It has no effect in the epoch that has
// begun last.
func (g *Grants) Begin(epoch int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.allocators == nil || g.epoch != epoch {
		g.epoch, g.since, g.allocators, g.expected = epoch, now, map[string]*slots.Allocator{}, map[string]time.Time{}
	}
}

// noticeTerms is the number of terms between two notices to an instance that does not report.
const noticeTerms = 4

// ToNotify returns the members that have not reported in an epoch for a term and are to get
// the limits: the fixed shares of instances that do not report are kept for them. It returns a
// member again only after a while.
func (g *Grants) ToNotify(epoch int64, members []string, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch || g.expected == nil {
		return nil
	}
	var missing []string
	for _, name := range members {
		if now.After(g.expected[name]) {
			g.expected[name] = now.Add(noticeTerms * g.timing.Term)
			missing = append(missing, name)
		}
	}
	return missing
}

// Answer returns the answer to a report received in an epoch. members are the instances
// that share the limits, sorted, and engines the upstreams of the service with their units.
func (g *Grants) Answer(epoch int64, r slots.Report, members []string, engines []slots.Engine, now time.Time) (slots.Answer, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == epoch && g.expected != nil {
		g.expected[r.Member] = now.Add(g.timing.Term)
	}
	if g.epoch != epoch || g.allocators == nil {
		return slots.Answer{}, ErrNotReady
	}
	allocator := g.allocators[r.Service]
	if allocator == nil {
		allocator = slots.NewAllocator(g.timing, epoch)
		allocator.SetMinShareDivisor(minShareDivisor)
		if g.grantsOnly {
			allocator.SetGrantsOnly()
		}
		g.allocators[r.Service] = allocator
	}
	allocator.SetMembers(members, engines, now)
	if now.Sub(g.since) < g.timing.Hold {
		allocator.Record(r, now)
		return slots.Answer{}, ErrNotReady
	}
	return allocator.HandleReport(r, now), nil
}
