package notice

import (
	"slices"
	"time"
)

// Freshness records when the items were last in sync with the platform and when
// instances failed to reach it. Times are readings of the instance's own monotonic
// clock; messages between instances carry ages instead.
type Freshness struct {
	syncedAt time.Time            // all items that the platform had accepted by then are known
	failedAt map[string]time.Time // newest failed call to the platform, by domain
}

// DomainAge is the time since an instance of a domain last failed to reach the
// platform.
type DomainAge struct {
	Domain string
	Age    time.Duration
}

// RecordSync records that all items that the platform had accepted by a time are
// known.
func (f *Freshness) RecordSync(at time.Time) {
	if at.After(f.syncedAt) {
		f.syncedAt = at
	}
}

// RecordFailure records that an instance of a domain failed to reach the platform.
func (f *Freshness) RecordFailure(domain string, at time.Time) {
	if f.failedAt == nil {
		f.failedAt = map[string]time.Time{}
	}
	if at.After(f.failedAt[domain]) {
		f.failedAt[domain] = at
	}
}

// SyncAge returns the time since the last sync with the platform, or -1 if there
// was none.
func (f *Freshness) SyncAge(now time.Time) time.Duration {
	if f.syncedAt.IsZero() {
		return -1
	}
	return now.Sub(f.syncedAt)
}

// FailureAges returns the age of each domain's newest failure after the last sync,
// sorted by domain.
func (f *Freshness) FailureAges(now time.Time) []DomainAge {
	var list []DomainAge
	for domain, at := range f.failedAt {
		if at.After(f.syncedAt) {
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

// CompleteUntil returns the latest time up to which all accepted items are known:
// the last sync or, if later, the time since which instances of more than half of
// the declared domains have failed to reach the platform. It is zero if there is no
// such time.
func (f *Freshness) CompleteUntil(declared []string) time.Time {
	var failures []time.Time
	for _, domain := range declared {
		if at, ok := f.failedAt[domain]; ok {
			failures = append(failures, at)
		}
	}
	majority := len(declared)/2 + 1
	if len(failures) < majority {
		return f.syncedAt
	}
	slices.SortFunc(failures, func(a, b time.Time) int { return b.Compare(a) })
	if outage := failures[majority-1]; outage.After(f.syncedAt) {
		return outage
	}
	return f.syncedAt
}
