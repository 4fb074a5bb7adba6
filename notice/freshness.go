package notice

import (
	"slices"
	"time"
)

// Freshness is what an instance knows of its distance to the platform. Times are
// of the instance's own monotonic clock; ages travel between instances.
type Freshness struct {
	heard time.Time            // the platform accepted nothing unknown here before this
	down  map[string]time.Time // newest failure to reach the platform, by domain
}

// DomainAge is how long ago an instance of a domain failed to reach the platform.
type DomainAge struct {
	Domain string
	Age    time.Duration
}

// Hear notes that all that the platform had accepted at a time is known.
func (f *Freshness) Hear(at time.Time) {
	if at.After(f.heard) {
		f.heard = at
	}
}

// Miss notes that an instance of a domain failed to reach the platform.
func (f *Freshness) Miss(domain string, at time.Time) {
	if f.down == nil {
		f.down = map[string]time.Time{}
	}
	if at.After(f.down[domain]) {
		f.down[domain] = at
	}
}

// HeardAge returns the time since the platform was heard, or -1 if it never was.
func (f *Freshness) HeardAge(now time.Time) time.Duration {
	if f.heard.IsZero() {
		return -1
	}
	return now.Sub(f.heard)
}

// Down lists the newest failures that happened after the platform was heard, by
// domain.
func (f *Freshness) Down(now time.Time) []DomainAge {
	var list []DomainAge
	for domain, at := range f.down {
		if at.After(f.heard) {
			list = append(list, DomainAge{domain, now.Sub(at)})
		}
	}
	slices.SortFunc(list, func(a, b DomainAge) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	return list
}

// Trusted returns the newest moment up to which nothing unknown can have been
// accepted: the platform was heard then, or instances of more than half of the
// declared domains found it down after then. It is zero when there is none.
func (f *Freshness) Trusted(declared []string) time.Time {
	var failures []time.Time
	for _, domain := range declared {
		if at, ok := f.down[domain]; ok {
			failures = append(failures, at)
		}
	}
	most := len(declared)/2 + 1
	if len(failures) < most {
		return f.heard
	}
	slices.SortFunc(failures, func(a, b time.Time) int { return b.Compare(a) })
	if outage := failures[most-1]; outage.After(f.heard) {
		return outage
	}
	return f.heard
}
