// Package roster holds what an instance believes of upstreams: which there are,
// which weight versions they serve, how busy and how fast they are, and which
// of them failed lately. It does no I/O and reads no clock; a Roster is guarded
// by its own lock since traffic and control both write to it.
package roster

import (
	"maps"
	"reflect"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Entry is what an upstream has registered of itself.
type Entry struct {
	ID      string
	Service string
	Address string // IP:port
	Domain  string
	Slots   int
	Ready   bool // false while it is leaving
	// Leaves is the time left, as far as the upstream knew when it registered
	// last; zero when unknown.
	Leaves time.Duration
	// Cold is how much longer it is slow after its start.
	Cold    time.Duration
	Started int64 // milliseconds since 1970; tells incarnations apart
	Models  map[string]int64
	Cheap   bool // may be taken away at short notice
}

// Same reports whether two registrations say the same.
func Same(a, b Entry) bool {
	left, right := a.Models, b.Models
	a.Models, b.Models = nil, nil
	a.Leaves, b.Leaves = a.Leaves.Round(time.Second), b.Leaves.Round(time.Second)
	return maps.Equal(left, right) && reflect.DeepEqual(a, b)
}

// state is what is believed of one upstream.
type state struct {
	Entry
	load   upstream.Occupancy
	loadAt time.Time
	others int             // requests of other instances when load was taken
	mine   int             // requests of this instance that are open
	holds  map[string]hold // memory of those of them that take any, by request
	shut   time.Time
	strike int // failures in a row
	pace   pace
	blocks map[string]time.Time // models that refuse new work until then
}

// Roster is the set of upstreams.
type Roster struct {
	mu     sync.Mutex // guards all below
	states map[string]*state
	gone   map[string]time.Time // incarnations that left, by ID; they take no new work
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{states: map[string]*state{}, gone: map[string]time.Time{}}
}

// Put takes in a registration.
func (r *Roster) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[e.ID]
	if s == nil || s.Started != e.Started || s.Address != e.Address {
		fresh := &state{holds: map[string]hold{}, blocks: map[string]time.Time{}}
		if s != nil {
			fresh.mine, fresh.holds = s.mine, s.holds
		}
		s = fresh
		r.states[e.ID] = s
	}
	s.Entry = e
}

// Keep removes every upstream that is not in ids.
func (r *Roster) Keep(ids map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.states {
		if !ids[id] {
			delete(r.states, id)
		}
	}
}

// Remove takes an upstream away.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.states, id)
}

// Entry returns the registration of an upstream.
func (r *Roster) Entry(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[id]
	if s == nil {
		return Entry{}, false
	}
	return s.Entry, true
}

// Entries returns all upstreams of a service, in no order.
func (r *Roster) Entries(service string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Entry
	for _, s := range r.states {
		if s.Service == service {
			list = append(list, s.Entry)
		}
	}
	return list
}

// Size returns how many upstreams are known.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.states)
}

// Begin counts a request that is sent to an upstream.
func (r *Roster) Begin(id, request string, m Memory) {
	r.with(id, func(s *state) {
		s.mine++
		if m != (Memory{}) {
			s.holds[request] = hold{Memory: m}
		}
	})
}

// Grew notes the tokens that a request at an upstream has made since it began.
func (r *Roster) SetGeneratedTokens(id, request string, tokens int) {
	r.with(id, func(s *state) {
		if h, known := s.holds[request]; known {
			h.grown = tokens
			s.holds[request] = h
		}
	})
}

// End counts a request that is over.
func (r *Roster) End(id, request string) {
	r.with(id, func(s *state) {
		s.mine = max(0, s.mine-1)
		delete(s.holds, request)
	})
}

func (r *Roster) with(id string, change func(*state)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[id]; s != nil {
		change(s)
	}
}

// Reported takes in a load that an upstream sent with an answer.
func (r *Roster) SetLoad(id string, l upstream.Occupancy, now time.Time) {
	r.with(id, func(s *state) {
		s.load, s.loadAt = l, now
		s.others = max(0, l.Running+l.Waiting-s.mine)
	})
}

// Answered takes in the weight version that an upstream answered under.
func (r *Roster) SetVersion(id, model string, version int64) {
	r.with(id, func(s *state) {
		if version == s.Models[model] {
			return
		}
		models := make(map[string]int64, len(s.Models)+1) // Entries hands out the old map
		for m, v := range s.Models {
			models[m] = v
		}
		models[model] = version
		s.Models = models
	})
}

// strikeLimit bounds the exponent of the pause after failures in a row.
const strikeLimit = 4

// firstPause is how long an upstream is left alone after a failure; it doubles
// with each further one in a row. A crashed engine is back after seconds.
const firstPause = 250 * time.Millisecond

// Failed notes that a request to an upstream failed at it.
func (r *Roster) MarkFailed(id string, now time.Time) {
	r.with(id, func(s *state) {
		s.shut = now.Add(firstPause << min(s.strike, strikeLimit))
		s.strike++
	})
}

// Full notes that an upstream had no room for a request.
func (r *Roster) MarkFull(id string, now time.Time, pause time.Duration) {
	r.with(id, func(s *state) { s.shut = later(s.shut, now.Add(pause)) })
}

// Blocked notes that an upstream takes no new work for a model until a time.
func (r *Roster) BlockModel(id, model string, until time.Time) {
	r.with(id, func(s *state) { s.blocks[model] = until })
}

// Succeeded notes that a request went well.
func (r *Roster) MarkSucceeded(id string) {
	r.with(id, func(s *state) { s.strike = 0 })
}

// Paced takes in the time between two events of a run.
func (r *Roster) ObserveEventInterval(id string, perEvent time.Duration, now time.Time) {
	r.with(id, func(s *state) { s.pace.observe(perEvent, now) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
