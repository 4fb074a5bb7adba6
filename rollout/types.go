// Package rollout delivers samples for reinforcement learning to trainers. A trainer
// creates a run and starts steps, each with groups of samples of one prompt. One
// instance, the home of the run, generates the samples on engines and delivers them
// in numbered batches. Each pull contains the number of the last batch that
// the trainer has consumed. The trainer gets every sample in exactly one batch that it
// consumes, and no sample whose weights exceed the staleness limit when its batch is
// committed. The state of a run is stored in a Ledger on the platform, so that another
// instance can take over as the home.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/attempt"
)

// RunSpec is the request to create a run.
type RunSpec struct {
	Run          string `json:"run" validate:"required,max=63,printascii,excludesall=/"`
	Model        string `json:"model" validate:"required"`
	MaxStaleness int64  `json:"maxStaleness" validate:"min=0,max=64"`   // in weight versions
	BatchSamples int    `json:"batchSamples" validate:"min=1,max=4096"` // samples that fill a batch
}

// StepSpec is the request to generate the samples of one step.
type StepSpec struct {
	Step int64 `json:"step" validate:"min=1"`
	// WeightVersion is the trainer's newest weight version, which engines are ordered to
	// load.
	WeightVersion int64 `json:"weightVersion" validate:"min=1"`
	// WholeGroups delivers all samples of a group in the same batch.
	WholeGroups bool    `json:"wholeGroups,omitempty"`
	Groups      []Group `json:"groups" validate:"required,max=8192,dive"`
}

// Group is a prompt with the number of samples to generate from it.
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

// Sample is one finished completion.
type Sample struct {
	Step   int64  `json:"step"`
	Number int    `json:"number"` // within the step, from 0
	Group  string `json:"group"`
	Index  int    `json:"index"` // within the group, from 0
	attempt.Completion
}

// Oldest returns the oldest weight version that generated a token of the sample.
func (s *Sample) Oldest() int64 { return oldestVersion(s.Ranges) }

// oldestVersion returns the oldest weight version of ranges, or 0 if there are none.
func oldestVersion(ranges []attempt.Range) int64 {
	oldest := int64(0)
	for i, r := range ranges {
		if i == 0 || r.WeightVersion < oldest {
			oldest = r.WeightVersion
		}
	}
	return oldest
}

// errUnversionedTokens means that a sample does not state the weight version of each
// token.
var errUnversionedTokens = errors.New("sample has tokens without a weight version")

// checkVersions returns an error unless the ranges give a weight version for each
// token and there is at least one token.
func (s *Sample) checkVersions() error {
	tokens := 0
	for _, r := range s.Ranges {
		if r.WeightVersion <= 0 {
			return errUnversionedTokens
		}
		tokens += r.Tokens
	}
	if tokens == 0 || tokens != s.OutputTokens {
		return errUnversionedTokens
	}
	return nil
}

// PullRequest is the request for the batch after Consumed.
type PullRequest struct {
	// Consumed is the number of the last batch that the trainer has consumed; 0 if
	// none.
	Consumed int64 `json:"consumed" validate:"min=0"`
	// WaitSeconds is how long to wait for a full batch.
	WaitSeconds float64 `json:"waitSeconds" validate:"min=0,max=60"`
}

// Batch is a set of samples delivered to a trainer. Its encoding never changes: every
// delivery with the same batch number has the same bytes.
type Batch struct {
	Number int64 `json:"number"`
	Step   int64 `json:"step"`
	// StepWhole is true if the step has no samples after this batch.
	StepWhole bool     `json:"stepWhole"`
	Samples   []Sample `json:"samples"`
}

// Delivery is an encoded batch.
type Delivery struct {
	Number int64
	Body   []byte // JSON of a Batch
}

// Progress is the state of a run.
type Progress struct {
	Run           string         `json:"run"`
	Model         string         `json:"model"`
	WeightVersion int64          `json:"weightVersion"`
	FreshFrom     int64          `json:"freshFrom"` // oldest weight version that may be delivered
	Consumed      int64          `json:"consumed"`  // last batch reported as consumed
	LastBatch     int64          `json:"lastBatch"` // last batch committed
	Home          string         `json:"home"`      // instance that serves the run
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
	// Redone counts samples that were restarted because their weights became stale.
	Redone int `json:"redone"`
	// Moved counts stragglers that were resumed on another upstream.
	Moved int `json:"moved"`
	// Failed counts failed attempts; LastError is the error of the latest one.
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

// contentHash returns the SHA-256 of data in hex.
func contentHash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
