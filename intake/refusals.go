package intake

import (
	"context"
	"sync"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// Reason is why a caller was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonMemory      Reason = "memory"      // there was no room for a request or response
	ReasonStalled     Reason = "stalled"     // it made no progress while others needed the memory
	ReasonConnections Reason = "connections" // there were too many connections
	ReasonReplaced    Reason = "replaced"    // its connection was closed for a new one
	ReasonAddress     Reason = "address"     // its address had too many connections
)

// reportInterval is the least time between two log lines on refusals.
const reportInterval = 10 * time.Second

// Refusals counts refusals, and logs that there are some.
type Refusals struct {
	log     *zap.Logger
	counter metric.Int64Counter
	now     func() time.Time

	mu     sync.Mutex // guards all below
	logged time.Time
	since  map[Reason]int // refusals since logged
}

// NewRefusals returns Refusals without any.
func NewRefusals(log *zap.Logger, meter metric.Meter, now func() time.Time) (*Refusals, error) {
	counter, err := meter.Int64Counter("pomelocross.refused", metric.WithDescription("callers refused or given up to stay within the limits of the process, by reason"))
	if err != nil {
		return nil, oops.In("intake").With("step", "create metrics").Wrap(err)
	}
	return &Refusals{log: log, counter: counter, now: now, since: map[Reason]int{}}, nil
}

// Refused records a refusal. where returns fields that name the callers who occupy most; it is called
// only if there is a line to log.
func (r *Refusals) Refused(reason Reason, where func() []zap.Field) {
	r.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since[reason]++
	now := r.now()
	if !r.logged.IsZero() && now.Sub(r.logged) < reportInterval {
		return
	}
	r.log.Warn("callers are refused to stay within the limits of the process", append(where(), zap.Any("refused", r.since))...)
	r.logged, r.since = now, map[Reason]int{}
}

// largest returns the key with the largest value.
func largest(all map[string]int) (key string) {
	for k, value := range all {
		if value > all[key] {
			key = k
		}
	}
	return key
}
