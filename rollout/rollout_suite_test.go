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

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, _ := GinkgoConfiguration()
	for name, value := range map[string]string{"rapid.seed": fmt.Sprint(suite.RandomSeed), "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "Rollout")
}

// instantGenerator generates every sample immediately. weightVersion is the version
// that its engines run.
type instantGenerator struct{ weightVersion atomic.Int64 }

// Limit runs one sample at a time, so that they end in the order of their start.
func (g *instantGenerator) Limit(string) int { return 1 }

func (g *instantGenerator) Generate(_ context.Context, request rollout.SampleRequest) (rollout.Sample, error) {
	// Samples with odd numbers come from an engine that is one version behind, if
	// that is allowed.
	version := max(request.MinWeightVersion, g.weightVersion.Load()-int64(request.Number%2), 1)
	request.OnTokens(version, 2)
	return newSample(request, version), nil
}

func newSample(request rollout.SampleRequest, version int64) rollout.Sample {
	return rollout.Sample{
		Step: request.Step, Number: request.Number, Group: request.Group.ID, Index: request.Index,
		Completion: attempt.Completion{
			Text: fmt.Sprint(request.Group.Prompt, request.Index, version), FinishReason: "stop", PromptTokens: 1, OutputTokens: 2,
			Ranges: []attempt.Range{{WeightVersion: version, Tokens: 2}},
		},
	}
}

func newStepSpec(step, version int64, groups, samples int) rollout.StepSpec {
	spec := rollout.StepSpec{Step: step, WeightVersion: version}
	for g := range groups {
		spec.Groups = append(spec.Groups, rollout.Group{ID: fmt.Sprint("g", g), Prompt: "plan", Samples: samples, MaxTokens: 8})
	}
	return spec
}

func decodeBatch(d *rollout.Delivery) rollout.Batch {
	GinkgoHelper()
	var batch rollout.Batch
	Expect(json.Unmarshal(d.Body, &batch)).To(Succeed())
	Expect(batch.Number).To(Equal(d.Number))
	return batch
}
