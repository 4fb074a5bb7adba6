package instance

import (
	"context"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// counters are the instance's metrics. Label sets are bounded by what is declared.
type counters struct {
	platformCalls metric.Int64Counter
	requests      metric.Int64Counter
	orders        metric.Int64Counter
	uncopied      metric.Int64Counter
}

func newCounters(meter metric.Meter) (*counters, error) {
	c := &counters{}
	var err error
	if c.platformCalls, err = meter.Int64Counter("pomelocross_platform_calls", metric.WithDescription("calls to the platform")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	if c.requests, err = meter.Int64Counter("pomelocross_requests", metric.WithDescription("callers' requests by route, team and answer code")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	if c.orders, err = meter.Int64Counter("pomelocross_orders", metric.WithDescription("orders to upstreams")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	if c.uncopied, err = meter.Int64Counter("pomelocross_usage_uncopied", metric.WithDescription("answers finished before a peer held their count")); err != nil {
		return nil, oops.In("instance").Wrap(err)
	}
	return c, nil
}

// Add implements platform.Counter.
func (c *counters) Add(class string, err error) {
	c.platformCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class), attribute.Bool("failed", err != nil)))
}

func (c *counters) request(route, team, code string) {
	c.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route), attribute.String("team", team), attribute.String("code", code)))
}

// order counts an order or its intent by how it ended.
func (c *counters) order(kind string, err error) {
	c.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("outcome", outcomeOf(err))))
}
