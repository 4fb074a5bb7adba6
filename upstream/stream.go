package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

const (
	// maxEventBytes bounds one event of a stream, and with it the memory that a
	// stream holds: reading waits while the caller does not take what was read.
	maxEventBytes    = 256 << 10
	streamBufferSize = 4 << 10
	maxRefusalBytes  = 4 << 10
)

// Complete runs a completion and hands each chunk to emit in order. It returns
// nil only for a whole answer. An error from emit ends the request upstream.
func (c *Client) Complete(ctx context.Context, address string, request CompletionRequest, emit func(Chunk) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the stream upstream however this returns
	body, err := json.Marshal(request)
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/generate", nil)
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	sendOnce(r, body)
	answer, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return engineRefusal(answer)
	}
	return readChunks(answer.Body, request, emit)
}

// engineRefusal reads an answer without a stream. By the engines' protocol 429
// and 503 come before any work; other statuses prove nothing.
func engineRefusal(answer *http.Response) error {
	_, _ = io.CopyN(io.Discard, answer.Body, maxRefusalBytes) // lets the connection be used again
	if refuses(answer.StatusCode) {
		return &RefusedError{Status: answer.StatusCode, RetryAfter: retryAfter(answer.Header)}
	}
	return oops.In("upstream").With("status", answer.StatusCode).Errorf("engine failed with status %d", answer.StatusCode)
}

func refuses(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// retryAfter reads the header's whole seconds; 0 when it has none.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// sequence checks that chunks belong to one request and follow each other.
type sequence struct {
	id   string
	next int // position that the next chunk must have
	end  int // tokens asked for
}

func (s *sequence) check(c Chunk) error {
	switch {
	case c.ID != s.id:
		return ErrForeignChunk
	case c.Tokens < 0, c.Position != s.next:
		return ErrSequence
	case c.Tokens > s.end-s.next:
		return ErrTooLong
	}
	s.next += c.Tokens
	return nil
}

func readChunks(body io.Reader, request CompletionRequest, emit func(Chunk) error) error {
	events := newEvents(body)
	order := sequence{id: request.ID, next: request.ResumedTokens, end: request.MaxTokens}
	decoder := newChunkDecoder(request.ID)
	for {
		data, err := events.next()
		if err != nil {
			return oops.In("upstream").With("step", "read").Wrap(errors.Join(ErrCutShort, err))
		}
		chunk, err := decoder.decode(data)
		if err != nil {
			return oops.In("upstream").With("step", "decode").Wrap(errors.Join(ErrDamaged, err))
		}
		if err := order.check(chunk); err != nil {
			return oops.In("upstream").With("step", "match").Wrap(err)
		}
		if err := emit(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			return nil
		}
	}
}

// events reads the data of server-sent events, which here are one line each.
type events struct{ lines *bufio.Scanner }

func newEvents(body io.Reader) *events {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, streamBufferSize), maxEventBytes)
	return &events{lines: lines}
}

var dataField = []byte("data:")

// next returns the data of the next event, valid until the next call, or an
// error. An event that is cut before its line ends is an error when decoded.
func (e *events) next() ([]byte, error) {
	for e.lines.Scan() {
		data, found := bytes.CutPrefix(e.lines.Bytes(), dataField)
		if found {
			return bytes.TrimPrefix(data, []byte(" ")), nil
		}
	}
	if err := e.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}
