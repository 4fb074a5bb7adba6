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

// completionBody is the JSON body of a completion request. Unknown fields are
// rejected, not forwarded.
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
	User        string             `json:"user"` // accepted but not forwarded
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

// promptStart returns the prompt or, for a chat, its first message with its role.
// The prefix for routing is computed from it.
func (b *completionBody) promptStart() string {
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
	if err == nil && completionContainsKey(admitted.view.Contract, &body) {
		err = errKeyInContent
	}
	if err != nil {
		badRequest(err).write(w)
		return
	}
	reservation, retryAfter := i.limits.Admit(admitted.key.Team)
	if reservation == nil {
		i.counters.countRequest(admitted.route.Name, admitted.key.Team, codeTokenRate)
		tokenRateExceeded(retryAfter).write(w)
		return
	}
	writer := &completionWriter{w: w, id: admitted.id, chat: len(body.Messages) > 0, stream: body.Stream, model: admitted.service.Model}
	ticket := admitted.ticket(i.settings.Domain, int64(body.MaxTokens))
	ticket.Route.Prefix = route.PrefixOf(body.promptStart())
	tally := i.usage.meter.Begin(admitted.key.Team, admitted.service.Name)
	completion, err := i.runner.Stream(ctx, ticket, upstream.CompletionRequest{
		ID: admitted.id, Model: admitted.service.Model, Prompt: body.Prompt, Messages: body.Messages, MaxTokens: body.MaxTokens,
		Temperature: body.Temperature, TopP: body.TopP, Seed: body.Seed, Stop: body.Stop,
	}, func(chunk upstream.Chunk) error {
		tally.Output(int64(chunk.Tokens))
		return writer.writeChunk(chunk)
	})
	reservation.Done(int64(completion.PromptTokens + completion.OutputTokens))
	i.usage.endCompletion(ctx, tally, completion, err)
	if err != nil {
		response := requestError(ctx, err)
		i.counters.countRequest(admitted.route.Name, admitted.key.Team, response.code)
		writer.fail(response)
		return
	}
	i.counters.countRequest(admitted.route.Name, admitted.key.Team, "ok")
	writer.finish(completion)
}

// completionWriter writes a response in the OpenAI completion format, as a single
// JSON body or as server-sent events.
type completionWriter struct {
	w      http.ResponseWriter
	id     string
	model  string
	chat   bool
	stream bool

	started bool // the stream has started and the fields below are set
	flusher *http.ResponseController
	encoder *json.Encoder
	buffer  bytes.Buffer
	event   *completionEvent
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
	// WeightVersions lists the weight versions that generated the tokens, in order.
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

func (c *completionWriter) writeChunk(chunk upstream.Chunk) error {
	if !c.stream {
		return nil
	}
	if !c.started {
		c.startStream()
	}
	c.event.set(chunk)
	return c.writeEvent("", &c.event.response)
}

func (c *completionWriter) startStream() {
	c.started = true
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-store")
	c.flusher = http.NewResponseController(c.w)
	c.encoder = json.NewEncoder(&c.buffer)
	c.event = newCompletionEvent(c.id, c.model, c.object(), c.chat)
}

// completionEvent is one event of a stream. Its fields are reused for each chunk
// to avoid an allocation per token.
type completionEvent struct {
	response     completionResponse
	choices      [1]completionChoice
	ranges       [1]attempt.Range
	delta        upstream.Message
	text         string
	finishReason string
}

func newCompletionEvent(id, model, object string, chat bool) *completionEvent {
	e := &completionEvent{response: completionResponse{ID: id, Object: object, Model: model}, delta: upstream.Message{Role: "assistant"}}
	e.response.Choices = e.choices[:]
	if chat {
		e.choices[0].Delta = &e.delta
	} else {
		e.choices[0].Text = &e.text
	}
	return e
}

func (e *completionEvent) set(chunk upstream.Chunk) {
	e.text, e.delta.Content, e.finishReason = chunk.Text, chunk.Text, chunk.FinishReason
	e.choices[0].FinishReason = nil
	if chunk.FinishReason != "" {
		e.choices[0].FinishReason = &e.finishReason
	}
	e.ranges[0] = attempt.Range{WeightVersion: chunk.WeightVersion, Tokens: chunk.Tokens}
	e.response.WeightVersions = nil
	if chunk.Tokens > 0 {
		e.response.WeightVersions = e.ranges[:]
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

// writeEvent writes one server-sent event. Encoded JSON contains no line breaks,
// so a single data line is enough. The encoder adds its line break.
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

// flush writes the buffer to the caller and flushes the connection. It blocks
// while the caller does not read, which also stops reading from the engine.
func (c *completionWriter) flush() error {
	if _, err := c.w.Write(c.buffer.Bytes()); err != nil {
		return err
	}
	return c.flusher.Flush()
}

func (c *completionWriter) finish(completion attempt.Completion) {
	if c.stream {
		c.buffer.Reset()
		c.buffer.WriteString("data: [DONE]\n\n")
		_ = c.flush() // a missing end marker tells the caller that the response is incomplete
		return
	}
	choice := completionChoice{FinishReason: &completion.FinishReason}
	if c.chat {
		choice.Message = &upstream.Message{Role: "assistant", Content: completion.Text}
	} else {
		choice.Text = &completion.Text
	}
	httpjson.Write(c.w, http.StatusOK, completionResponse{
		ID: c.id, Object: c.object(), Model: c.model, Choices: []completionChoice{choice}, WeightVersions: completion.Ranges,
		Usage: &completionUsage{completion.PromptTokens, completion.OutputTokens, completion.PromptTokens + completion.OutputTokens},
	})
}

// fail ends the response with an error. A stream that has started ends with an
// error event and without the end marker.
func (c *completionWriter) fail(response *errorResponse) {
	if !c.started {
		response.write(c.w)
		return
	}
	_ = c.writeEvent("error", response.body())
}
