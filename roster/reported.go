package roster

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Usage is what one instance uses at an incarnation of an upstream.
type Usage struct {
	Key      uint32 // of the incarnation, see Key
	Requests int
}

// Key returns a short key of an incarnation, the same on all instances. Two upstreams may
// have the same key; what is reported of one then counts at both.
func Key(id string, started int64) uint32 {
	return uint32(xxhash.Sum64String(id + "/" + strconv.FormatInt(started, 36)))
}

// reportedUsage is what another instance has reported to use at an upstream.
type reportedUsage struct {
	requests int
	at       time.Time
}

// reportMaxAge is how long the report of another instance is taken into account.
const reportMaxAge = time.Second

// OwnUsage returns what this instance uses at the upstreams, in no order. Upstreams without
// a request of this instance are left out.
func (r *Roster) OwnUsage() []Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Usage
	for _, s := range r.states {
		if s.ownRequests > 0 {
			list = append(list, Usage{Key: Key(s.ID, s.Started), Requests: s.ownRequests})
		}
	}
	return list
}

// SetReported records what another instance uses at all upstreams as of a time: nothing at
// those that are not in the list, and nothing at another incarnation.
func (r *Roster) SetReported(instance string, usages []Usage, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byKey := make(map[uint32]Usage, len(usages))
	for _, u := range usages {
		byKey[u.Key] = u
	}
	for _, s := range r.states {
		u := byKey[Key(s.ID, s.Started)]
		s.setReported(instance, reportedUsage{requests: u.Requests, at: at})
	}
}

// setReported records the report of an instance. The requests in the last load report that no
// instance has reported, before or after it, are those of instances that report nothing.
func (s *state) setReported(instance string, u reportedUsage) {
	before, _ := s.reportedRequests(u.at)
	if s.reported == nil {
		s.reported = map[string]reportedUsage{}
	}
	s.reported[instance] = u
	after, newest := s.reportedRequests(u.at)
	if newest.After(s.loadAt) {
		s.unreported = min(s.unreported, max(0, s.otherRequests-max(before, after)))
	}
	for name, other := range s.reported {
		if u.at.Sub(other.at) > reportMaxAge {
			delete(s.reported, name)
		}
	}
}

// reportedRequests returns the requests of other instances in their recent reports, and the
// time of the newest of these; zero without any.
func (s *state) reportedRequests(now time.Time) (requests int, newest time.Time) {
	for _, u := range s.reported {
		if now.Sub(u.at) <= reportMaxAge {
			requests += u.requests
			newest = later(newest, u.at)
		}
	}
	return requests, newest
}

// foreignRequests returns the estimated number of requests of other instances: by the load
// report or by the reports of these instances, whichever is newer.
//
// Load pattern: several owners fill the same engines at once. A load report shows all
// requests as of the last response, while the owners start and end others.
func (s *state) foreignRequests(now time.Time) int {
	requests, newest := s.reportedRequests(now)
	loadRecent := now.Sub(s.loadAt) <= loadMaxAge
	switch {
	case !loadRecent:
		return requests
	case newest.After(s.loadAt):
		return requests + s.unreported
	}
	return s.otherRequests
}

// FreePlaces returns the number of free slots of the upstreams that can take a request.
func (r *Roster) FreePlaces(n Need, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	places := 0
	for _, s := range r.states {
		if r.canTake(s, n, now) {
			places += max(1, s.Slots-s.estimatedRequests(now))
		}
	}
	return places
}
