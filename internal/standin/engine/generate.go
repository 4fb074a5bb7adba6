package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/upstream"
)

// Damage is a way in which an answer is wrong.
type Damage string

// The kinds of damage.
const (
	WrongID Damage = "crossed" // a chunk of another request
	Doubled Damage = "doubled" // a chunk sent twice
	Missing Damage = "missing" // a chunk left out
	TooLong Damage = "tooLong" // more tokens than asked for, and no end
	Garbage Damage = "garbage" // an event that is not JSON
	Endless Damage = "endless" // an event that never ends
	NoEnd   Damage = "noEnd"   // the stream ends well, without its last chunk
)

// endlessBytes is how much of an endless event is sent before giving up.
const endlessBytes = 4 << 20

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var request upstream.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	received, ok := s.begin(r, request)
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	w.Header().Set("Content-Type", "text/event-stream")
	answer := &answer{server: s, w: w, r: r, request: request, received: received, prompt: promptOf(request)}
	whole := answer.stream()
	s.mu.Lock()
	defer s.mu.Unlock()
	received.Whole, received.Cancelled = whole, !whole && r.Context().Err() != nil
}

// answer is one stream under way.
type answer struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	request  upstream.CompletionRequest
	received *Received
	prompt   string
}

// stream sends the answer and reports whether it is whole.
func (a *answer) stream() bool {
	for n := a.request.ResumedTokens; n < a.request.MaxTokens; n++ {
		if !a.pause() {
			return false
		}
		faults := a.server.faultsNow()
		if faults.CutAfter > 0 && n-a.request.ResumedTokens >= faults.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if a.send(n, faults) != nil {
			return false
		}
	}
	return true
}

// pause waits for the next token; false means that the other side has gone.
func (a *answer) pause() bool {
	wait := a.server.tokenTime()
	if wait == 0 {
		return a.r.Context().Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-a.r.Context().Done():
		return false
	}
}

func (a *answer) send(n int, faults Faults) error {
	chunk := upstream.Chunk{
		ID: a.request.ID, Position: n, Text: Token(a.prompt, a.request.Seed, n), Tokens: 1,
		WeightVersion: a.server.count(a.received),
	}
	if n == a.request.MaxTokens-1 {
		chunk.FinishReason, chunk.PromptTokens = "length", len(strings.Fields(a.prompt))
	}
	if faults.Damage == "" || n != faults.DamageAt {
		return writeChunk(a.w, chunk)
	}
	return a.damage(chunk, faults.Damage)
}

func (a *answer) damage(chunk upstream.Chunk, kind Damage) error {
	switch kind {
	case WrongID:
		chunk.ID = "another request"
	case Doubled:
		if err := writeChunk(a.w, chunk); err != nil {
			return err
		}
	case Missing, NoEnd:
		return nil
	case TooLong:
		chunk.Tokens, chunk.FinishReason = a.request.MaxTokens+1, ""
	case Garbage:
		_, err := fmt.Fprint(a.w, "data: {]\n\n")
		return err
	case Endless:
		_, err := fmt.Fprint(a.w, "data: ", strings.Repeat("x", endlessBytes))
		return err
	}
	return writeChunk(a.w, chunk)
}

func promptOf(request upstream.CompletionRequest) string {
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
