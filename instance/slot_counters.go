package instance

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// slotCounters are the metrics of slot sharing.
type slotCounters struct{ reports metric.Int64Counter }

func (c slotCounters) countReport(domain string, err error) {
	c.reports.Add(context.Background(), 1, metric.WithAttributes(attribute.String("domain", domain), attribute.Bool("granted", err == nil)))
}

// observeQueues registers the gauges for waiting requests, slots and ejected
// upstreams, and the counter of slot reports.
func (i *Instance) observeQueues(meter metric.Meter) error {
	gauges := map[string]metric.Int64ObservableGauge{}
	for name, description := range map[string]string{
		"pomelocross_queue_waiting": "waiting requests by service",
		"pomelocross_queue_slots":   "slots of this instance by service",
		"pomelocross_queue_ejected": "ejected upstreams, which get no new requests, by service",
	} {
		gauge, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		if err != nil {
			return err
		}
		gauges[name] = gauge
	}
	reports, err := meter.Int64Counter("pomelocross_slot_reports", metric.WithDescription("slot reports to holders of the upstream role"))
	if err != nil {
		return err
	}
	i.counters.slotCounters = slotCounters{reports}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for name, stats := range i.queues.allStats() {
			service := metric.WithAttributes(attribute.String("service", name))
			o.ObserveInt64(gauges["pomelocross_queue_waiting"], int64(stats.Waiting), service)
			o.ObserveInt64(gauges["pomelocross_queue_slots"], int64(stats.Slots), service)
			o.ObserveInt64(gauges["pomelocross_queue_ejected"], int64(stats.Ejected), service)
		}
		return nil
	}, gauges["pomelocross_queue_waiting"], gauges["pomelocross_queue_slots"], gauges["pomelocross_queue_ejected"])
	return err
}
