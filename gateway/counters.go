package gateway

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/objects"
)

// counters holds the metrics of an instance.
type counters struct {
	calls     metric.Int64Counter
	responses metric.Float64Histogram
	attempts  metric.Float64Histogram
	items     metric.Float64Histogram
	rewards   metric.Float64Histogram
	headAges  metric.Float64Histogram
	suspects  metric.Int64Counter
	work      metric.Float64Histogram
	moves     metric.Int64Counter
}

// latencyBuckets holds histogram bounds in seconds. They are dense around the latency
// goals of interactive requests (order desks) and of training steps.
var latencyBuckets = metric.WithExplicitBucketBoundaries(0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 4, 7.5, 12)

// workRatioBuckets holds histogram bounds of the ratio of actual to predicted work.
var workRatioBuckets = metric.WithExplicitBucketBoundaries(0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 10)

func newCounters(meter metric.Meter) (*counters, error) {
	c := &counters{}
	var errs [9]error
	c.calls, errs[0] = meter.Int64Counter("pomelocross.calls", metric.WithDescription("calls to the platform and orders to engines, by class and outcome"))
	c.responses, errs[1] = meter.Float64Histogram("pomelocross.answers", metric.WithUnit("s"), latencyBuckets, metric.WithDescription("answers to callers, by status"))
	c.attempts, errs[2] = meter.Float64Histogram("pomelocross.sendings", metric.WithUnit("s"), latencyBuckets, metric.WithDescription("single requests sent to upstreams, by outcome"))
	c.items, errs[3] = meter.Float64Histogram("pomelocross.items", metric.WithUnit("s"), latencyBuckets, metric.WithDescription("items of batches sent to engines, by ending"))
	c.rewards, errs[4] = meter.Float64Histogram("pomelocross.rewards", metric.WithUnit("s"), latencyBuckets, metric.WithDescription("reward calls of batch items, by outcome"))
	c.headAges, errs[5] = meter.Float64Histogram("pomelocross.head_age", metric.WithUnit("s"), latencyBuckets, metric.WithDescription("age of the confirmed head of a batch when an item or reward call is sent"))
	c.suspects, errs[6] = meter.Int64Counter("pomelocross.suspects", metric.WithDescription("requests suspected of crashing engines, by event"))
	c.work, errs[7] = meter.Float64Histogram("pomelocross.work_ratio", workRatioBuckets, metric.WithDescription("events that items generated, divided by those predicted, by the basis of the prediction"))
	c.moves, errs[8] = meter.Int64Counter("pomelocross.moves", metric.WithDescription("moves of batch items to another engine, by reason"))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, oops.In("gateway").With("step", "create metrics").Wrap(err)
	}
	return c, nil
}

// Add implements platform.Counter. It counts a call of a class by its outcome.
func (c *counters) Add(class string, err error) {
	c.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class), attribute.String("outcome", outcomeOf(err))))
}

// recordMove counts a move of an item to another engine.
func (c *counters) recordMove(reason batch.MoveReason) {
	c.moves.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}

// outcomeOf returns the value of the outcome label for an error.
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

// recordResponse records a response to a caller.
func (c *counters) recordResponse(status int, took time.Duration) {
	c.responses.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("status", strconv.Itoa(status))))
}

// recordAttempt records an attempt to send a request to an upstream.
func (c *counters) recordAttempt(o forward.Outcome, took time.Duration) {
	c.attempts.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("outcome", o.String())))
}

// recordItem records an attempt to run a batch item on an engine.
func (c *counters) recordItem(outcome string, took time.Duration) {
	c.items.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("ending", outcome)))
}

// recordWork records how far the predicted work of a batch item was off.
func (c *counters) recordWork(predicted cost.Estimate, work float64) {
	if predicted.Mean > 0 {
		c.work.Record(context.Background(), work/predicted.Mean, metric.WithAttributes(attribute.String("basis", string(predicted.Basis))))
	}
}

// recordReward records a reward call of a batch item.
func (c *counters) recordReward(outcome string, took time.Duration) {
	c.rewards.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

// recordHeadAge records the age of the confirmed head of a batch at a sending.
func (c *counters) recordHeadAge(age time.Duration) {
	c.headAges.Record(context.Background(), age.Seconds())
}

// recordSuspect counts an event of the quarantine.
func (c *counters) recordSuspect(event string) {
	c.suspects.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}
