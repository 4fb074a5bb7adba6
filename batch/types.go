// Package batch runs batches of rollout items: it persists them in the object
// store, schedules their items on engines and serves their results.
//
// These invariants hold even if instances crash or freeze, or if two instances
// run the same batch:
//
//   - A batch is accepted once its head is stored. Its parts are stored before
//     the head.
//   - Results are a log of chunks with consecutive names. A writer applies all
//     earlier chunks before it creates the next one, so an item appears only once
//     in the log and the position of a result never changes.
//   - A result is returned to readers only after its chunk is stored.
package batch

import (
	"time"

	"github.com/pomelocross/pomelocross/catalog"
)

// Item is one request of a batch.
type Item struct {
	ID     string              `json:"id"`
	Path   string              `json:"path"` // path and query
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	Group  string              `json:"group,omitempty"`
	Model  string              `json:"model,omitempty"`
	// Prompt is the number of prompt tokens, Output the maximum number of
	// generated tokens.
	Prompt int `json:"prompt,omitempty"`
	Output int `json:"output,omitempty"`
	// Hint is the expected number of generated tokens. It is correct at the median
	// but often far off for a single item; 0 means unknown.
	Hint int `json:"hint,omitempty"`
	// Shared identifies the prompt prefix that the items of a group have in common.
	Shared string `json:"shared,omitempty"`
	// Reward is the call that rates the generated text; nil if the text is not rated.
	Reward *RewardCall `json:"reward,omitempty"`
}

// RewardCall is a request that is sent to a plain service once the text of its item is
// complete. It belongs to no team and may be repeated.
type RewardCall struct {
	ID   string `json:"id"`
	Host string `json:"host"`
	Path string `json:"path"` // path and query
	Body []byte `json:"body,omitempty"`
}

// Expected returns the number of tokens that the item is expected to generate:
// the hint, limited to Output, or half of Output without a hint.
func (i *Item) Expected() int {
	if i.Hint > 0 {
		return min(i.Hint, max(i.Output, 1))
	}
	return i.Output / 2
}

// Submission is a batch as submitted by its caller.
type Submission struct {
	ID         string `json:"id"`
	Step       int64  `json:"step"`
	Model      string `json:"model,omitempty"`
	MinVersion int64  `json:"minVersion,omitempty"` // oldest weight version that may generate results
	Desired    int    `json:"desired,omitempty"`    // number of complete groups that the trainer waits for
	Items      []Item `json:"items"`
}

// bytes returns the size of the bodies of the items.
func (s *Submission) bytes() int {
	total := 0
	for n := range s.Items {
		total += len(s.Items[n].Body)
	}
	return total
}

// State is the final state of an item.
type State string

// The states of a result.
const (
	Complete State = "complete"
	Dead     State = "dead" // abandoned without a result
)

// Result is the final outcome of an item.
type Result struct {
	ID       string  `json:"id"`
	State    State   `json:"state"`
	Text     string  `json:"text,omitempty"` // data of all events, separated by line feeds
	Versions []int64 `json:"versions,omitempty"`
	// Reward is the signature of the response to the item's reward call; empty if the
	// item has none.
	Reward string `json:"reward,omitempty"`
}

// size returns the memory that the result takes, in bytes.
func (r *Result) size() int { return len(r.Text) + len(r.ID) + len(r.Reward) + 64 }

// Page is a range of a batch's results.
type Page struct {
	Total   int // number of items in the batch
	Next    int // position after the last returned result
	Results []Result
}

// Bytes returns the encoded size of the results.
func (p *Page) Bytes() int {
	total := 0
	for n := range p.Results {
		total += encodedSize(p.Results[n])
	}
	return total
}

// Head is the mutable record of a batch in the object store. Submission parts and
// result chunks never change once they are stored.
type Head struct {
	Owner     string `json:"owner"` // name of the instance that runs the batch; empty if none
	Peer      string `json:"peer"`  // IP:port at which other instances reach the owner
	Team      string `json:"team"`
	Route     string `json:"route"`
	Submitted int64  `json:"submitted"` // Unix time in milliseconds, by the clock of the accepting instance
	Parts     int    `json:"parts"`     // number of stored parts of the submission
	Items     int    `json:"items"`     // number of items in the submission
	Ended     bool   `json:"ended,omitempty"`
	// Accepted is nil in heads that were stored by versions without it.
	Accepted *Acceptance `json:"accepted,omitempty"`
}

// Acceptance is the route of a batch as it was when the batch was accepted.
type Acceptance struct {
	Config int64         `json:"config"` // version of the configuration
	Route  catalog.Route `json:"route"`
}

// RouteIn returns the route of the batch in a configuration, which is nil if none is known.
// It returns false if the configuration has no such route any more. In a configuration that
// is older than the one under which the batch was accepted, the route as accepted holds: it
// may have been added or changed since.
func (h Head) RouteIn(config *catalog.Catalog) (catalog.Route, bool) {
	if h.Accepted != nil && (config == nil || config.Version < h.Accepted.Config) {
		return h.Accepted.Route, true
	}
	if config == nil {
		return catalog.Route{}, false
	}
	return config.Route(h.Route)
}

// Age returns the time since the submission. now is a wall clock time.
func (h Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.Submitted)) }

// chunk is the stored form of consecutive results.
type chunk struct {
	By      string   `json:"by"` // incarnation of the writer, which makes the chunks of two writers differ
	Results []Result `json:"results"`
}

// Partial is the state of an item without a result from which its next owner goes on.
type Partial struct {
	Last     int64   `json:"last"` // ID of the last event
	Events   int     `json:"events"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
	// Whole is set if the text is complete and only the reward is missing.
	Whole bool `json:"whole,omitempty"`
	// Failures is the number of error responses that the item got from engines.
	Failures int `json:"failures,omitempty"`
}
