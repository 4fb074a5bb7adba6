package instance

import (
	"context"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelocross/pomelocross/attempt"
)

// trafficCounters are the metrics of attempts and of idempotency keys.
type trafficCounters struct {
	attempts metric.Int64Counter
	keys     metric.Int64Counter
}

func newTrafficCounters(meter metric.Meter) (*trafficCounters, error) {
	attempts, err := meter.Int64Counter("pomelocross_attempts", metric.WithDescription("attempts to send requests to upstreams by service and outcome"))
	if err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	keys, err := meter.Int64Counter("pomelocross_idempotency_keys", metric.WithDescription("requests with an Idempotency-Key by result"))
	if err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	return &trafficCounters{attempts: attempts, keys: keys}, nil
}

func (c *trafficCounters) countAttempt(service string, outcome attempt.Outcome) {
	c.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("outcome", outcome.String())))
}

func (c *trafficCounters) countKey(result string) {
	c.keys.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}
