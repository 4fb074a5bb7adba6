package notice

import (
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
)

// Method is the name of the exchange on the link between instances.
const Method = "Notice.Exchange"

const (
	maxSightings  = 16
	maxSuspicions = 16
)

// Message is one side of an exchange. A caller sends one and gets one back. Its
// Known acknowledges all that it holds.
type Message struct {
	From objects.Member
	// Nonce is to be echoed by the receiver's next message. An echo proves that
	// what comes with it was said after the nonce was given.
	Nonce, Echo uint64
	Known       []Known
	Items       []Item // what the receiver lacks
	// Heard is the age of the newest word from the platform; -1 when none is known.
	Heard      time.Duration
	Down       []DomainAge
	Sightings  []domain.Sighting // in the sender's domain
	Suspicions []domain.Sighting // in the sender's domain
	// WantMembers asks for the instance list, which an instance does that has
	// had none since it started.
	WantMembers bool
	Members     []objects.Member
}

// newMessage returns what state tells a peer. The caller holds the endpoint's lock.
func (e *Endpoint) newMessage(to string, now time.Time) Message {
	given := e.give(to, now)
	return Message{
		From: e.tracker.Self(), Nonce: given.nonce, Echo: e.received[to],
		Known: e.book.Known(), Heard: e.fresh.HeardAge(now), Down: e.fresh.Down(now),
		Sightings:   e.tracker.Sightings(given.turn, maxSightings, now),
		Suspicions:  e.tracker.Suspicions(maxSuspicions, now),
		WantMembers: !e.listed,
	}
}

// issued is the nonce last given to a peer and when, and how many were.
type issued struct {
	nonce uint64
	at    time.Time
	turn  int // which part of the domain the peer is told of
}

func (e *Endpoint) give(to string, now time.Time) issued {
	e.lastNonce++
	e.given[to] = issued{e.lastNonce, now, e.given[to].turn + 1}
	return e.given[to]
}

// absorb takes a message whose content was said after since; a zero since means
// that this isn't known, and then nothing is believed of its freshness. Items
// have been taken before. The caller holds the endpoint's lock.
func (e *Endpoint) absorb(m Message, since, now time.Time) {
	e.received[m.From.Name] = m.Nonce
	if len(m.Members) > 0 && !e.listed {
		e.listed = true
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
		e.fresh.Miss(d.Domain, since.Add(-d.Age))
	}
	// The sender's word covers only what this instance knows too.
	if m.Heard >= 0 && !e.book.Behind(m.Known) {
		e.fresh.Hear(since.Add(-m.Heard))
	}
}

// echoed returns when the nonce that a message echoes was given, or zero. The
// caller holds the endpoint's lock.
func (e *Endpoint) echoed(m Message) time.Time {
	given := e.given[m.From.Name]
	if m.Echo == 0 || m.Echo != given.nonce {
		return time.Time{}
	}
	return given.at
}
