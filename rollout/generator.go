package rollout

import (
	"context"

	"github.com/pomelocross/pomelocross/attempt"
)

// Generator produces one sample. It returns an error only when it gave up; the
// home then tries again later. An *Interrupted keeps what was generated.
type Generator interface {
	Generate(ctx context.Context, order SampleRequest) (Sample, error)
}

// Limiter is a Generator that can run only so many samples at once to good use.
type Limiter interface {
	// Limit returns how many samples of a model to run at once now.
	Limit(model string) int
}

// defaultLimit is for generators that are no Limiter.
const defaultLimit = 256

// SampleOrder is one sample to generate.
type SampleRequest struct {
	Run   string
	Team  string
	Model string
	// FreshFrom is the oldest weight version that may produce it.
	MinWeightVersion int64
	// Preferred is the oldest weight version that it should start with when an
	// engine has it, to be fresh at its expected end; never below FreshFrom.
	PreferredWeightVersion int64
	Step                   int64
	Number                 int
	Index                  int
	Group                  Group
	// Begun is what earlier attempts generated, to go on after.
	Partial attempt.Completion
	// Avoid names upstreams that should not be used if there are others.
	Avoid []string
	// Progress is told of each run of tokens as it arrives.
	OnTokens func(weightVersion int64, tokens int)
}

// Interrupted is a Generator's error with what was generated before it.
type Interrupted struct {
	Partial  attempt.Completion
	Upstream string // the last one used; empty when none was
	Err      error
}

// Error implements error.
func (e *Interrupted) Error() string { return "sample was interrupted: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Interrupted) Unwrap() error { return e.Err }
