package instance

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/internal/httpjson"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

const maxStepBytes = 16 << 20

var validate = validator.New(validator.WithRequiredStructEnabled())

// readValidated decodes and validates the body of a request. If that fails, it
// writes an error response and returns false.
func readValidated(w http.ResponseWriter, r *http.Request, v any) bool {
	err := httpjson.Read(w, r, maxStepBytes, v)
	if err == nil {
		err = validate.Struct(v)
	}
	if err == nil {
		return true
	}
	response := badRequest(err)
	// A step that finds no room may have been accepted before.
	response.notRun = !errors.Is(err, intake.ErrNoRoom)
	response.write(w)
	return false
}

func (i *Instance) createRun(w http.ResponseWriter, r *http.Request, team string) {
	var spec rollout.RunSpec
	if !readValidated(w, r, &spec) {
		return
	}
	if _, ok := i.view.Load().Contract.Model(spec.Model); !ok {
		(&errorResponse{status: http.StatusNotFound, code: "no_model", message: "the model is not declared", notRun: true}).write(w)
		return
	}
	if err := rollout.Create(r.Context(), i.platform, spec, team, i.settings.Name); err != nil {
		rolloutError(r.Context(), err).write(w)
		return
	}
	if _, err := i.progress(r.Context(), spec.Run, team); err != nil {
		rolloutError(r.Context(), err).write(w)
		return
	}
	httpjson.Write(w, http.StatusCreated, spec)
}

func (i *Instance) postStep(w http.ResponseWriter, r *http.Request, team string) {
	var spec rollout.StepSpec
	if !readValidated(w, r, &spec) {
		return
	}
	if spec.Samples() > rollout.MaxStepSamples {
		(&errorResponse{status: http.StatusBadRequest, code: "bad_request", message: "too many samples in a step", notRun: true}).write(w)
		return
	}
	ledger, _, err := rollout.Read(r.Context(), i.platform, r.PathValue("run"))
	if err == nil && ledger.Team != team {
		err = rollout.ErrOtherTeam
	}
	if err == nil {
		err = i.publishWeightVersion(r.Context(), ledger.Model, spec.WeightVersion)
	}
	if err == nil {
		err = i.startStep(r.Context(), RunCall{r.PathValue("run"), team}, spec)
	}
	if err != nil {
		rolloutError(r.Context(), err).write(w)
		return
	}
	httpjson.Write(w, http.StatusAccepted, struct{}{})
}

func (i *Instance) postPull(w http.ResponseWriter, r *http.Request, team string) {
	var request rollout.PullRequest
	if !readValidated(w, r, &request) {
		return
	}
	delivery, err := i.pull(r.Context(), RunCall{r.PathValue("run"), team}, request)
	if err != nil {
		rolloutError(r.Context(), err).write(w)
		return
	}
	if delivery == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(delivery.Body)))
	_, _ = w.Write(delivery.Body) // if the write fails, the next pull returns the batch again
}

func (i *Instance) getRun(w http.ResponseWriter, r *http.Request, team string) {
	progress, err := i.progress(r.Context(), r.PathValue("run"), team)
	if err != nil {
		rolloutError(r.Context(), err).write(w)
		return
	}
	httpjson.Write(w, http.StatusOK, progress)
}

func (i *Instance) deleteRun(w http.ResponseWriter, r *http.Request, team string) {
	if err := i.closeRun(r.Context(), RunCall{r.PathValue("run"), team}); err != nil {
		rolloutError(r.Context(), err).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// homeTimeout limits the attempts to reach a run's home. It is short, so that a
// trainer soon tries another instance that may reach the home.
const homeTimeout = time.Second

// startStep starts a step through the run's home.
func (i *Instance) startStep(ctx context.Context, run RunCall, spec rollout.StepSpec) error {
	return i.callRunHome(ctx, homeCall{
		run: run.Run, team: run.Team,
		local: func(ctx context.Context, home *rollout.Home) error { return home.StartStep(ctx, spec) },
		remote: func(ctx context.Context, address string) error {
			var reply StepReply
			if err := i.callHome(ctx, address, "Step", peerCallMargin, StepCall{run, spec}, &reply); err != nil {
				return err
			}
			return reply.Failure.err()
		},
	}, homeTimeout)
}

// pull returns a batch from the run's home, or nil if none is available within the
// requested wait.
func (i *Instance) pull(ctx context.Context, run RunCall, request rollout.PullRequest) (*rollout.Delivery, error) {
	var delivery *rollout.Delivery
	deadline := i.clock.Now().Add(pullWait(request))
	remaining := func() rollout.PullRequest {
		wait := max(0, deadline.Sub(i.clock.Now()))
		return rollout.PullRequest{Consumed: request.Consumed, WaitSeconds: wait.Seconds()}
	}
	err := i.callRunHome(ctx, homeCall{
		run: run.Run, team: run.Team,
		local: func(ctx context.Context, home *rollout.Home) (err error) {
			delivery, err = home.Pull(ctx, remaining())
			return err
		},
		remote: func(ctx context.Context, address string) (err error) {
			delivery, err = i.pullFromPeer(ctx, address, PullCall{run, remaining()})
			return err
		},
	}, min(homeTimeout, pullWait(request)))
	return delivery, err
}

// progress returns the state of a run as reported by its home.
func (i *Instance) progress(ctx context.Context, run, team string) (rollout.Progress, error) {
	var progress rollout.Progress
	err := i.callRunHome(ctx, homeCall{
		run: run, team: team,
		local: func(_ context.Context, home *rollout.Home) error {
			progress = home.Progress()
			return nil
		},
		remote: func(ctx context.Context, address string) error {
			var reply ProgressReply
			if err := i.callHome(ctx, address, "Progress", peerCallMargin, RunCall{run, team}, &reply); err != nil {
				return err
			}
			progress = reply.Progress
			return reply.Failure.err()
		},
	}, homeTimeout)
	return progress, err
}

// closeRun closes a run through its home.
func (i *Instance) closeRun(ctx context.Context, run RunCall) error {
	return i.callRunHome(ctx, homeCall{
		run: run.Run, team: run.Team,
		local: func(ctx context.Context, home *rollout.Home) error { return home.Delete(ctx) },
		remote: func(ctx context.Context, address string) error {
			var reply StepReply
			if err := i.callHome(ctx, address, "Delete", peerCallMargin, run, &reply); err != nil {
				return err
			}
			return reply.Failure.err()
		},
	}, homeTimeout)
}

// publishWeightVersion stores a trainer's weight version on the platform, from which
// all instances read it. The stored version never decreases.
func (i *Instance) publishWeightVersion(ctx context.Context, model string, version int64) error {
	for {
		o, err := i.platform.Get(ctx, objects.KindWeights, model)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return err
		}
		var published int64
		_ = json.Unmarshal(o.Value, &published) // a missing object has an empty value and counts as version 0
		if published >= version {
			return nil
		}
		_, err = i.platform.Put(ctx, objects.KindWeights, model, o.Version, version)
		if !errors.Is(err, objects.ErrConflict) {
			return err
		}
	}
}

// rolloutError returns the response to a trainer's request that failed with err.
func rolloutError(ctx context.Context, err error) *errorResponse {
	if errors.Is(context.Cause(ctx), errKeyWithdrawn) {
		return keyRejected()
	}
	for _, known := range rolloutErrors {
		if errors.Is(err, known.err) {
			response := known.response
			response.notRun = true
			if response.message == "" {
				response.message = trainerMessage(err, known.err)
			}
			return &response
		}
	}
	return &errorResponse{status: http.StatusServiceUnavailable, code: "try_again", message: "the run could not be served now", retryAfter: defaultRetryAfter}
}

// trainerMessage returns the message of an error without wrapped context.
func trainerMessage(err, known error) string {
	var order *rollout.OrderError
	if errors.As(err, &order) {
		return order.Error()
	}
	return known.Error()
}

// rolloutErrors are the responses to requests that had no effect. A run of another
// team is reported as unknown.
var rolloutErrors = []struct {
	err      error
	response errorResponse
}{
	{rollout.ErrUnknownRun, errorResponse{status: http.StatusNotFound, code: "no_run"}},
	{rollout.ErrOtherTeam, errorResponse{status: http.StatusNotFound, code: "no_run", message: rollout.ErrUnknownRun.Error()}},
	{rollout.ErrRunExists, errorResponse{status: http.StatusConflict, code: "run_exists"}},
	{rollout.ErrClosed, errorResponse{status: http.StatusGone, code: "run_closed"}},
	{rollout.ErrOrder, errorResponse{status: http.StatusConflict, code: "batch_order"}},
	{rollout.ErrSuperseded, errorResponse{status: http.StatusConflict, code: "pull_superseded"}},
	{rollout.ErrStepExists, errorResponse{status: http.StatusConflict, code: "step_exists"}},
	{rollout.ErrTooMany, errorResponse{status: http.StatusTooManyRequests, code: "too_many_steps", retryAfter: defaultRetryAfter}},
}
