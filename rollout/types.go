package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/attempt"
)

// RunSpec creates a run.
type RunSpec struct {
	Run          string `json:"run" validate:"required,max=63,printascii,excludesall=/"`
	Model        string `json:"model" validate:"required"`
	MaxStaleness int64  `json:"maxStaleness" validate:"min=0,max=64"`
	BatchSamples int    `json:"batchSamples" validate:"min=1,max=4096"`
}

// StepSpec asks for the samples of one step.
type StepSpec struct {
	Step int64 `json:"step" validate:"min=1"`
	// WeightVersion is the trainer's newest; engines are ordered to load it.
	WeightVersion int64   `json:"weightVersion" validate:"min=1"`
	Groups        []Group `json:"groups" validate:"required,max=8192,dive"`
}

// Group is a prompt of which several samples are wanted.
type Group struct {
	ID          string  `json:"id" validate:"required,max=128"`
	Prompt      string  `json:"prompt" validate:"required"`
	Samples     int     `json:"samples" validate:"min=1,max=1024"`
	MaxTokens   int     `json:"maxTokens" validate:"min=1,max=131072"`
	Temperature float64 `json:"temperature"`
	Seed        int64   `json:"seed"`
}

// Hash identifies the content of a step.
func (s *StepSpec) Hash() (string, error) { return hashOf(s) }

// Samples returns how many samples the step has.
func (s *StepSpec) Samples() int {
	total := 0
	for _, g := range s.Groups {
		total += g.Samples
	}
	return total
}

// Sample is one finished answer.
type Sample struct {
	Step   int64  `json:"step"`
	Number int    `json:"number"` // within the step, from 0
	Group  string `json:"group"`
	Index  int    `json:"index"` // within the group, from 0
	attempt.Completion
}

// Oldest returns the oldest weight version that produced a token of the sample.
func (s *Sample) Oldest() int64 {
	oldest := int64(0)
	for _, r := range s.Ranges {
		if oldest == 0 || r.WeightVersion < oldest {
			oldest = r.WeightVersion
		}
	}
	return oldest
}

// PullRequest asks for the batch after Consumed.
type PullRequest struct {
	// Consumed is the number of the last batch the trainer has taken in; 0 at first.
	Consumed int64 `json:"consumed" validate:"min=0"`
	// WaitSeconds is how long to wait for a batch to fill.
	WaitSeconds float64 `json:"waitSeconds" validate:"min=0,max=60"`
}

// Batch is a set of samples handed to a trainer. A batch number always stands
// for the same bytes.
type Batch struct {
	Number  int64    `json:"number"`
	Step    int64    `json:"step"`
	Samples []Sample `json:"samples"`
	// StepWhole says that the step has no samples beyond this batch.
	StepWhole bool `json:"stepWhole"`
}

func hashOf(v any) (string, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return "", oops.In("rollout").Wrapf(err, "encode")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}
