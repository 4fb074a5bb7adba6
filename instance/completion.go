package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/pomelocross/pomelocross/attempt"
	"github.com/pomelocross/pomelocross/internal/httpjson"
	"github.com/pomelocross/pomelocross/route"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	maxCompletionBytes = 1 << 20
	defaultMaxTokens   = 256
	maxTokensLimit     = 131072
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
	if err == nil && completionHoldsKey(admitted.view.Contract, &body) {
		err = errKeyInContent
	}
	if err != nil {
		badRequest(err).write(w)
		return
	}
	use, wait := i.limits.Admit(admitted.key.Team)
	if use == nil {
		i.counters.request(admitted.route.Name, admitted.key.Team, codeTokenRate)
		refuseRate(wait).write(w)
		return
	}
	answer := &completionWriter{w: w, id: admitted.id, chat: len(body.Messages) > 0, stream: body.Stream, model: admitted.service.Model}
	ticket := admitted.ticket(i.settings.Domain, int64(body.MaxTokens))
	ticket.Route.Prefix = route.PrefixOf(body.start())
	tally := i.usage.meter.Begin(admitted.key.Team, admitted.service.Name)
	whole, err := i.runner.Stream(ctx, ticket, upstream.CompletionRequest{
		ID: admitted.id, Model: admitted.service.Model, Prompt: body.Prompt, Messages: body.Messages, MaxTokens: body.MaxTokens,
		Temperature: body.Temperature, TopP: body.TopP, Seed: body.Seed, Stop: body.Stop,
	}, func(chunk upstream.Chunk) error {
		tally.Output(int64(chunk.Tokens))
		return answer.chunk(chunk)
	})
	use.Done(int64(whole.PromptTokens + whole.OutputTokens))
	i.usage.end(ctx, tally, whole, err)
	if err != nil {
		failed := failure(ctx, err)
		i.counters.request(admitted.route.Name, admitted.key.Team, failed.code)
		answer.fail(failed)
		return
	}
	i.counters.request(admitted.route.Name, admitted.key.Team, "ok")
	answer.finish(whole)
}

// completionWriter writes an answer in the usual format of completions, as one
// body or as server-sent events.
type completionWriter struct {
	w      http.ResponseWriter
	id     string
	model  string
	chat   bool
	stream bool

	begun   bool // all below is set then
	flusher *http.ResponseController
	encoder *json.Encoder
	buffer  bytes.Buffer
	event   *completionEvent
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
		c.begin()
	}
	c.event.set(chunk)
	return c.writeEvent("", &c.event.answer)
}

func (c *completionWriter) begin() {
	c.begun = true
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	c.flusher = http.NewResponseController(c.w)
	c.encoder = json.NewEncoder(&c.buffer)
	c.event = newCompletionEvent(c.id, c.model, c.object(), c.chat)
}

// completionEvent is one event of a stream. Its parts are written over for each
// chunk, so that a token costs no allocation.
type completionEvent struct {
	answer  completionAnswer
	choices [1]completionChoice
	ranges  [1]attempt.Range
	delta   upstream.Message
	text    string
	finish  string
}

func newCompletionEvent(id, model, object string, chat bool) *completionEvent {
	e := &completionEvent{answer: completionAnswer{ID: id, Object: object, Model: model}, delta: upstream.Message{Role: "assistant"}}
	e.answer.Choices = e.choices[:]
	if chat {
		e.choices[0].Delta = &e.delta
	} else {
		e.choices[0].Text = &e.text
	}
	return e
}

func (e *completionEvent) set(chunk upstream.Chunk) {
	e.text, e.delta.Content, e.finish = chunk.Text, chunk.Text, chunk.FinishReason
	e.choices[0].FinishReason = nil
	if chunk.FinishReason != "" {
		e.choices[0].FinishReason = &e.finish
	}
	e.ranges[0] = attempt.Range{WeightVersion: chunk.WeightVersion, Tokens: chunk.Tokens}
	e.answer.WeightVersions = nil
	if chunk.Tokens > 0 {
		e.answer.WeightVersions = e.ranges[:]
	}
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

// writeEvent writes one server-sent event. JSON holds no line breaks, so one
// data line is enough; the encoder ends it.
func (c *completionWriter) writeEvent(name string, v any) error {
	c.buffer.Reset()
	if name != "" {
		c.buffer.WriteString("event: " + name + "\n")
	}
	c.buffer.WriteString("data: ")
	if err := c.encoder.Encode(v); err != nil {
		return err
	}
	c.buffer.WriteByte('\n')
	return c.flush()
}

// flush sends the buffer on at once. It waits while the caller does not read,
// and with it the reading of the engine's stream.
func (c *completionWriter) flush() error {
	if _, err := c.w.Write(c.buffer.Bytes()); err != nil {
		return err
	}
	return c.flusher.Flush()
}

func (c *completionWriter) finish(whole attempt.Completion) {
	if c.stream {
		c.buffer.Reset()
		c.buffer.WriteString("data: [DONE]\n\n")
		_ = c.flush() // without it the caller knows that the answer is not whole
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
	_ = c.writeEvent("error", f.body())
}
