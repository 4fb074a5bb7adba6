package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/objects"
)

// counters are the metrics of an instance.
type counters struct {
	calls    metric.Int64Counter
	answers  metric.Float64Histogram
	sendings metric.Float64Histogram
	items    metric.Float64Histogram
}

// latencyBounds are in seconds, around the goals of order desks and of steps.
var latencyBounds = metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 4, 7.5, 12)

func newCounters(meter metric.Meter) (*counters, error) {
	c := &counters{}
	var errs [4]error
	c.calls, errs[0] = meter.Int64Counter("pomelocross.calls", metric.WithDescription("calls to the platform and orders to engines, by class and outcome"))
	c.answers, errs[1] = meter.Float64Histogram("pomelocross.answers", metric.WithUnit("s"), latencyBounds, metric.WithDescription("answers to callers, by status"))
	c.sendings, errs[2] = meter.Float64Histogram("pomelocross.sendings", metric.WithUnit("s"), latencyBounds, metric.WithDescription("single requests sent to upstreams, by outcome"))
	c.items, errs[3] = meter.Float64Histogram("pomelocross.items", metric.WithUnit("s"), latencyBounds, metric.WithDescription("items of batches sent to engines, by ending"))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, oops.In("gateway").With("step", "metrics").Wrap(err)
	}
	return c, nil
}

// Add implements platform.Counter.
func (c *counters) Add(class string, err error) {
	c.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class), attribute.String("outcome", outcomeOf(err))))
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, objects.ErrConflict):
		return "conflict"
	case errors.Is(err, objects.ErrNotFound):
		return "not_found"
	case errors.Is(err, objects.ErrGap):
		return "gap"
	case errors.Is(err, objects.ErrRefused):
		return "refused"
	}
	return "failed"
}

func (c *counters) answered(status int, took time.Duration) {
	c.answers.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("status", strconv.Itoa(status))))
}

func (c *counters) sent(o forward.Outcome, took time.Duration) {
	c.sendings.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("outcome", o.String())))
}

func (c *counters) ran(ending string, took time.Duration) {
	c.items.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("ending", ending)))
}
