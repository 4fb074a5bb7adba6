package instance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/internal/httpjson"
	"github.com/pomelocross/pomelocross/queue"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	maxCompletionBytes = 1 << 20
	defaultMaxTokens   = 256
	maxTokensLimit     = 131072
	// busyPause is when callers are told to come back after a refusal.
	busyPause = time.Second
)

// completionBody is what callers may say of a completion. Fields that are not
// listed are refused rather than passed on.
type completionBody struct {
	Model       string             `json:"model"`
	Prompt      string             `json:"prompt"`
	Messages    []upstream.Message `json:"messages"`
	MaxTokens   int                `json:"max_tokens"`
	Temperature float64            `json:"temperature"`
	TopP        float64            `json:"top_p"`
	Seed        int64              `json:"seed"`
	Stop        []string           `json:"stop"`
	Stream      bool               `json:"stream"`
	User        string             `json:"user"` // accepted and not passed on
}

func (b *completionBody) check() error {
	if (b.Prompt == "") == (len(b.Messages) == 0) {
		return errors.New("exactly one of prompt and messages is required")
	}
	if b.MaxTokens < 0 || b.MaxTokens > maxTokensLimit {
		return fmt.Errorf("max_tokens must be 0 to %d", maxTokensLimit)
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	return nil
}

// start returns what the prompt begins with.
func (b *completionBody) start() string {
	if len(b.Messages) > 0 {
		return b.Messages[0].Role + ": " + b.Messages[0].Content
	}
	return b.Prompt
}

func (i *Instance) serveCompletion(ctx context.Context, w http.ResponseWriter, r *http.Request, admitted *request) {
	var body completionBody
	err := httpjson.Read(w, r, maxCompletionBytes, &body)
	if err == nil {
		err = body.check()
	}
	if err != nil {
		(&refusal{status: http.StatusBadRequest, code: "bad_request", message: err.Error(), notRun: true}).write(w)
		return
	}
	use, wait := i.limits.Take(admitted.key.Team, int64(body.MaxTokens))
	if use == nil {
		i.counters.request(admitted.route.Name, admitted.key.Team, codeTokenRate)
		refuseRate(wait).write(w)
		return
	}
	answer := &completionWriter{w: w, id: admitted.id, chat: len(body.Messages) > 0, stream: body.Stream, model: admitted.service.Model}
	ticket := admitted.ticket(i.settings.Domain, int64(body.MaxTokens))
	ticket.Route.Prefix = route.PrefixOf(body.start())
	whole, err := i.runner.Stream(ctx, ticket, upstream.CompletionRequest{
		ID: admitted.id, Model: admitted.service.Model, Prompt: body.Prompt, Messages: body.Messages, MaxTokens: body.MaxTokens,
		Temperature: body.Temperature, TopP: body.TopP, Seed: body.Seed, Stop: body.Stop,
	}, answer.chunk)
	use.Done(int64(whole.PromptTokens + whole.OutputTokens))
	i.meter.Add(admitted.key.Team, admitted.service.Name, admitted.received, int64(whole.PromptTokens), int64(whole.OutputTokens))
	if err != nil {
		failed := failure(ctx, err)
		i.counters.request(admitted.route.Name, admitted.key.Team, failed.code)
		answer.fail(failed)
		return
	}
	i.counters.request(admitted.route.Name, admitted.key.Team, "ok")
	answer.finish(whole)
}

// failure returns what a caller is told of a request that failed.
func failure(ctx context.Context, err error) *refusal {
	f := &refusal{status: http.StatusBadGateway, code: "outcome_unknown", message: "an upstream failed after the request was sent"}
	var failed *attempt.Error
	if errors.As(err, &failed) {
		f.notRun = failed.Outcome.NotRun()
	}
	switch {
	case errors.Is(cause(ctx), errWithdrawn):
		f.status, f.code, f.message = http.StatusUnauthorized, "key_refused", errWithdrawn.Error()
	case errors.Is(err, context.DeadlineExceeded):
		f.status, f.code, f.message, f.retryAfter = http.StatusGatewayTimeout, "deadline", "the deadline passed", busyPause
	case errors.Is(err, queue.ErrFull):
		f.status, f.code, f.message, f.retryAfter = http.StatusTooManyRequests, "queue_full", err.Error(), busyPause
	case errors.Is(err, queue.ErrLate):
		f.status, f.code, f.message, f.retryAfter = http.StatusTooManyRequests, "queue_late", err.Error(), busyPause
	case errors.Is(err, queue.ErrNoService):
		f.status, f.code, f.message, f.retryAfter = http.StatusServiceUnavailable, "no_upstream", err.Error(), busyPause
	case f.notRun:
		f.status, f.code, f.message, f.retryAfter = http.StatusServiceUnavailable, "refused", "no upstream took the request", busyPause
	}
	if after, ok := queue.RetryAfter(err); ok {
		f.retryAfter = after
	}
	return f
}

// completionWriter writes an answer in the usual format of completions, as one
// body or as server-sent events.
type completionWriter struct {
	w      http.ResponseWriter
	id     string
	model  string
	chat   bool
	stream bool
	begun  bool
}

type completionAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
	// WeightVersions names the versions that produced the answer, in order.
	WeightVersions []attempt.Range `json:"weight_versions,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Text         *string           `json:"text,omitempty"`
	Message      *upstream.Message `json:"message,omitempty"`
	Delta        *upstream.Message `json:"delta,omitempty"`
	FinishReason *string           `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (c *completionWriter) chunk(chunk upstream.Chunk) error {
	if !c.stream {
		return nil
	}
	if !c.begun {
		c.begun = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
	}
	choice := completionChoice{}
	if c.chat {
		choice.Delta = &upstream.Message{Role: "assistant", Content: chunk.Text}
	} else {
		choice.Text = &chunk.Text
	}
	if chunk.FinishReason != "" {
		choice.FinishReason = &chunk.FinishReason
	}
	answer := completionAnswer{ID: c.id, Object: c.object(), Model: c.model, Choices: []completionChoice{choice}}
	if chunk.Tokens > 0 {
		answer.WeightVersions = []attempt.Range{{WeightVersion: chunk.WeightVersion, Tokens: chunk.Tokens}}
	}
	return c.event("", answer)
}

func (c *completionWriter) object() string {
	switch {
	case c.chat && c.stream:
		return "chat.completion.chunk"
	case c.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// event writes one server-sent event. JSON holds no line breaks, so one data
// line is enough.
func (c *completionWriter) event(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	var b strings.Builder
	if name != "" {
		b.WriteString("event: " + name + "\n")
	}
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	return c.write(b.String())
}

func (c *completionWriter) write(text string) error {
	if _, err := c.w.Write([]byte(text)); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

func (c *completionWriter) finish(whole attempt.Completion) {
	if c.stream {
		_ = c.write("data: [DONE]\n\n") // without it the caller knows that the answer is not whole
		return
	}
	choice := completionChoice{FinishReason: &whole.FinishReason}
	if c.chat {
		choice.Message = &upstream.Message{Role: "assistant", Content: whole.Text}
	} else {
		choice.Text = &whole.Text
	}
	httpjson.Write(c.w, http.StatusOK, completionAnswer{
		ID: c.id, Object: c.object(), Model: c.model, Choices: []completionChoice{choice}, WeightVersions: whole.Ranges,
		Usage: &completionUsage{whole.PromptTokens, whole.OutputTokens, whole.PromptTokens + whole.OutputTokens},
	})
}

// fail ends an answer. One that has begun ends with an error event and without
// the end marker.
func (c *completionWriter) fail(f *refusal) {
	if !c.begun {
		f.write(c.w)
		return
	}
	_ = c.event("error", httpjson.Error{Code: f.code, Message: f.message, NotRun: f.notRun})
}
