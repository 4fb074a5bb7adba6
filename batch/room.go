package batch

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/room"
	"github.com/pomelocross/pomelocross/roster"
)

// RoomSharing connects a Runner to the other owners of batches.
type RoomSharing struct {
	// Others returns the work of other owners that has found no room, as far as known.
	Others func(now time.Time) []room.Waiting
	// ReportAge returns the age of the oldest report that Others is based on.
	ReportAge func(now time.Time) time.Duration
	// Yielded is called when a place is left to others. It must not block.
	Yielded func()
}

// sharing is the state of a Runner's sharing of room.
type sharing struct {
	yields  map[string]*room.Yield // by service
	logged  map[string]time.Time   // by service: when the last begin of a yield was logged
	waiting []room.Waiting         // work that has found no room, as of the last dispatch
}

// yieldLogInterval is the shortest time between two logged yields at a service.
const yieldLogInterval = time.Second

// roomPass is the view of one dispatch on the room shared with other owners.
type roomPass struct {
	others   []room.Waiting
	free     map[requirement]int  // places, as far as counted
	yielding map[string]bool      // services at which a place was left to others
	short    map[requirement]bool // requirements whose items wait
}

// newRoomPass returns the view of a dispatch. The caller holds mu.
func (r *Runner) newRoomPass(now time.Time) *roomPass {
	p := &roomPass{free: map[requirement]int{}, yielding: map[string]bool{}, short: map[requirement]bool{}}
	if r.Room != nil {
		p.others = r.Room.Others(now)
	}
	return p
}

// mayTake reports whether an item may take a place at the chosen engine, or must leave it to
// other owners. The caller holds mu.
func (r *Runner) mayTake(p *roomPass, q queuedItem, required requirement, choice roster.Choice, now time.Time) bool {
	rivals := slices.DeleteFunc(slices.Clone(p.others), func(w room.Waiting) bool {
		version, served := choice.Models[w.Model]
		return w.Service != choice.Service || !served || version < w.MinVersion
	})
	if len(rivals) == 0 {
		return true
	}
	free, known := p.free[required]
	if !known {
		free = r.Roster.FreePlaces(roster.Need{Service: required.service, Model: required.model, MinVersion: required.minVersion}, now)
	}
	yield := r.sharing.yields[required.service]
	if yield == nil {
		yield = &room.Yield{}
		r.sharing.yields[required.service] = yield
	}
	was := yield.Yielding()
	may := yield.MayStart(q.slack(now), rivals, free, now)
	if may {
		p.free[required] = free - 1
		return true
	}
	p.free[required], p.yielding[required.service] = free, true
	if !was && now.Sub(r.sharing.logged[required.service]) >= yieldLogInterval {
		r.sharing.logged[required.service] = now
		r.Log.Info("places are left to other owners whose work is more urgent", zap.String("service", required.service), zap.Int("free", free),
			zap.Int("ahead", room.Ahead(q.slack(now), rivals)), zap.Duration("slack", q.slack(now)), zap.Duration("reportAge", r.Room.ReportAge(now)))
	}
	return false
}

// finishRoomPass records what waits after a dispatch. list holds the queue as of its begin. The
// caller holds mu.
func (r *Runner) finishRoomPass(p *roomPass, list []queuedItem, now time.Time) {
	if r.Room == nil {
		return
	}
	for service, y := range r.sharing.yields {
		if y.Yielding() && !p.yielding[service] {
			y.Stop()
			r.Log.Debug("places are no longer left to other owners", zap.String("service", service), zap.Duration("reportAge", r.Room.ReportAge(now)))
		}
	}
	r.sharing.waiting = waitingWork(p.short, list, now)
	if len(p.yielding) > 0 {
		r.Room.Yielded()
	}
}

// waitingWork returns the items of a queue that wait, of the requirements that are short of
// room. The queue is in dispatch order.
func waitingWork(short map[requirement]bool, list []queuedItem, now time.Time) []room.Waiting {
	byRequirement, slacks := map[requirement]*room.Waiting{}, map[requirement][]time.Duration{}
	for _, q := range list {
		if !short[q.required] || !q.state.queued() {
			continue
		}
		w := byRequirement[q.required]
		if w == nil {
			w = &room.Waiting{Service: q.required.service, Model: q.required.model, MinVersion: q.required.minVersion}
			byRequirement[q.required] = w
		}
		w.Items++
		w.Tokens += q.state.memory().Growth
		if q.Required {
			slacks[q.required] = append(slacks[q.required], q.slack(now))
		}
	}
	var all []room.Waiting
	for _, required := range slices.SortedFunc(maps.Keys(byRequirement), compareRequirements) {
		w := byRequirement[required]
		w.SetSlacks(slacks[required])
		all = append(all, *w)
	}
	return all
}

// Waiting returns the work of this instance that has found no room.
func (r *Runner) Waiting() []room.Waiting {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.openJobs() == 0 {
		return nil
	}
	return r.sharing.waiting
}

// OtherOwners returns the sorted addresses of other instances that own batches, as known from
// the heads that were read lately.
func (r *Runner) OtherOwners() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := map[string]bool{}
	for _, n := range r.headNotices {
		if n.head.Peer != "" && n.head.Peer != r.Peer && r.Clock.Since(n.at) <= headNoticeTTL {
			peers[n.head.Peer] = true
		}
	}
	return slices.Sorted(maps.Keys(peers))
}
