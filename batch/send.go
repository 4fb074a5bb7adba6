package batch

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

// outcome is the outcome of an attempt.
type outcome int

const (
	outcomeComplete     outcome = iota
	outcomeRefused              // not run: the engine has no free slot or is loading weights
	outcomeFailed               // the engine responded with an error
	outcomeRejected             // the engine cannot process the item at all (status 422)
	outcomeBroken               // the response was interrupted; the received events are kept
	outcomeStaleWeights         // generated with weights older than the batch allows
	outcomeCanceled             // cancelled by this instance
)

func (o outcome) String() string {
	return [...]string{"complete", "refused", "failed", "rejected", "broken", "unfit", "canceled"}[o]
}

// hashFraction maps an item ID to [0, 1). It distributes items over the services of a
// split route so that an item always goes to the same service.
func hashFraction(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash never returns an error
	return float64(h.Sum32()) / (1 << 32)
}

// send sends an item to an engine and reads its events. It returns the outcome of the
// attempt.
func (r *Runner) send(ctx context.Context, q queuedItem, f upstream.Forward, choice roster.Choice) outcome {
	started := r.Clock.Now()
	response, err := r.Engines.Forward(ctx, choice.Target(), f)
	if err != nil {
		return r.attemptFailed(ctx, q, choice, err)
	}
	defer response.Body.Close()
	if err := upstream.CheckID(response.ID, f.ID); err != nil {
		return r.attemptFailed(ctx, q, choice, err)
	}
	if response.Occupancy != nil {
		r.Roster.SetLoad(choice.ID, *response.Occupancy, r.Clock.Now())
	}
	result := r.readResponse(ctx, q, response, choice)
	if r.Record != nil {
		r.Record(result.String(), r.Clock.Now().Sub(started))
	}
	return result
}

// readResponse checks the status and weight version of a response and reads its events.
func (r *Runner) readResponse(ctx context.Context, q queuedItem, response *upstream.Reply, choice roster.Choice) outcome {
	now := r.Clock.Now()
	switch {
	case response.NotRun:
		return r.handleRefusal(q, response, choice, now)
	case response.Status != http.StatusOK:
		return r.handleError(ctx, q, response, choice, now)
	}
	version := response.Version
	if version == 0 {
		version = choice.Version
	}
	r.Roster.SetVersion(choice.ID, q.state.item.Model, version)
	if version < q.job.sub.MinVersion {
		r.logItem(q, choice, "engine serves older weights than the batch allows; trying another engine", zap.Int64("version", version), zap.Int64("least", q.job.sub.MinVersion))
		return outcomeStaleWeights
	}
	return r.readEvents(ctx, q, response, choice, version)
}

// handleError handles a response with an error status, which counts only if it is complete.
func (r *Runner) handleError(ctx context.Context, q queuedItem, response *upstream.Reply, choice roster.Choice, now time.Time) outcome {
	if err := response.Discard(); err != nil {
		return r.attemptFailed(ctx, q, choice, err)
	}
	if response.Status == http.StatusUnprocessableEntity {
		return outcomeRejected
	}
	r.Roster.MarkFailed(choice.ID, now)
	r.logItem(q, choice, "engine responded to an item with an error", zap.Int("status", response.Status))
	return outcomeFailed
}

// refusalBackoff is how long an engine that refused an item gets no further items of the
// model. Loading weights takes about a second.
const refusalBackoff = 150 * time.Millisecond

// handleRefusal temporarily excludes an engine that did not run an item.
func (r *Runner) handleRefusal(q queuedItem, response *upstream.Reply, choice roster.Choice, now time.Time) outcome {
	if response.Misdirected {
		r.Roster.MarkFull(choice.ID, now, time.Second)
		r.logItem(q, choice, "another upstream uses the address of the engine; sending it no items for a second")
		return outcomeRefused
	}
	r.Roster.BlockModel(choice.ID, q.state.item.Model, now.Add(refusalBackoff))
	return outcomeRefused
}

// readEvents reads the events of a response until it ends.
func (r *Runner) readEvents(ctx context.Context, q queuedItem, response *upstream.Reply, choice roster.Choice, version int64) outcome {
	for {
		event, err := response.Next()
		if err == io.EOF {
			r.Roster.MarkSucceeded(choice.ID)
			return outcomeComplete
		}
		if err != nil {
			return r.attemptFailed(ctx, q, choice, err)
		}
		if event.Version > 0 {
			version = event.Version
			r.Roster.SetVersion(choice.ID, q.state.item.Model, version)
		}
		if err := r.addEvent(q, choice, event, version); err != nil {
			return r.attemptFailed(ctx, q, choice, err)
		}
	}
}

// errTextTooLarge ends an attempt whose text has become too large for the store.
var errTextTooLarge = errors.New("the text is too large for the store")

// addEvent appends an event to the text of an item. It returns errEnded if the item is
// no longer running, and errTextTooLarge if its text could not be stored.
func (r *Runner) addEvent(q queuedItem, choice roster.Choice, event upstream.Event, version int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, now := q.state, r.Clock.Now()
	if !q.job.open() || state.running == nil {
		return errEnded
	}
	if state.events > 0 && event.ID != state.lastEvent+1 {
		return oops.In("batch").With("item", state.item.ID, "event", event.ID, "last", state.lastEvent).Errorf("event is missing or duplicated")
	}
	if state.running.events > 0 {
		interval := now.Sub(state.running.lastActivity)
		r.Roster.ObserveEventInterval(choice.ID, interval, now)
		r.eventInterval += time.Duration(eventIntervalWeight * float64(interval-r.eventInterval))
	}
	r.Roster.RecordActivity(choice.ID, now)
	state.running.lastActivity = now
	state.running.events++
	r.Roster.SetGeneratedTokens(choice.ID, state.item.ID, state.running.events*eventTokens)
	if state.text.Len()+len(event.Data) > maxValueBytes {
		r.abandonText(q.job, state)
		return errTextTooLarge
	}
	state.appendEvent(event.Data, event.ID, version)
	return nil
}

// attemptFailed handles an error of a request or its response.
func (r *Runner) attemptFailed(ctx context.Context, q queuedItem, choice roster.Choice, err error) outcome {
	if ctx.Err() != nil {
		return outcomeCanceled
	}
	if errors.Is(err, errEnded) || errors.Is(err, errTextTooLarge) {
		return outcomeCanceled
	}
	if errors.Is(err, upstream.ErrWithheld) {
		return outcomeRefused
	}
	r.Roster.MarkFailed(choice.ID, r.Clock.Now())
	r.logItem(q, choice, "item's response was interrupted; trying another engine", telemetry.Error(err))
	return outcomeBroken
}

// logItem logs a message about an item at an engine.
func (r *Runner) logItem(q queuedItem, choice roster.Choice, message string, fields ...zap.Field) {
	r.Log.Info(message, append(fields, zap.String("batch", q.job.id), zap.String("item", q.state.item.ID), zap.String("upstream", choice.ID))...)
}

// recordComplete records the result of an item whose text is complete, unless the store can't hold
// it. The caller holds mu.
func (r *Runner) recordComplete(j *job, s *itemState) {
	result := s.result()
	if encodedSize(result) > maxValueBytes {
		r.abandonText(j, s)
		return
	}
	j.recordResult(result)
}

// abandonText deletes the text of an item because the store can't hold it. The caller holds mu.
func (r *Runner) abandonText(j *job, s *itemState) {
	s.abandonText()
	r.Log.Warn("text of an item is too large for the store; the item is abandoned when its batch expires", zap.String("batch", j.id), zap.String("item", s.item.ID), zap.Int("limit", maxValueBytes))
}

// failuresPerAttempt is the number of error responses that an item may get for each
// attempt that its route allows, so that a faulty engine does not fail an item that
// other engines could complete. An owner that crashes may lose the count of as many more
// as the route allows attempts.
const failuresPerAttempt = 2

// finishAttempt handles the end of an attempt: it records a final result or leaves the
// item queued for another attempt.
func (r *Runner) finishAttempt(q queuedItem, result outcome, route catalog.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.Signal()
	state := q.state
	r.Roster.End(state.running.upstream, state.item.ID)
	ended := state.running
	engineID := ended.upstream
	state.running = nil
	if !q.job.open() {
		r.texts.add(state)
		return
	}
	switch result {
	case outcomeComplete:
		if state.events == 0 || (route.SingleVersion && len(state.versions) > 1) {
			state.discardText()
			return
		}
		r.observeWork(q.job, state, ended)
		r.Log.Info("item is complete", zap.String("batch", q.job.head.ID), zap.String("item", state.item.ID), zap.String("group", state.item.Group),
			zap.String("upstream", engineID), zap.Duration("waited", state.queueTime), zap.Duration("took", r.Clock.Now().Sub(state.added)), zap.Bool("awaitsReward", state.item.Reward != nil),
			zap.Int("events", state.events), zap.Int("expected", state.item.Expected()), zap.Int("sendings", state.attempts), zap.Int("moves", state.moves), zap.Int64s("versions", state.versions),
			zap.Float64("predicted", ended.predicted.Mean), zap.String("basis", string(ended.predicted.Basis)), zap.Any("placement", ended.choice))
		if state.item.Reward != nil {
			state.awaitReward(r.Clock.Now())
			return
		}
		r.recordComplete(q.job, state)
	case outcomeRejected:
		q.job.recordResult(Result{ID: state.item.ID, State: Dead})
	case outcomeFailed:
		state.failures++
		state.avoid = engineID
		if state.failures >= failuresPerAttempt*route.Attempts {
			q.job.recordResult(Result{ID: state.item.ID, State: Dead})
		}
	case outcomeBroken, outcomeStaleWeights, outcomeRefused:
		state.avoid = engineID
	}
	if route.SingleVersion && len(state.versions) > 1 {
		state.discardText()
	}
}
