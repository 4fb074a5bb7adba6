package instance

import (
	"context"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// counters are the instance's metrics. The declared routes, teams and domains
// bound the number of label sets.
type counters struct {
	slotCounters
	platformCalls  metric.Int64Counter
	requests       metric.Int64Counter
	orders         metric.Int64Counter
	usageNotCopied metric.Int64Counter
}

func newCounters(meter metric.Meter) (*counters, error) {
	c := &counters{}
	var err error
	if c.platformCalls, err = meter.Int64Counter("pomelocross_platform_calls", metric.WithDescription("calls to the platform")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	if c.requests, err = meter.Int64Counter("pomelocross_requests", metric.WithDescription("requests from callers by route, team and result code")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	if c.orders, err = meter.Int64Counter("pomelocross_orders", metric.WithDescription("orders, records of intents and usage reports by kind and outcome")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	if c.usageNotCopied, err = meter.Int64Counter("pomelocross_usage_uncopied", metric.WithDescription("responses completed before a peer held a copy of their usage")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	return c, nil
}

// Add implements platform.Counter.
func (c *counters) Add(class string, err error) {
	c.platformCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class), attribute.Bool("failed", err != nil)))
}

func (c *counters) countRequest(route, team, code string) {
	c.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route), attribute.String("team", team), attribute.String("code", code)))
}

// countOrder counts an order, or the record of an intent, by its outcome.
func (c *counters) countOrder(kind string, err error) {
	c.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", orderOutcome(err))))
}
