package instance

import (
	"context"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelocross/pomelocross/domain"
)

// observe registers the gauges of configuration and membership.
func (i *Instance) observe(meter metric.Meter) error {
	gauges := []struct {
		name, description string
		read              func(metric.Int64Observer)
	}{
		{"pomelocross_revision", "revision of the configuration in force", i.observeRevision},
		{"pomelocross_platform_word_age_milliseconds", "age of the platform's last word, heard directly or through peers; -1 when never heard", i.observeAge},
		{"pomelocross_isolated", "1 while the instance counts as isolated from the platform", i.observeIsolation},
		{"pomelocross_link_bytes", "bytes carried between instances since the start", i.observeLink},
		{"pomelocross_instances", "known entry instances by liveness", i.countMembers},
	}
	for _, g := range gauges {
		callback := func(_ context.Context, o metric.Int64Observer) error {
			if i.view.Load() != nil {
				g.read(o)
			}
			return nil
		}
		if _, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.description), metric.WithInt64Callback(callback)); err != nil {
			return oops.In("instance").With("step", "metrics").Wrap(err)
		}
	}
	return nil
}

func (i *Instance) observeRevision(o metric.Int64Observer) {
	if c := i.view.Load().Contract; c != nil {
		o.Observe(int64(c.Revision))
	}
}

func (i *Instance) observeAge(o metric.Int64Observer) {
	age := i.notices.SyncAge()
	if age < 0 {
		o.Observe(-1)
		return
	}
	o.Observe(age.Milliseconds())
}

func (i *Instance) observeIsolation(o metric.Int64Observer) {
	_, isolated := i.isolation(i.view.Load())
	if isolated {
		o.Observe(1)
		return
	}
	o.Observe(0)
}

func (i *Instance) observeLink(o metric.Int64Observer) {
	served, dialled := i.peers.Traffic(), i.dialer.Traffic()
	o.Observe(served.Received+dialled.Received, metric.WithAttributes(attribute.String("direction", "received")))
	o.Observe(served.Sent+dialled.Sent, metric.WithAttributes(attribute.String("direction", "sent")))
}

func (i *Instance) countMembers(o metric.Int64Observer) {
	view := i.view.Load().Domain
	counts := map[domain.Liveness]int64{domain.Alive: 0, domain.Suspected: 0, domain.Dead: 0}
	for _, m := range view.All() {
		counts[view.Liveness(m.Name)]++
	}
	for state, count := range counts {
		o.Observe(count, metric.WithAttributes(attribute.String("liveness", string(state))))
	}
}
