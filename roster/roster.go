// Package roster holds an instance's view of the upstreams: which exist, which weight
// versions they serve, their load and speed, and recent failures. It chooses the
// upstream for a request. It does no I/O and reads no clock. A Roster has its own lock
// because both request handling and control updates write to it.
package roster

import (
	"maps"
	"reflect"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/pace"
	"github.com/pomelocross/pomelocross/placement"
	"github.com/pomelocross/pomelocross/upstream"
)

// Entry is the registration of an upstream.
type Entry struct {
	ID      string
	Service string
	Address string // IP:port
	Domain  string
	Slots   int
	Ready   bool // false if the upstream leaves, by its registration or its responses
	// Leaves is the time until the upstream leaves, as of its last registration; zero
	// if unknown.
	Leaves time.Duration
	// Cold is the remaining time for which the upstream is slow after its start.
	Cold    time.Duration
	Started int64            // Unix time in milliseconds; identifies the incarnation
	Models  map[string]int64 // weight version by model
	Cheap   bool             // preemptible at short notice
}

// Target returns the incarnation as the target of a request.
func (e Entry) Target() upstream.Target {
	return upstream.Target{ID: e.ID, Address: e.Address, Started: e.Started}
}

// Same reports whether two registrations are equal, with Leaves compared to the second.
func Same(a, b Entry) bool {
	modelsA, modelsB := a.Models, b.Models
	a.Models, b.Models = nil, nil
	a.Leaves, b.Leaves = a.Leaves.Round(time.Second), b.Leaves.Round(time.Second)
	return maps.Equal(modelsA, modelsB) && reflect.DeepEqual(a, b)
}

// state is the known state of one upstream.
type state struct {
	Entry
	leaving             bool // the upstream has reported in a response that it leaves
	load                upstream.Occupancy
	loadAt              time.Time
	otherRequests       int                      // open requests of other instances as of loadAt
	unreported          int                      // those of them that no instance has reported
	reported            map[string]reportedUsage // by instance; only recent ones
	ownRequests         int                      // open requests of this instance
	memoryByRequest     map[string]requestMemory // by request ID; only requests with known memory
	workByRequest       map[string]expectedWork  // by request ID; only requests with known work
	unavailableUntil    time.Time
	consecutiveFailures int
	lastActivity        time.Time // of the last event of any stream of this instance
	interval            eventInterval
	blockedUntil        map[string]time.Time // by model; no new requests until then
}

// Roster is the set of known upstreams. It is safe for concurrent use.
type Roster struct {
	mu      sync.Mutex // guards all below
	states  map[string]*state
	leaving []upstream.Target // incarnations that have reported that they leave, oldest first
	limits  SendLimits        // nil if no upstream has a limit
	pace    *pace.Book
	// placement says by what upstreams are chosen.
	placement placement.Mode
	// evacuated holds the failure domains whose upstreams must get no new work.
	evacuated map[string]bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{states: map[string]*state{}, pace: pace.NewBook(), placement: placement.Auto, evacuated: map[string]bool{}}
}

// SendLimits knows the limits of upstreams. The roster calls it with its lock held, so that it
// must not call the roster, nor wait for another goroutine that does.
type SendLimits interface {
	// Available reports whether a request may be sent to an upstream now.
	Available(u upstream.Target, now time.Time) bool
	// Choose records that an upstream was chosen for a request.
	Choose(u upstream.Target)
}

// SetLimits sets the limits of the upstreams. It must be called before the first Pick.
func (r *Roster) SetLimits(limits SendLimits) { r.limits = limits }

// Put adds or replaces a registration. A new incarnation or address resets the state of
// the upstream, except for the open requests of this instance. An incarnation that has
// reported that it leaves does not become ready again. Put returns the entry as recorded.
func (r *Roster) Put(e Entry) Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[e.ID]
	if s == nil || s.Started != e.Started || s.Address != e.Address {
		fresh := &state{leaving: r.isLeaving(e.Target()), memoryByRequest: map[string]requestMemory{}, blockedUntil: map[string]time.Time{}}
		if s != nil {
			fresh.ownRequests, fresh.memoryByRequest, fresh.workByRequest = s.ownRequests, s.memoryByRequest, s.workByRequest
			r.forgetPace(s)
		}
		s = fresh
		r.states[e.ID] = s
	}
	e.Ready = e.Ready && !s.leaving
	s.Entry = e
	return e
}

// Retain removes every upstream that is not in ids.
func (r *Roster) Retain(ids map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.states {
		if !ids[id] {
			r.forgetPace(s)
			delete(r.states, id)
		}
	}
}

// Remove removes an upstream.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[id]; s != nil {
		r.forgetPace(s)
	}
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

// Entries returns the registrations of all upstreams of a service, in no order. The
// caller must not change their Models.
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

// Slots returns the number of slots of the ready upstreams of a service.
func (r *Roster) Slots(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := 0
	for _, s := range r.states {
		if s.Service == service && s.Ready {
			slots += s.Slots
		}
	}
	return slots
}

// IDs returns the IDs of all known upstreams.
func (r *Roster) IDs() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make(map[string]bool, len(r.states))
	for id := range r.states {
		ids[id] = true
	}
	return ids
}

// Size returns the number of known upstreams.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.states)
}

// Begin counts a request sent to an upstream. m is the memory it will use; zero if
// unknown.
func (r *Roster) Begin(id, request string, m Memory) {
	r.update(id, func(s *state) {
		s.ownRequests++
		if r.limits != nil {
			r.limits.Choose(s.Target())
		}
		if m != (Memory{}) {
			s.memoryByRequest[request] = requestMemory{Memory: m}
		}
	})
}

// SetGeneratedTokens records the tokens that a request has generated since its start.
func (r *Roster) SetGeneratedTokens(id, request string, tokens int) {
	r.update(id, func(s *state) {
		if m, known := s.memoryByRequest[request]; known {
			m.generated = tokens
			s.memoryByRequest[request] = m
		}
	})
}

// End counts the end of a request.
func (r *Roster) End(id, request string) {
	r.update(id, func(s *state) {
		s.ownRequests = max(0, s.ownRequests-1)
		delete(s.memoryByRequest, request)
		delete(s.workByRequest, request)
	})
}

// update applies change to the state of an upstream, if known, under the lock.
func (r *Roster) update(id string, change func(*state)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[id]; s != nil {
		change(s)
	}
}

// SetLoad records the load that an upstream reported with a response. Requests beyond
// those of this instance are attributed to other instances.
func (r *Roster) SetLoad(id string, l upstream.Occupancy, now time.Time) {
	r.update(id, func(s *state) {
		s.load, s.loadAt = l, now
		s.otherRequests = max(0, l.Running+l.Waiting-s.ownRequests)
		if l.Slowness > 0 {
			r.pace.ObserveMachine(s.Target(), s.Service, l.Slowness, now)
		}
		s.unreported = s.otherRequests
	})
}

// SetVersion records the weight version that an upstream gave in a response. It takes
// precedence over the registered version until the next registration.
func (r *Roster) SetVersion(id, model string, version int64) {
	r.update(id, func(s *state) {
		if version == s.Models[model] {
			return
		}
		models := make(map[string]int64, len(s.Models)+1) // copy: callers of Entries may hold the old map
		for m, v := range s.Models {
			models[m] = v
		}
		models[model] = version
		s.Models = models
	})
}

// maxBackoffDoublings bounds the exponential backoff after consecutive failures, to
// 4 s.
const maxBackoffDoublings = 4

// initialBackoff is how long an upstream gets no requests after a failure. It doubles
// with each consecutive failure. A crashed engine restarts within seconds.
const initialBackoff = 250 * time.Millisecond

// MarkFailed records that a request failed because of the upstream.
func (r *Roster) MarkFailed(id string, now time.Time) {
	r.update(id, func(s *state) {
		s.unavailableUntil = now.Add(initialBackoff << min(s.consecutiveFailures, maxBackoffDoublings))
		s.consecutiveFailures++
	})
}

// MarkFull records that an upstream refused a request for lack of capacity. The
// upstream is not chosen for the given pause.
func (r *Roster) MarkFull(id string, now time.Time, pause time.Duration) {
	r.update(id, func(s *state) { s.unavailableUntil = later(s.unavailableUntil, now.Add(pause)) })
}

// BlockModel records that an upstream accepts no new requests for a model before until.
func (r *Roster) BlockModel(id, model string, until time.Time) {
	r.update(id, func(s *state) { s.blockedUntil[model] = until })
}

// MarkSucceeded records that a request succeeded and resets the failure backoff.
func (r *Roster) MarkSucceeded(id string) {
	r.update(id, func(s *state) { s.consecutiveFailures = 0 })
}

// RecordActivity records that a stream of the upstream had an event.
func (r *Roster) RecordActivity(id string, now time.Time) {
	r.update(id, func(s *state) { s.lastActivity = now })
}

// LastActivity returns the time of the last recorded event of an upstream; zero if there
// was none.
func (r *Roster) LastActivity(id string) (at time.Time) {
	r.update(id, func(s *state) { at = s.lastActivity })
	return at
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
