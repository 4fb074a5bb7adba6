package attempt

import (
	"strings"

	"github.com/pomelocross/pomelocross/upstream"
)

// Range is a run of tokens produced by one weight version.
type Range struct {
	WeightVersion int64 `json:"weightVersion"`
	Tokens        int   `json:"tokens"`
}

// Completion is the whole answer of engines to one request.
type Completion struct {
	Text         string  `json:"text"`
	Ranges       []Range `json:"ranges"`
	FinishReason string  `json:"finishReason"`
	PromptTokens int     `json:"promptTokens"`
	OutputTokens int     `json:"outputTokens"`
}

// progress gathers a completion; its cost is linear in the text.
type progress struct {
	Completion
	text strings.Builder
}

// whole returns what was gathered so far.
func (p *progress) whole() Completion {
	p.Text = p.text.String()
	return p.Completion
}

func (p *progress) add(chunk *upstream.Chunk) {
	p.text.WriteString(chunk.Text)
	p.OutputTokens += chunk.Tokens
	p.FinishReason = chunk.FinishReason
	if chunk.PromptTokens > 0 {
		p.PromptTokens = chunk.PromptTokens
	}
	if chunk.Tokens > 0 {
		p.addRange(chunk.WeightVersion, chunk.Tokens)
	}
}

func (p *progress) addRange(version int64, tokens int) {
	last := len(p.Ranges) - 1
	if last >= 0 && p.Ranges[last].WeightVersion == version {
		p.Ranges[last].Tokens += tokens
		return
	}
	p.Ranges = append(p.Ranges, Range{WeightVersion: version, Tokens: tokens})
}
