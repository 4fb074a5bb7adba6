package instance

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-playground/validator/v10"

	"github.com/pomelocross/pomelocross/internal/httpjson"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

const maxStepBytes = 16 << 20

var checker = validator.New(validator.WithRequiredStructEnabled())

// readChecked decodes and validates a body, or answers with what is wrong.
func readChecked(w http.ResponseWriter, r *http.Request, v any) bool {
	err := httpjson.Read(w, r, maxStepBytes, v)
	if err == nil {
		err = checker.Struct(v)
	}
	if err == nil {
		return true
	}
	(&refusal{status: http.StatusBadRequest, code: "bad_request", message: err.Error(), notRun: true}).write(w)
	return false
}

func (i *Instance) createRun(w http.ResponseWriter, r *http.Request, team string) {
	var spec rollout.RunSpec
	if !readChecked(w, r, &spec) {
		return
	}
	if _, ok := i.view.Load().Contract.Model(spec.Model); !ok {
		(&refusal{status: http.StatusNotFound, code: "no_model", message: "the model is not declared", notRun: true}).write(w)
		return
	}
	if err := rollout.Create(r.Context(), i.platform, spec, team, i.settings.Name); err != nil {
		rolloutFailure(r.Context(), err).write(w)
		return
	}
	if _, err := i.progress(r.Context(), spec.Run, team); err != nil {
		rolloutFailure(r.Context(), err).write(w)
		return
	}
	httpjson.Write(w, http.StatusCreated, spec)
}

func (i *Instance) postStep(w http.ResponseWriter, r *http.Request, team string) {
	var spec rollout.StepSpec
	if !readChecked(w, r, &spec) {
		return
	}
	if spec.Samples() > rollout.MaxStepSamples {
		(&refusal{status: http.StatusBadRequest, code: "bad_request", message: "too many samples in a step", notRun: true}).write(w)
		return
	}
	ledger, _, err := rollout.Read(r.Context(), i.platform, r.PathValue("run"))
	if err == nil && ledger.Team != team {
		err = rollout.ErrOtherTeam
	}
	if err == nil {
		err = i.nameWeights(r.Context(), ledger.Model, spec.WeightVersion)
	}
	if err == nil {
		err = i.startStep(r.Context(), RunCall{r.PathValue("run"), team}, spec)
	}
	if err != nil {
		rolloutFailure(r.Context(), err).write(w)
		return
	}
	httpjson.Write(w, http.StatusAccepted, struct{}{})
}

func (i *Instance) postPull(w http.ResponseWriter, r *http.Request, team string) {
	var request rollout.PullRequest
	if !readChecked(w, r, &request) {
		return
	}
	delivery, err := i.pull(r.Context(), RunCall{r.PathValue("run"), team}, request)
	if err != nil {
		rolloutFailure(r.Context(), err).write(w)
		return
	}
	if delivery == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(delivery.Body)))
	_, _ = w.Write(delivery.Body) // what is lost is handed over again
}

func (i *Instance) getRun(w http.ResponseWriter, r *http.Request, team string) {
	progress, err := i.progress(r.Context(), r.PathValue("run"), team)
	if err != nil {
		rolloutFailure(r.Context(), err).write(w)
		return
	}
	httpjson.Write(w, http.StatusOK, progress)
}

func (i *Instance) deleteRun(w http.ResponseWriter, r *http.Request, team string) {
	if err := i.closeRun(r.Context(), RunCall{r.PathValue("run"), team}); err != nil {
		rolloutFailure(r.Context(), err).write(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// callPatience is how long a request looks for its run's home. It is short, so
// that a trainer soon asks an instance that reaches the home.
const callPatience = time.Second

// startStep starts a step at the run's home.
func (i *Instance) startStep(ctx context.Context, run RunCall, spec rollout.StepSpec) error {
	return i.atHome(ctx, homeCall{
		run: run.Run, team: run.Team,
		here: func(ctx context.Context, home *rollout.Home) error { return home.StartStep(ctx, spec) },
		there: func(ctx context.Context, address string) error {
			var reply StepReply
			if err := i.callHome(ctx, address, "Step", peerMargin, StepCall{run, spec}, &reply); err != nil {
				return err
			}
			return reply.Failure.err()
		},
	}, callPatience)
}

// pull pulls a batch from the run's home.
func (i *Instance) pull(ctx context.Context, run RunCall, request rollout.PullRequest) (*rollout.Delivery, error) {
	var delivery *rollout.Delivery
	until := i.clock.Now().Add(waitOf(request))
	left := func() rollout.PullRequest {
		wait := max(0, until.Sub(i.clock.Now()))
		return rollout.PullRequest{Consumed: request.Consumed, WaitSeconds: wait.Seconds()}
	}
	err := i.atHome(ctx, homeCall{
		run: run.Run, team: run.Team,
		here: func(ctx context.Context, home *rollout.Home) (err error) {
			delivery, err = home.Pull(ctx, left())
			return err
		},
		there: func(ctx context.Context, address string) (err error) {
			delivery, err = i.pullThere(ctx, address, PullCall{run, left()})
			return err
		},
	}, min(callPatience, waitOf(request)))
	return delivery, err
}

// progress returns the state of a run from its home.
func (i *Instance) progress(ctx context.Context, run, team string) (rollout.Progress, error) {
	var progress rollout.Progress
	err := i.atHome(ctx, homeCall{
		run: run, team: team,
		here: func(_ context.Context, home *rollout.Home) error {
			progress = home.Progress()
			return nil
		},
		there: func(ctx context.Context, address string) error {
			var reply ProgressReply
			if err := i.callHome(ctx, address, "Progress", peerMargin, RunCall{run, team}, &reply); err != nil {
				return err
			}
			progress = reply.Progress
			return reply.Failure.err()
		},
	}, callPatience)
	return progress, err
}

// closeRun closes a run at its home.
func (i *Instance) closeRun(ctx context.Context, run RunCall) error {
	return i.atHome(ctx, homeCall{
		run: run.Run, team: run.Team,
		here: func(ctx context.Context, home *rollout.Home) error { return home.Delete(ctx) },
		there: func(ctx context.Context, address string) error {
			var reply StepReply
			if err := i.callHome(ctx, address, "Delete", peerMargin, run, &reply); err != nil {
				return err
			}
			return reply.Failure.err()
		},
	}, callPatience)
}

// nameWeights tells all instances of a trainer's newest weight version.
func (i *Instance) nameWeights(ctx context.Context, model string, version int64) error {
	for {
		o, err := i.platform.Get(ctx, objects.KindWeights, model)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return err
		}
		var named int64
		_ = json.Unmarshal(o.Value, &named) // absent reads as zero
		if named >= version {
			return nil
		}
		_, err = i.platform.Put(ctx, objects.KindWeights, model, o.Version, version)
		if !errors.Is(err, objects.ErrConflict) {
			return err
		}
	}
}

// rolloutFailure returns what a trainer is told of a request that failed.
func rolloutFailure(ctx context.Context, err error) *refusal {
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		return refuseKey()
	}
	for _, known := range rolloutRefusals {
		if errors.Is(err, known.err) {
			f := known.refusal
			f.notRun = true
			if f.message == "" {
				f.message = trainerMessage(err, known.err)
			}
			return &f
		}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: "try_again", message: "the run could not be served now", retryAfter: busyPause}
}

// trainerMessage returns an error's text without the wrapping of inner layers.
func trainerMessage(err, known error) string {
	var order *rollout.OrderError
	if errors.As(err, &order) {
		return order.Error()
	}
	return known.Error()
}

// rolloutRefusals are the answers to requests that had no effect. A run of
// another team looks like none.
var rolloutRefusals = []struct {
	err     error
	refusal refusal
}{
	{rollout.ErrUnknownRun, refusal{status: http.StatusNotFound, code: "no_run"}},
	{rollout.ErrOtherTeam, refusal{status: http.StatusNotFound, code: "no_run", message: rollout.ErrUnknownRun.Error()}},
	{rollout.ErrRunExists, refusal{status: http.StatusConflict, code: "run_exists"}},
	{rollout.ErrClosed, refusal{status: http.StatusGone, code: "run_closed"}},
	{rollout.ErrOrder, refusal{status: http.StatusConflict, code: "batch_order"}},
	{rollout.ErrSuperseded, refusal{status: http.StatusConflict, code: "pull_superseded"}},
	{rollout.ErrStepExists, refusal{status: http.StatusConflict, code: "step_exists"}},
	{rollout.ErrTooMany, refusal{status: http.StatusTooManyRequests, code: "too_many_steps", retryAfter: busyPause}},
}
