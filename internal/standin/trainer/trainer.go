// Package trainer is a small test stand-in for a trainer: it requests steps,
// pulls batches and keeps every sample it receives.
package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/pomelocross/pomelocross/rollout"
)

// Record lists the violations that the trainer observed.
type Record struct {
	// Duplicated are the samples received in more than one consumed batch.
	Duplicated []string
	// Changed are the numbers of batches that were delivered again with different
	// bytes.
	Changed []int64
	// Stale are the samples that exceeded the maximum staleness when received.
	Stale []string
	// Unversioned are the samples in which some tokens have no weight version.
	Unversioned []string
	// Conflicts are the bodies of responses that rejected a batch number as out of
	// order (status 409).
	Conflicts []string
}

// Trainer drives one run. It is not safe for concurrent use.
type Trainer struct {
	// Addresses are the entry instances, used in round-robin order.
	Addresses []string
	Key       string
	Run       string
	// LoseEvery discards every n-th batch received, as if the response had been
	// lost; 0 discards none.
	LoseEvery int
	// Timeout limits each request; 0 means 10 s.
	Timeout time.Duration
	// Samples are the samples of the consumed batches, in order.
	Samples []rollout.Sample
	// Lost counts the batches discarded because of LoseEvery.
	Lost int

	http          http.Client
	nextAddress   int
	consumed      int64
	received      int
	staleness     int64
	weightVersion int64 // newest one that the service has accepted
	bodies        map[int64]string
	seen          map[string]bool
	record        Record
}

const (
	defaultTimeout  = 10 * time.Second
	pullWaitSeconds = 2
	retryInterval   = 50 * time.Millisecond
)

// Record returns the violations observed.
func (t *Trainer) Record() Record { return t.record }

// Create creates the run.
func (t *Trainer) Create(ctx context.Context, spec rollout.RunSpec) error {
	t.staleness, t.bodies, t.seen = spec.MaxStaleness, map[int64]string{}, map[string]bool{}
	return t.postUntilAccepted(ctx, "/v1/runs", spec)
}

// Step requests a step and retries until the service accepts it.
func (t *Trainer) Step(ctx context.Context, spec rollout.StepSpec) error {
	if err := t.postUntilAccepted(ctx, "/v1/runs/"+t.Run+"/steps", spec); err != nil {
		return err
	}
	t.weightVersion = max(t.weightVersion, spec.WeightVersion)
	return nil
}

// postUntilAccepted retries a request while the service is unreachable or
// responds with status 503 or 429.
func (t *Trainer) postUntilAccepted(ctx context.Context, path string, body any) error {
	for {
		status, _, err := t.post(ctx, path, body)
		retryable := status == 0 || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if err == nil || !retryable || ctx.Err() != nil {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// Collect pulls batches until a step is complete.
func (t *Trainer) Collect(ctx context.Context, step int64) error {
	for ctx.Err() == nil {
		batch, err := t.Pull(ctx)
		if err != nil {
			time.Sleep(retryInterval)
			continue
		}
		if batch != nil && batch.Step == step && batch.StepWhole {
			return nil
		}
	}
	return ctx.Err()
}

// Pull sends one pull request and consumes the batch received. It returns nil if
// no batch is ready or LoseEvery discarded it.
func (t *Trainer) Pull(ctx context.Context) (*rollout.Batch, error) {
	status, body, err := t.post(ctx, "/v1/runs/"+t.Run+"/pull", rollout.PullRequest{Consumed: t.consumed, WaitSeconds: pullWaitSeconds})
	if status == http.StatusConflict {
		t.record.Conflicts = append(t.record.Conflicts, string(body))
	}
	if err != nil || status == http.StatusNoContent {
		return nil, err
	}
	var batch rollout.Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, err
	}
	if before, seen := t.bodies[batch.Number]; seen && before != string(body) {
		t.record.Changed = append(t.record.Changed, batch.Number)
	}
	t.bodies[batch.Number] = string(body)
	t.received++
	if t.LoseEvery > 0 && t.received%t.LoseEvery == 0 {
		t.Lost++
		return nil, nil
	}
	if batch.Number > t.consumed {
		t.consume(&batch)
	}
	return &batch, nil
}

func (t *Trainer) consume(batch *rollout.Batch) {
	t.consumed = batch.Number
	for _, s := range batch.Samples {
		id := fmt.Sprintf("%d/%d", s.Step, s.Number)
		if t.seen[id] {
			t.record.Duplicated = append(t.record.Duplicated, id)
		}
		t.seen[id] = true
		if s.Oldest() < t.weightVersion-t.staleness {
			t.record.Stale = append(t.record.Stale, id)
		}
		tokens := 0
		for _, r := range s.Ranges {
			tokens += r.Tokens
		}
		if tokens != s.OutputTokens || s.Oldest() <= 0 {
			t.record.Unversioned = append(t.record.Unversioned, id)
		}
		t.Samples = append(t.Samples, s)
	}
}

// Acknowledge reports the last batch as consumed without waiting for another.
func (t *Trainer) Acknowledge(ctx context.Context) error {
	_, _, err := t.post(ctx, "/v1/runs/"+t.Run+"/pull", rollout.PullRequest{Consumed: t.consumed})
	return err
}

// Duplicated returns the samples received in more than one consumed batch.
func (t *Trainer) Duplicated() []string { return t.record.Duplicated }

// post sends a request to the next address. Status 0 means that no complete
// response was received.
func (t *Trainer) post(ctx context.Context, path string, body any) (int, []byte, error) {
	timeout := t.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := t.Addresses[t.nextAddress%len(t.Addresses)]
	t.nextAddress++
	r, err := sling.New().Post("http://"+address+path).Set("Authorization", "Bearer "+t.Key).BodyJSON(body).Request()
	if err != nil {
		return 0, nil, err
	}
	response, err := t.http.Do(r.WithContext(ctx))
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, err
	}
	if response.StatusCode >= 300 {
		return response.StatusCode, data, errors.New(string(data))
	}
	return response.StatusCode, data, nil
}
