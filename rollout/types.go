package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

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
	WeightVersion int64 `json:"weightVersion" validate:"min=1"`
	// WholeGroups hands over the samples of a group together.
	WholeGroups bool    `json:"wholeGroups,omitempty"`
	Groups      []Group `json:"groups" validate:"required,max=8192,dive"`
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
func (s *Sample) Oldest() int64 { return oldestOf(s.Ranges) }

func oldestOf(ranges []attempt.Range) int64 {
	oldest := int64(0)
	for i, r := range ranges {
		if i == 0 || r.WeightVersion < oldest {
			oldest = r.WeightVersion
		}
	}
	return oldest
}

// errUnnamed means that a sample does not name the weights behind each token.
var errUnnamed = errors.New("sample has tokens without a weight version")

// check tells whether the ranges name a weight version for each token.
func (s *Sample) check() error {
	tokens := 0
	for _, r := range s.Ranges {
		if r.WeightVersion <= 0 {
			return errUnnamed
		}
		tokens += r.Tokens
	}
	if tokens == 0 || tokens != s.OutputTokens {
		return errUnnamed
	}
	return nil
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
	Number int64 `json:"number"`
	Step   int64 `json:"step"`
	// StepWhole says that the step has no samples beyond this batch.
	StepWhole bool     `json:"stepWhole"`
	Samples   []Sample `json:"samples"`
}

// Delivery is a batch as it goes over the wire.
type Delivery struct {
	Number int64
	Body   []byte // JSON of a Batch
}

// Progress is what is known of a run now.
type Progress struct {
	Run           string         `json:"run"`
	Model         string         `json:"model"`
	WeightVersion int64          `json:"weightVersion"`
	FreshFrom     int64          `json:"freshFrom"` // oldest weight version that may be delivered
	Consumed      int64          `json:"consumed"`
	LastBatch     int64          `json:"lastBatch"`
	Home          string         `json:"home"`
	Steps         []StepProgress `json:"steps"`
}

// StepProgress counts the samples of an open step by state.
type StepProgress struct {
	Step      int64 `json:"step"`
	Samples   int   `json:"samples"`
	Delivered int   `json:"delivered"`
	Ready     int   `json:"ready"`
	Running   int   `json:"running"`
	Pending   int   `json:"pending"`
	// Redone counts samples started anew because their weights grew too old.
	Redone int `json:"redone"`
	// Moved counts stragglers that were resumed on another upstream.
	Moved int `json:"moved"`
	// Failed counts attempts that failed; LastError is the newest reason.
	Failed    int    `json:"failed"`
	LastError string `json:"lastError,omitempty"`
}

func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, oops.In("rollout").Wrapf(err, "encode")
	}
	return data, nil
}

func hashOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
