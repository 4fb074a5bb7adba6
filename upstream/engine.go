package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/samber/oops"
	"github.com/tmaxmax/go-sse"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

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
	ID   string `json:"id"`
	Text string `json:"text"`
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
	transport := &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Complete runs a completion and hands each chunk to emit in order. It returns
// nil only for a whole answer. An error from emit ends the request upstream.
func (c *Client) Complete(ctx context.Context, address string, request CompletionRequest, emit func(Chunk) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the stream upstream however this returns
	r, err := sling.New().Post("http://" + address + "/v1/generate").BodyJSON(request).Request()
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	answer, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return refusal(answer)
	}
	return readChunks(answer, request.ID, emit)
}

func (c *Client) send(ctx context.Context, r *http.Request) (*http.Response, error) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	answer, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		return nil, oops.In("upstream").With("step", "send", "peer", r.URL.Host).Wrap(err)
	}
	return answer, nil
}

func refusal(answer *http.Response) error {
	seconds, _ := time.ParseDuration(answer.Header.Get("Retry-After") + "s")
	if answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable {
		return &RefusedError{Status: answer.StatusCode, RetryAfter: seconds}
	}
	return oops.In("upstream").With("status", answer.StatusCode).Errorf("engine failed with status %d", answer.StatusCode)
}

func readChunks(answer *http.Response, id string, emit func(Chunk) error) error {
	for event, err := range sse.Read(answer.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return oops.In("upstream").With("step", "read").Wrap(errors.Join(ErrCutShort, err))
		}
		var chunk Chunk
		if err := json.NewDecoder(strings.NewReader(event.Data)).Decode(&chunk); err != nil {
			return oops.In("upstream").With("step", "decode").Wrap(err)
		}
		if chunk.ID != id {
			return oops.In("upstream").With("step", "match").Wrap(ErrForeignChunk)
		}
		if err := emit(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			return nil
		}
	}
	return oops.In("upstream").With("step", "read").Wrap(ErrCutShort)
}

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
