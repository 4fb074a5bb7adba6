package instance

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// slotCounters are the metrics of shared slots.
type slotCounters struct{ reports metric.Int64Counter }

func (c slotCounters) slotReport(domain string, err error) {
	c.reports.Add(context.Background(), 1, metric.WithAttributes(attribute.String("domain", domain), attribute.Bool("granted", err == nil)))
}

// observeQueues registers gauges of what waits, is shared and is taken out.
func (i *Instance) observeQueues(meter metric.Meter) error {
	gauges := map[string]metric.Int64ObservableGauge{}
	for name, description := range map[string]string{
		"pomelocross_queue_waiting": "requests that wait by service",
		"pomelocross_queue_slots":   "slots of this instance by service",
		"pomelocross_queue_ejected": "upstreams that get no new work by service",
	} {
		gauge, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		if err != nil {
			return err
		}
		gauges[name] = gauge
	}
	reports, err := meter.Int64Counter("pomelocross_slot_reports", metric.WithDescription("reports to holders of the upstream role"))
	if err != nil {
		return err
	}
	i.counters.slotCounters = slotCounters{reports}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for name, stats := range i.queues.stats() {
			service := metric.WithAttributes(attribute.String("service", name))
			o.ObserveInt64(gauges["pomelocross_queue_waiting"], int64(stats.Waiting), service)
			o.ObserveInt64(gauges["pomelocross_queue_slots"], int64(stats.Slots), service)
			o.ObserveInt64(gauges["pomelocross_queue_ejected"], int64(stats.Ejected), service)
		}
		return nil
	}, gauges["pomelocross_queue_waiting"], gauges["pomelocross_queue_slots"], gauges["pomelocross_queue_ejected"])
	return err
}
