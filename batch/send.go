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

// ending is how one sending of an item ended.
type ending int

const (
	endComplete ending = iota
	endRefused         // not run: the engine had no room or loads weights
	endFailed          // the engine answered a failure of its own
	endRejected        // the engine says that the item can never be done
	endBroken          // the answer broke off; what came of it counts
	endUnfit           // made under weights that the batch does not allow
	endCanceled        // given up here
)

func (e ending) String() string {
	return [...]string{"complete", "refused", "failed", "rejected", "broken", "unfit", "canceled"}[e]
}

var errCrossed = errors.New("the answer belongs to another request")

// drawOf spreads items over the services of a split route, the same item always
// to the same.
func drawOf(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes every write
	return float64(h.Sum32()) / (1 << 32)
}

// send runs one sending of an item and takes its events in.
func (r *Runner) send(ctx context.Context, w waiting, f upstream.Forward, to roster.Choice) ending {
	target := upstream.Target{ID: to.ID, Address: to.Address}
	begun := r.Clock.Now()
	reply, err := r.Engines.Forward(ctx, target, f)
	if err != nil {
		return r.broke(ctx, w, to, err)
	}
	defer reply.Body.Close()
	if reply.Occupancy != nil {
		r.Roster.SetLoad(to.ID, *reply.Occupancy, r.Clock.Now())
	}
	end := r.read(ctx, w, reply, to)
	if r.Record != nil {
		r.Record(end.String(), r.Clock.Now().Sub(begun))
	}
	return end
}

func (r *Runner) read(ctx context.Context, w waiting, reply *upstream.Reply, to roster.Choice) ending {
	now := r.Clock.Now()
	switch {
	case reply.NotRun:
		return r.refused(w, reply, to, now)
	case reply.Status == http.StatusUnprocessableEntity:
		return endRejected
	case reply.Status != http.StatusOK:
		r.Roster.MarkFailed(to.ID, now)
		r.note(w, to, "engine failed an item", zap.Int("status", reply.Status))
		return endFailed
	case reply.ID != w.state.item.ID:
		return r.broke(ctx, w, to, errCrossed)
	}
	version := reply.Version
	if version == 0 {
		version = to.Version
	}
	r.Roster.SetVersion(to.ID, w.state.item.Model, version)
	if version < w.job.sub.MinVersion {
		r.note(w, to, "engine serves older weights than the batch allows", zap.Int64("version", version), zap.Int64("least", w.job.sub.MinVersion))
		return endUnfit
	}
	return r.stream(ctx, w, reply, to, version)
}

// refusedPause keeps further items from an engine that refused one: a load of
// weights takes about a second.
const refusedPause = 150 * time.Millisecond

func (r *Runner) refused(w waiting, reply *upstream.Reply, to roster.Choice, now time.Time) ending {
	if reply.Misdirected {
		r.Roster.MarkFull(to.ID, now, time.Second)
		r.note(w, to, "another upstream has the engine's address")
		return endRefused
	}
	r.Roster.BlockModel(to.ID, w.state.item.Model, now.Add(refusedPause))
	return endRefused
}

// stream takes in the events of an answer.
func (r *Runner) stream(ctx context.Context, w waiting, reply *upstream.Reply, to roster.Choice, version int64) ending {
	for {
		event, err := reply.Next()
		if err == io.EOF {
			r.Roster.MarkSucceeded(to.ID)
			return endComplete
		}
		if err != nil {
			return r.broke(ctx, w, to, err)
		}
		if event.Version > 0 {
			version = event.Version
			r.Roster.SetVersion(to.ID, w.state.item.Model, version)
		}
		if err := r.take(w, to, event, version); err != nil {
			return r.broke(ctx, w, to, err)
		}
	}
}

// take adds an event to an item's text.
func (r *Runner) take(w waiting, to roster.Choice, event upstream.Event, version int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := w.state, r.Clock.Now()
	if !w.job.open() || s.running == nil {
		return errEnded
	}
	if s.events > 0 && event.ID != s.last+1 {
		return oops.In("batch").With("item", s.item.ID, "event", event.ID, "last", s.last).Errorf("an event is missing or doubled")
	}
	if s.running.events > 0 {
		took := now.Sub(s.running.sign)
		r.Roster.ObserveEventInterval(to.ID, took, now)
		r.pace += time.Duration(paceWeight * float64(took-r.pace))
	}
	s.running.sign = now
	s.running.events++
	r.Roster.SetGeneratedTokens(to.ID, s.item.ID, s.running.events*eventTokens)
	s.add(event.Data, event.ID, version)
	return nil
}

// broke notes an answer that ended early.
func (r *Runner) broke(ctx context.Context, w waiting, to roster.Choice, err error) ending {
	if ctx.Err() != nil {
		return endCanceled
	}
	if errors.Is(err, errEnded) {
		return endCanceled
	}
	r.Roster.MarkFailed(to.ID, r.Clock.Now())
	r.note(w, to, "item's answer broke off", telemetry.Error(err))
	return endBroken
}

func (r *Runner) note(w waiting, to roster.Choice, message string, fields ...zap.Field) {
	r.Log.Info(message, append(fields, zap.String("batch", w.job.head.ID), zap.String("item", w.state.item.ID), zap.String("upstream", to.ID))...)
}

// failuresFactor is how many answers of failure an item may have for each
// attempt that its route allows: a failing engine must not end an item that
// others can do.
const failuresFactor = 2

// settle takes in the end of a sending.
func (r *Runner) settle(w waiting, end ending, route catalog.Route) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.Signal()
	s := w.state
	r.Roster.End(s.running.upstream, s.item.ID)
	from := s.running.upstream
	s.running = nil
	if !w.job.open() {
		r.kept.keep(s)
		return
	}
	switch end {
	case endComplete:
		if s.events == 0 || (route.SingleVersion && len(s.versions) > 1) {
			s.restart()
			return
		}
		r.Log.Info("item is complete", zap.String("batch", w.job.head.ID), zap.String("item", s.item.ID), zap.String("group", s.item.Group),
			zap.String("upstream", from), zap.Duration("waited", s.waited), zap.Duration("took", r.Clock.Now().Sub(s.added)),
			zap.Int("events", s.events), zap.Int("expected", s.item.Expected()), zap.Int("sendings", s.sendings), zap.Int("moves", s.moves), zap.Int64s("versions", s.versions))
		w.job.finish(s.result())
	case endRejected:
		w.job.finish(Result{ID: s.item.ID, State: Dead})
	case endFailed:
		s.failures++
		s.avoid = from
		if s.failures >= failuresFactor*route.Attempts {
			w.job.finish(Result{ID: s.item.ID, State: Dead})
		}
	case endBroken, endUnfit, endRefused:
		s.avoid = from
	}
	if route.SingleVersion && len(s.versions) > 1 {
		s.restart()
	}
}
