// Package batch runs batches of rollout items: it keeps them in the object
// store, orders their items, runs them at engines and lists their results.
//
// Invariants, which hold whatever instances die, freeze or run a batch twice:
//
//   - A batch is accepted once its head is stored. Its parts are stored before.
//   - Results are a log of chunks, created one after the other under
//     consecutive names. A writer has applied all chunks before the one it
//     creates, so no item stands twice and no position changes.
//   - A result is shown only after its chunk is stored.
package batch

import "time"

// Item is one request of a batch.
type Item struct {
	ID     string              `json:"id"`
	Path   string              `json:"path"` // path and query
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	Group  string              `json:"group,omitempty"`
	Model  string              `json:"model,omitempty"`
	// Prompt and Output are tokens read and at most generated.
	Prompt int `json:"prompt,omitempty"`
	Output int `json:"output,omitempty"`
	// Hint is the expected number of generated tokens, right at the median but
	// often far off; 0 when unknown.
	Hint int `json:"hint,omitempty"`
	// Shared names the part of the prompt that the items of a group share.
	Shared string `json:"shared,omitempty"`
}

// Expected returns the tokens that the item is expected to generate.
func (i *Item) Expected() int {
	if i.Hint > 0 {
		return min(i.Hint, max(i.Output, 1))
	}
	return i.Output / 2
}

// Submission is a batch as its caller handed it in.
type Submission struct {
	ID         string `json:"id"`
	Step       int64  `json:"step"`
	Model      string `json:"model,omitempty"`
	MinVersion int64  `json:"minVersion,omitempty"` // oldest weight version allowed
	Desired    int    `json:"desired,omitempty"`    // groups that the trainer waits for
	Items      []Item `json:"items"`
}

// State of a result.
type State string

// The states of a result.
const (
	Complete State = "complete"
	Dead     State = "dead" // given up
)

// Result is the final outcome of an item.
type Result struct {
	ID       string  `json:"id"`
	State    State   `json:"state"`
	Text     string  `json:"text,omitempty"` // data of all events, separated by line feeds
	Versions []int64 `json:"versions,omitempty"`
}

func (r *Result) size() int { return len(r.Text) + len(r.ID) + 64 }

// Page is a part of a batch's results.
type Page struct {
	Total   int // items of the batch
	Next    int // position behind the last result
	Results []Result
}

// Head is the stored state of a batch that changes.
type Head struct {
	Owner     string `json:"owner"` // instance that runs it; empty for none
	Peer      string `json:"peer"`  // IP:port of the owner for other instances
	Team      string `json:"team"`
	Route     string `json:"route"`
	Submitted int64  `json:"submitted"` // milliseconds since 1970, of the accepting instance
	Parts     int    `json:"parts"`     // stored parts of the submission
	Items     int    `json:"items"`     // of the whole submission
	Ended     bool   `json:"ended,omitempty"`
}

// Age returns the time since the submission by a clock of the time of day.
func (h Head) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.Submitted)) }

// chunk is the stored form of consecutive results.
type chunk struct {
	By      string   `json:"by"` // incarnation of the writer, so that no two write alike
	Results []Result `json:"results"`
}

// Partial is the text of an item that has not ended.
type Partial struct {
	Last     int64   `json:"last"` // id of the last event
	Events   int     `json:"events"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}
