package notice

import (
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

// Method is the name of the RPC method that Endpoint.Exchange serves.
const Method = "Notice.Exchange"

const (
	maxSightings  = 16
	maxSuspicions = 16
)

// Message is the argument and the reply of an exchange. Known lists the revisions
// that the sender has, which also acknowledges them.
type Message struct {
	From objects.Member
	// Nonce is returned as Echo in the receiver's next message. This proves that
	// the ages in that message were taken after the nonce was issued.
	Nonce, Echo uint64
	Known       []ItemRevision
	Items       []Item // items that the receiver lacks
	// Heard is the time since the sender's last sync with the platform, or -1 if
	// there was none.
	Heard      time.Duration
	Down       []DomainAge       // failures to reach the platform since that sync
	Sightings  []domain.Sighting // of instances in the sender's domain
	Suspicions []domain.Sighting // suspected or dead instances in the sender's domain
	// WantMembers requests the instance list. It is set until the sender has
	// received one since its start.
	WantMembers bool
	Members     []objects.Member
}

// newMessage returns a message for a peer, without Items and Members. The caller
// holds mu.
func (e *Endpoint) newMessage(to string, now time.Time) Message {
	issued := e.issueNonce(to, now)
	return Message{
		From: e.tracker.Self(), Nonce: issued.nonce, Echo: e.receivedNonces[to],
		Known: e.items.Revisions(), Heard: e.freshness.SyncAge(now), Down: e.freshness.FailureAges(now),
		Sightings:   e.tracker.Sightings(issued.count, maxSightings, now),
		Suspicions:  e.tracker.Suspicions(maxSuspicions, now),
		WantMembers: !e.haveMembers,
	}
}

// issuedNonce is the newest nonce issued to a peer.
type issuedNonce struct {
	nonce uint64
	at    time.Time
	count int // nonces issued so far; selects the part of the domain to report in Sightings
}

func (e *Endpoint) issueNonce(to string, now time.Time) issuedNonce {
	e.lastNonce++
	e.issuedNonces[to] = issuedNonce{e.lastNonce, now, e.issuedNonces[to].count + 1}
	return e.issuedNonces[to]
}

// applyMessage applies a message that was created at or after since, except for
// its items, which the caller has added before. If since is zero, that time is
// unknown and the ages in the message are ignored. The caller holds mu.
func (e *Endpoint) applyMessage(m Message, since, now time.Time) {
	e.receivedNonces[m.From.Name] = m.Nonce
	if len(m.Members) > 0 && !e.haveMembers {
		e.haveMembers = true
		e.tracker.UpdateList(m.Members, now)
	}
	if since.IsZero() {
		e.tracker.RecordContact(m.From, now)
		return
	}
	e.tracker.RecordContact(m.From, since)
	e.tracker.ApplySightings(m.Sightings, since)
	e.tracker.ApplySuspicions(m.Suspicions, since)
	for _, d := range m.Down {
		e.freshness.RecordFailure(d.Domain, since.Add(-d.Age))
	}
	// The sender's sync time applies here only if this instance has all its items.
	if m.Heard >= 0 && !e.items.OlderThan(m.Known) {
		e.freshness.RecordSync(since.Add(-m.Heard))
	}
}

// echoIssuedAt returns when the nonce that a message echoes was issued, or zero if
// it isn't the newest nonce issued to the sender. The caller holds mu.
func (e *Endpoint) echoIssuedAt(m Message) time.Time {
	issued := e.issuedNonces[m.From.Name]
	if m.Echo == 0 || m.Echo != issued.nonce {
		return time.Time{}
	}
	return issued.at
}
