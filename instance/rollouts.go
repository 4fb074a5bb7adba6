package instance

import (
	"errors"
	"net/http"

	"github.com/go-playground/validator/v10"

	"github.com/pomelocross/pomelocross/internal/httpjson"
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
		rolloutFailure(err).write(w)
		return
	}
	if _, _, err := i.homeOf(r.Context(), spec.Run, team); err != nil {
		rolloutFailure(err).write(w)
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
	ledger, err := i.ledger(r.Context(), r.PathValue("run"))
	if err == nil && ledger.Team != team {
		err = rollout.ErrOtherTeam
	}
	if err == nil {
		err = i.nameWeights(r.Context(), ledger.Model, spec.WeightVersion)
	}
	if err == nil {
		err = i.startStep(r.Context(), r.PathValue("run"), team, spec)
	}
	if err != nil {
		rolloutFailure(err).write(w)
		return
	}
	httpjson.Write(w, http.StatusAccepted, struct{}{})
}

func (i *Instance) postPull(w http.ResponseWriter, r *http.Request, team string) {
	var request rollout.PullRequest
	if !readChecked(w, r, &request) {
		return
	}
	batch, err := i.pull(r.Context(), r.PathValue("run"), team, request)
	if err != nil {
		rolloutFailure(err).write(w)
		return
	}
	if batch == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	httpjson.Write(w, http.StatusOK, batch)
}

func rolloutFailure(err error) *refusal {
	f := &refusal{status: http.StatusServiceUnavailable, code: "try_again", message: "the run could not be served now", retryAfter: busyPause}
	switch {
	case errors.Is(err, rollout.ErrUnknownRun), errors.Is(err, rollout.ErrOtherTeam):
		f = &refusal{status: http.StatusNotFound, code: "no_run", message: rollout.ErrUnknownRun.Error(), notRun: true}
	case errors.Is(err, rollout.ErrOrder):
		f = &refusal{status: http.StatusConflict, code: "batch_order", message: err.Error(), notRun: true}
	case errors.Is(err, rollout.ErrStepExists):
		f = &refusal{status: http.StatusConflict, code: "step_exists", message: err.Error(), notRun: true}
	case errors.Is(err, rollout.ErrTooMany):
		f = &refusal{status: http.StatusTooManyRequests, code: "too_many_steps", message: err.Error(), notRun: true, retryAfter: busyPause}
	}
	return f
}
