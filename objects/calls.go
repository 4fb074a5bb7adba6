package objects

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sony/gobreaker/v2"
)

// Priority orders calls when the budget runs short.
type Priority int

// The priorities, most urgent first.
const (
	PriorityLease  Priority = iota // leases and intents
	PriorityConfig                 // what is in force and who is here
	PriorityLedger                 // runs, batches, usage and scaling
	PriorityStatus                 // what operators look at
)

// surface is a part of the platform that fails on its own.
type surface int

const (
	surfaceObjects surface = iota
	surfaceUsage
	surfaceScale
	surfaceCount
)

// call classes one call.
type call struct {
	name     string // counter label
	priority Priority
	surface  surface
	write    bool
	waiting  bool // a watch, which is answered late on purpose
}

// Calls that are not on objects.
var (
	callMembers = call{name: "members", priority: PriorityConfig}
	callUsage   = call{name: "usage", priority: PriorityLedger, surface: surfaceUsage, write: true}
	callScale   = call{name: "scale", priority: PriorityLedger, surface: surfaceScale, write: true}
)

// objectCall classes a call on objects of a kind.
func objectCall(verb, kind string) call {
	return call{
		name:     verb + "." + kind,
		priority: priorityOf(kind),
		write:    verb == "put" || verb == "delete",
		waiting:  verb == "watch",
	}
}

func priorityOf(kind string) Priority {
	switch kind {
	case KindLease, KindIntent:
		return PriorityLease
	case KindConfig, KindWeights:
		return PriorityConfig
	case KindStatus:
		return PriorityStatus
	}
	return PriorityLedger
}

const (
	// tripAfter is how many failures in a row open a breaker.
	tripAfter = 5
	// openFor is the least time a breaker stays open; as much again is added
	// at random, so that instances do not probe together.
	openFor = time.Second
)

// breakers hold one breaker a surface.
type breakers [surfaceCount]*gobreaker.CircuitBreaker[struct{}]

func newBreakers() *breakers {
	b := &breakers{}
	for n := range b {
		b[n] = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
			MaxRequests:  1,
			Timeout:      openFor + rand.N(openFor),
			ReadyToTrip:  func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= tripAfter },
			IsSuccessful: answered,
		})
	}
	return b
}

// answered reports whether err shows a platform that works.
func answered(err error) bool {
	return err == nil || errors.Is(err, ErrNotFound) || errors.Is(err, ErrConflict) ||
		errors.Is(err, ErrGap) || errors.Is(err, context.Canceled)
}

// do runs send through the breaker. A watch never is the probe of a half-open
// breaker, since it would keep the others waiting.
func (b *breakers) do(c call, send func() error) error {
	breaker := b[c.surface]
	if c.waiting {
		if breaker.State() != gobreaker.StateClosed {
			return ErrCircuitOpen
		}
		err := send()
		if !answered(err) {
			_, _ = breaker.Execute(func() (struct{}, error) { return struct{}{}, err })
		}
		return err
	}
	_, err := breaker.Execute(func() (struct{}, error) { return struct{}{}, send() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return ErrCircuitOpen
	}
	return err
}
