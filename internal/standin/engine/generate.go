package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Damage is a kind of response corruption.
type Damage string

// Kinds of Damage.
const (
	WrongID Damage = "crossed" // a chunk carries another request's ID
	Doubled Damage = "doubled" // a chunk is sent twice
	Missing Damage = "missing" // a chunk is omitted
	TooLong Damage = "tooLong" // more tokens than requested, and no finish reason
	Garbage Damage = "garbage" // an event is not JSON
	Endless Damage = "endless" // an event has no end
	NoEnd   Damage = "noEnd"   // the stream ends cleanly, but without its last chunk
)

// endlessBytes is the size of the event that Endless sends.
const endlessBytes = 4 << 20

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var request upstream.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	received, ok := s.beginRequest(r, request)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	defer s.endRequest()
	w.Header().Set("Content-Type", "text/event-stream")
	resp := &response{server: s, w: w, r: r, request: request, received: received, prompt: fullPrompt(request)}
	whole := resp.stream()
	s.mu.Lock()
	defer s.mu.Unlock()
	received.Whole, received.Cancelled = whole, !whole && r.Context().Err() != nil
}

// response is a streamed response in progress.
type response struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	request  upstream.CompletionRequest
	received *Received
	prompt   string
}

// stream sends the tokens and reports whether all of them were sent.
func (resp *response) stream() bool {
	for n := resp.request.ResumedTokens; n < resp.request.MaxTokens; n++ {
		if !resp.waitForToken() {
			return false
		}
		faults := resp.server.currentFaults()
		if faults.CutAfter > 0 && n-resp.request.ResumedTokens >= faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if resp.send(n, faults) != nil {
			return false
		}
	}
	return true
}

// waitForToken waits until the next token is due. It returns false if the client
// has disconnected.
func (resp *response) waitForToken() bool {
	wait := resp.server.tokenTime()
	if wait == 0 {
		return resp.r.Context().Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-resp.r.Context().Done():
		return false
	}
}

func (resp *response) send(n int, faults Faults) error {
	chunk := upstream.Chunk{
		ID: resp.request.ID, Position: n, Text: Token(resp.prompt, resp.request.Seed, n), Tokens: 1,
		WeightVersion: resp.server.countToken(resp.received),
	}
	if n == resp.request.MaxTokens-1 {
		chunk.FinishReason, chunk.PromptTokens = "length", len(strings.Fields(resp.prompt))
	}
	if faults.Damage == "" || n != faults.DamageAt {
		return writeChunk(resp.w, chunk)
	}
	return resp.sendDamaged(chunk, faults.Damage)
}

func (resp *response) sendDamaged(chunk upstream.Chunk, kind Damage) error {
	switch kind {
	case WrongID:
		chunk.ID = "another request"
	case Doubled:
		if err := writeChunk(resp.w, chunk); err != nil {
			return err
		}
	case Missing, NoEnd:
		return nil
	case TooLong:
		chunk.Tokens, chunk.FinishReason = resp.request.MaxTokens+1, ""
	case Garbage:
		_, err := fmt.Fprint(resp.w, "data: {]\n\n")
		return err
	case Endless:
		_, err := fmt.Fprint(resp.w, "data: ", strings.Repeat("x", endlessBytes))
		return err
	}
	return writeChunk(resp.w, chunk)
}

func fullPrompt(request upstream.CompletionRequest) string {
	prompt := request.Prompt
	for _, m := range request.Messages {
		prompt += m.Role + ": " + m.Content + "\n"
	}
	return prompt
}

func writeChunk(w http.ResponseWriter, chunk upstream.Chunk) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
