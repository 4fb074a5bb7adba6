package objects

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sony/gobreaker/v2"
)

// Priority ranks calls when the rate budget is short.
type Priority int

// The priorities, most urgent first.
const (
	PriorityLease  Priority = iota // leases and intents
	PriorityConfig                 // active configuration, weight versions and the instance list
	PriorityLedger                 // stored state of runs and batches, usage reports, scaling orders
	PriorityStatus                 // status shown to operators
)

// api is a platform interface that can fail independently of the others.
type api int

const (
	apiObjects api = iota
	apiUsage
	apiScale
	apiCount
)

// callClass describes calls of one verb and kind.
type callClass struct {
	name     string // counter label
	priority Priority
	api      api
	write    bool
	longPoll bool // a watch, to which the platform responds only after a change or its wait
}

// Calls outside the object API.
var (
	callMembers = callClass{name: "members", priority: PriorityConfig}
	callUsage   = callClass{name: "usage", priority: PriorityLedger, api: apiUsage, write: true}
	callScale   = callClass{name: "scale", priority: PriorityLedger, api: apiScale, write: true}
)

// objectCall returns the class of an object API call on a kind.
func objectCall(verb, kind string) callClass {
	return callClass{
		name:     verb + "." + kind,
		priority: priorityOf(kind),
		write:    verb == "put" || verb == "delete",
		longPoll: verb == "watch",
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
	// tripThreshold is the number of consecutive failures that opens a breaker.
	tripThreshold = 5
	// minOpenTime is the minimum time a breaker stays open. Random jitter of up to
	// the same length is added so that instances do not probe at the same time.
	minOpenTime = time.Second
)

// breakers holds one circuit breaker per api.
type breakers [apiCount]*gobreaker.CircuitBreaker[struct{}]

func newBreakers() *breakers {
	b := &breakers{}
	for n := range b {
		b[n] = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
			MaxRequests:  1,
			Timeout:      minOpenTime + rand.N(minOpenTime),
			ReadyToTrip:  func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= tripThreshold },
			IsSuccessful: isHealthy,
		})
	}
	return b
}

// isHealthy reports whether a call with result err counts as a success for the
// breaker.
func isHealthy(err error) bool {
	return IsDefinitive(err) || errors.Is(err, context.Canceled)
}

// execute runs send through the breaker. A watch is never the probe of a half-open
// breaker, because other calls would wait until it returns.
func (b *breakers) execute(c callClass, send func() error) error {
	breaker := b[c.api]
	if c.longPoll {
		if breaker.State() != gobreaker.StateClosed {
			return ErrCircuitOpen
		}
		err := send()
		if !isHealthy(err) {
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
