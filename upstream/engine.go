package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// CompletionRequest is all that an engine is told of a request.
type CompletionRequest struct {
	// ID is ours; every event of the answer must carry it.
	ID          string    `json:"id"`
	Model       string    `json:"model"`
	Prompt      string    `json:"prompt,omitempty"`
	Messages    []Message `json:"messages,omitempty"` // for chat, instead of Prompt
	MaxTokens   int       `json:"max_tokens"`         // of the whole answer, resumed part included
	Temperature float64   `json:"temperature,omitempty"`
	TopP        float64   `json:"top_p,omitempty"`
	Seed        int64     `json:"seed,omitempty"`
	Stop        []string  `json:"stop,omitempty"`
	// Resume is the text already generated elsewhere, to go on after.
	Resume string `json:"resume,omitempty"`
	// ResumedTokens is the length of Resume in tokens.
	ResumedTokens int `json:"resumed_tokens,omitempty"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chunk is one event of an engine's answer.
type Chunk struct {
	ID string `json:"id"`
	// Position is the number of tokens of the whole answer before Text.
	Position int    `json:"position"`
	Text     string `json:"text"`
	// Tokens is how many tokens Text holds.
	Tokens int `json:"tokens"`
	// WeightVersion is the version that produced Text, as the engine says.
	WeightVersion int64 `json:"weight_version"`
	// FinishReason is "stop" or "length" in the last chunk, else empty.
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"` // in the last chunk
}

// Errors of an answer that must not pass as whole.
var (
	ErrForeignChunk = errors.New("engine sent a chunk of another request")
	ErrCutShort     = errors.New("engine's answer ended before its end marker")
	ErrSequence     = errors.New("engine's answer has a chunk missing or doubled")
	ErrTooLong      = errors.New("engine sent more tokens than were asked for")
	ErrDamaged      = errors.New("engine sent what is not a chunk")
)

// RefusedError is an upstream's statement that it ran nothing.
type RefusedError struct {
	Status     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "upstream refused with status " + http.StatusText(e.Status)
}

// LoadOrder tells an engine to serve a weight version.
type LoadOrder struct {
	Model         string `json:"model"`
	WeightVersion int64  `json:"weightVersion"`
	Holder        string `json:"holder"`
	Epoch         int64  `json:"epoch"`
}

// Client speaks to engines and plain services. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: newTransport(), CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// ReportedLoad asks an upstream for its load.
func (c *Client) ReportedLoad(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.json(ctx, sling.New().Get("http://"+address+"/v1/load"), &load)
	return load, err
}

// OrderLoad tells an engine to load a weight version.
func (c *Client) OrderLoad(ctx context.Context, address string, order LoadOrder) error {
	return c.json(ctx, sling.New().Post("http://"+address+"/v1/orders").BodyJSON(order), nil)
}

func (c *Client) json(ctx context.Context, request *sling.Sling, out any) error {
	r, err := request.Request()
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	answer, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= 300 {
		return oops.In("upstream").With("step", "answer", "peer", r.URL.Host).Errorf("status %d", answer.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(answer.Body).Decode(out)
}

// Send sends a prepared request with body once and returns its answer, whose body
// the caller closes. An error is a *SendError.
func (c *Client) Send(ctx context.Context, r *http.Request, body []byte) (*http.Response, error) {
	sendOnce(r, body)
	return c.send(ctx, r)
}

// send sends r and returns its answer. An error is a *SendError.
func (c *Client) send(ctx context.Context, r *http.Request) (*http.Response, error) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	var w wire
	answer, err := c.http.Do(r.WithContext(w.watch(ctx)))
	if err != nil {
		wrapped := oops.In("upstream").With("step", "send", "peer", r.URL.Host).Wrap(err)
		return nil, &SendError{NotSent: w.notSent(), Err: wrapped}
	}
	return answer, nil
}
