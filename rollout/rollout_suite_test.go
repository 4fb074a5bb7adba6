package rollout_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/rollout"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, _ := GinkgoConfiguration()
	for name, value := range map[string]string{"rapid.seed": fmt.Sprint(suite.RandomSeed), "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "Rollout")
}

// instant generates every sample at once with the weights that engines run.
type instant struct{ weights atomic.Int64 }

// Limit makes samples end in the order of their start.
func (g *instant) Limit(string) int { return 1 }

func (g *instant) Generate(_ context.Context, order rollout.SampleRequest) (rollout.Sample, error) {
	// Odd samples come from an engine that lies one version behind, if allowed.
	version := max(order.MinWeightVersion, g.weights.Load()-int64(order.Number%2), 1)
	order.OnTokens(version, 2)
	return sampleOf(order, version), nil
}

func sampleOf(order rollout.SampleRequest, version int64) rollout.Sample {
	return rollout.Sample{
		Step: order.Step, Number: order.Number, Group: order.Group.ID, Index: order.Index,
		Completion: attempt.Completion{
			Text: fmt.Sprint(order.Group.Prompt, order.Index, version), FinishReason: "stop", PromptTokens: 1, OutputTokens: 2,
			Ranges: []attempt.Range{{WeightVersion: version, Tokens: 2}},
		},
	}
}

func stepOf(step, version int64, groups, samples int) rollout.StepSpec {
	spec := rollout.StepSpec{Step: step, WeightVersion: version}
	for g := range groups {
		spec.Groups = append(spec.Groups, rollout.Group{ID: fmt.Sprint("g", g), Prompt: "plan", Samples: samples, MaxTokens: 8})
	}
	return spec
}

func decode(d *rollout.Delivery) rollout.Batch {
	GinkgoHelper()
	var batch rollout.Batch
	Expect(json.Unmarshal(d.Body, &batch)).To(Succeed())
	Expect(batch.Number).To(Equal(d.Number))
	return batch
}
