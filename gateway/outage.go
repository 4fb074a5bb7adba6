package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// registrationGrace is how long after an outage of the store the registration of a
	// running upstream may be missing.
	registrationGrace = 2500 * time.Millisecond
	// minExpiryOutage is the shortest outage in which registrations expire. Upstreams
	// renew theirs about every second, and they expire after several missed renewals.
	minExpiryOutage = time.Second
)

// outage records failures of the store, as seen by the calls of this instance.
type outage struct {
	lastFailure atomic.Int64 // in nanoseconds; 0 if there was none

	mu           sync.Mutex // guards all below
	confirmed    time.Time  // latest time as of which a call has returned the store's state
	failingSince time.Time  // sending of the first call that failed since; zero if none did
	restored     time.Time  // end of the last outage of minExpiryOutage or longer
}

// record records the result of a call on the store.
func (o *outage) record(now time.Time, err error) {
	if err != nil {
		o.lastFailure.Store(now.UnixNano())
	}
}

// recent reports whether the store failed within the time d before now.
func (o *outage) recent(now time.Time, d time.Duration) bool {
	at := o.lastFailure.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < d
}

// succeeded records that a call has returned the store's state as of a time.
func (o *outage) succeeded(asOf, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if asOf.After(o.confirmed) {
		o.confirmed = asOf
	}
	if o.failingSince.IsZero() || !asOf.After(o.failingSince) {
		return
	}
	if now.Sub(o.failingSince) >= minExpiryOutage {
		o.restored = now
	}
	o.failingSince = time.Time{}
}

// failed records that a call failed that was sent at a time. A call that was sent before
// the last confirmation shows nothing: the store has responded since.
func (o *outage) failed(sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince.IsZero() && sent.After(o.confirmed) {
		o.failingSince = sent
	}
}

// registrationsMayReturn reports whether registrations that are missing now may have expired
// in an outage of the store although their upstreams run, and until when to expect them.
func (o *outage) registrationsMayReturn(now time.Time) (until time.Time, may bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failingSince.IsZero() && now.Sub(o.failingSince) >= minExpiryOutage {
		return now.Add(registrationGrace), true
	}
	until = o.restored.Add(registrationGrace)
	return until, !o.restored.IsZero() && now.Before(until)
}
