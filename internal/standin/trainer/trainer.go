// Package trainer is a small stand-in for a trainer: it asks for steps, pulls
// batches and keeps every sample it was handed.
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

// Record is what a trainer saw that no trainer should see.
type Record struct {
	// Doubled are samples in more than one consumed batch.
	Duplicated []string
	// Changed are batch numbers that came with other bytes than before.
	Changed []int64
	// Stale are samples older than the bound when they arrived.
	Stale []string
	// Unnamed are samples with tokens that no weight version is named for.
	Unversioned []string
	// Refused are answers that said that batch numbers were out of order.
	Refused []string
}

// Trainer drives one run. It is not safe for concurrent use.
type Trainer struct {
	// Addresses are entry instances, asked in turn.
	Addresses []string
	Key       string
	Run       string
	// LoseEvery drops each n-th batch after it has arrived, as if the answer
	// had been lost; 0 drops none.
	LoseEvery int
	// Timeout bounds one request; 0 is 10 s.
	Timeout time.Duration
	// Held are the samples of consumed batches, in order.
	Samples []rollout.Sample
	// Lost counts answers dropped by LoseEvery.
	Lost int

	http      http.Client
	next      int
	consumed  int64
	arrived   int
	staleness int64
	weights   int64 // newest version that the service has accepted
	bodies    map[int64]string
	seen      map[string]bool
	record    Record
}

const (
	defaultTimeout = 10 * time.Second
	pullWait       = 2 // seconds
	retryPause     = 50 * time.Millisecond
)

// Record returns what should not have happened.
func (t *Trainer) Record() Record { return t.record }

// Create creates the run.
func (t *Trainer) Create(ctx context.Context, spec rollout.RunSpec) error {
	t.staleness, t.bodies, t.seen = spec.MaxStaleness, map[int64]string{}, map[string]bool{}
	return t.insist(ctx, "/v1/runs", spec)
}

// Step asks for a step's samples until the service accepts it.
func (t *Trainer) Step(ctx context.Context, spec rollout.StepSpec) error {
	if err := t.insist(ctx, "/v1/runs/"+t.Run+"/steps", spec); err != nil {
		return err
	}
	t.weights = max(t.weights, spec.WeightVersion)
	return nil
}

// insist repeats a request while the service can't be reached or says that it
// may be repeated.
func (t *Trainer) insist(ctx context.Context, path string, body any) error {
	for {
		status, _, err := t.post(ctx, path, body)
		again := status == 0 || status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if err == nil || !again || ctx.Err() != nil {
			return err
		}
		time.Sleep(retryPause)
	}
}

// Collect pulls batches until a step is whole.
func (t *Trainer) Collect(ctx context.Context, step int64) error {
	for ctx.Err() == nil {
		batch, err := t.Pull(ctx)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		if batch != nil && batch.Step == step && batch.StepWhole {
			return nil
		}
	}
	return ctx.Err()
}

// Pull pulls once and consumes what came. It returns nil when nothing did.
func (t *Trainer) Pull(ctx context.Context) (*rollout.Batch, error) {
	status, body, err := t.post(ctx, "/v1/runs/"+t.Run+"/pull", rollout.PullRequest{Consumed: t.consumed, WaitSeconds: pullWait})
	if status == http.StatusConflict {
		t.record.Refused = append(t.record.Refused, string(body))
	}
	if err != nil || status == http.StatusNoContent {
		return nil, err
	}
	var batch rollout.Batch
	if err := json.Unmarshal(body, &batch); err != nil {
		return nil, err
	}
	if before, again := t.bodies[batch.Number]; again && before != string(body) {
		t.record.Changed = append(t.record.Changed, batch.Number)
	}
	t.bodies[batch.Number] = string(body)
	t.arrived++
	if t.LoseEvery > 0 && t.arrived%t.LoseEvery == 0 {
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
		if s.Oldest() < t.weights-t.staleness {
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

// Settle names the last batch as consumed.
func (t *Trainer) Acknowledge(ctx context.Context) error {
	_, _, err := t.post(ctx, "/v1/runs/"+t.Run+"/pull", rollout.PullRequest{Consumed: t.consumed})
	return err
}

// Doubled returns samples that were handed over more than once.
func (t *Trainer) Duplicated() []string { return t.record.Duplicated }

// post sends a request to the next address. Status 0 means that no answer came.
func (t *Trainer) post(ctx context.Context, path string, body any) (int, []byte, error) {
	timeout := t.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := t.Addresses[t.next%len(t.Addresses)]
	t.next++
	r, err := sling.New().Post("http://"+address+path).Set("Authorization", "Bearer "+t.Key).BodyJSON(body).Request()
	if err != nil {
		return 0, nil, err
	}
	answer, err := t.http.Do(r.WithContext(ctx))
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil, err
	}
	if answer.StatusCode >= 300 {
		return answer.StatusCode, data, errors.New(string(data))
	}
	return answer.StatusCode, data, nil
}
