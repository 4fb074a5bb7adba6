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

// Trainer drives one run. It is not safe for concurrent use.
type Trainer struct {
	// Addresses are entry instances, asked in turn.
	Addresses []string
	Key       string
	Run       string

	http     http.Client
	next     int
	consumed int64
	// Held are the samples of consumed batches, in order.
	Held []rollout.Sample
}

// Create creates the run.
func (t *Trainer) Create(ctx context.Context, spec rollout.RunSpec) error {
	_, err := t.post(ctx, "/v1/runs", spec, nil)
	return err
}

// Step asks for a step's samples.
func (t *Trainer) Step(ctx context.Context, spec rollout.StepSpec) error {
	_, err := t.post(ctx, "/v1/runs/"+t.Run+"/steps", spec, nil)
	return err
}

// Collect pulls batches until a step is whole.
func (t *Trainer) Collect(ctx context.Context, step int64) error {
	for ctx.Err() == nil {
		var batch rollout.Batch
		status, err := t.post(ctx, "/v1/runs/"+t.Run+"/pull", rollout.PullRequest{Consumed: t.consumed, WaitSeconds: 5}, &batch)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if status == http.StatusNoContent {
			continue
		}
		t.consumed = batch.Number
		t.Held = append(t.Held, batch.Samples...)
		if batch.Step == step && batch.StepWhole {
			return nil
		}
	}
	return ctx.Err()
}

// Settle names the last batch as consumed.
func (t *Trainer) Settle(ctx context.Context) error {
	_, err := t.post(ctx, "/v1/runs/"+t.Run+"/pull", rollout.PullRequest{Consumed: t.consumed}, nil)
	return err
}

// Doubled returns samples that were handed over more than once.
func (t *Trainer) Doubled() []string {
	seen := map[string]bool{}
	var doubled []string
	for _, s := range t.Held {
		id := fmt.Sprintf("%d/%d", s.Step, s.Number)
		if seen[id] {
			doubled = append(doubled, id)
		}
		seen[id] = true
	}
	return doubled
}

func (t *Trainer) post(ctx context.Context, path string, body, into any) (int, error) {
	address := t.Addresses[t.next%len(t.Addresses)]
	t.next++
	r, err := sling.New().Post("http://"+address+path).Set("Authorization", "Bearer "+t.Key).BodyJSON(body).Request()
	if err != nil {
		return 0, err
	}
	answer, err := t.http.Do(r.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err
	}
	if answer.StatusCode >= 300 {
		return answer.StatusCode, errors.New(string(data))
	}
	if into == nil || answer.StatusCode == http.StatusNoContent {
		return answer.StatusCode, nil
	}
	return answer.StatusCode, json.Unmarshal(data, into)
}
