package rollout

import (
	"context"

	"github.com/pomelocross/pomelocross/attempt"
)

// Generator generates samples.
type Generator interface {
	// Generate generates one sample. After an error the home retries the sample
	// after a delay. An *Interrupted error carries the output generated so far, which
	// the next attempt continues.
	Generate(ctx context.Context, request SampleRequest) (Sample, error)
}

// Limiter is a Generator that limits how many samples run concurrently.
type Limiter interface {
	// Limit returns how many samples of a model should run concurrently at present.
	Limit(model string) int
}

// defaultLimit is the number of concurrent samples of a Generator that does not
// implement Limiter.
const defaultLimit = 256

// SampleRequest describes one sample to generate.
type SampleRequest struct {
	Run   string
	Team  string
	Model string
	// MinWeightVersion is the oldest weight version that may generate its tokens.
	MinWeightVersion int64
	// PreferredWeightVersion is the oldest weight version that the sample should start
	// with if an engine has it, so that the sample is not stale when it ends. It is
	// never below MinWeightVersion.
	PreferredWeightVersion int64
	Step                   int64
	Number                 int // within the step, from 0
	Index                  int // within the group, from 0
	Group                  Group
	// Partial is the output of earlier attempts, which this one continues.
	Partial attempt.Completion
	// Avoid names upstreams to use only if there are no others.
	Avoid []string
	// OnTokens is called for each group of tokens as it arrives.
	OnTokens func(weightVersion int64, tokens int)
}

// Interrupted is the error of a Generator that stopped before the end of a sample.
// It carries the output so far, including that of earlier attempts.
type Interrupted struct {
	Partial  attempt.Completion
	Upstream string // last one used; empty if none was
	Err      error
}

// Error implements error.
func (e *Interrupted) Error() string { return "sample was interrupted: " + e.Err.Error() }

// Unwrap implements errors.Unwrap.
func (e *Interrupted) Unwrap() error { return e.Err }
