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

	"github.com/pomelocross/pomelocross/internal/bodyread"
)

const (
	// maxEventBytes is the maximum size of one event. It also bounds the memory
	// of a stream, since reading pauses while the caller processes an event.
	maxEventBytes    = 256 << 10
	streamBufferSize = 4 << 10
)

// Complete runs a completion and passes each chunk to emit in order. It returns
// nil only if the response was complete. An error from emit cancels the request on
// the engine.
func (c *Client) Complete(ctx context.Context, address string, request CompletionRequest, emit func(Chunk) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the stream on the engine on every return path
	body, err := json.Marshal(request)
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/generate", nil)
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	r.Header.Set("Content-Type", "application/json")
	setSingleUseBody(r, body)
	resp, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return engineRefusal(resp)
	}
	return readChunks(resp.Body, request, emit)
}

// engineRefusal converts a response without a stream to an error. The engine
// protocol allows 429 and 503 only before the request is executed; with other
// statuses, or if the response is truncated, it may have been executed.
func engineRefusal(resp *http.Response) error {
	if err := bodyread.Discard(resp.Body, maxDiscardedBytes); err != nil {
		return oops.In("upstream").With("step", "read refusal", "status", resp.StatusCode).Wrap(errors.Join(ErrTruncated, err))
	}
	if isRefusal(resp.StatusCode) {
		return &RefusedError{Status: resp.StatusCode, RetryAfter: retryAfter(resp.Header)}
	}
	return oops.In("upstream").With("status", resp.StatusCode).Errorf("engine returned status %d", resp.StatusCode)
}

// isRefusal reports whether status is one with which upstreams refuse requests.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// retryAfter returns the Retry-After delay if it is given in seconds, otherwise 0.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// chunkSequence checks that chunks belong to one request and are contiguous.
type chunkSequence struct {
	id           string
	nextPosition int // expected position of the next chunk
	maxTokens    int // requested length of the whole output in tokens
}

func (s *chunkSequence) check(c Chunk) error {
	switch {
	case c.ID != s.id:
		return ErrRequestMismatch
	case c.Tokens < 0, c.Position != s.nextPosition:
		return ErrChunkSequence
	case c.Tokens > s.maxTokens-s.nextPosition:
		return ErrTooManyTokens
	}
	s.nextPosition += c.Tokens
	return nil
}

// readChunks reads chunks from body and passes them to emit until the last one.
func readChunks(body io.Reader, request CompletionRequest, emit func(Chunk) error) error {
	reader := newEventReader(body)
	sequence := chunkSequence{id: request.ID, nextPosition: request.ResumedTokens, maxTokens: request.MaxTokens}
	decoder := newChunkDecoder(request.ID)
	for {
		data, err := reader.next()
		if err != nil {
			return oops.In("upstream").With("step", "read").Wrap(errors.Join(ErrTruncated, err))
		}
		chunk, err := decoder.decode(data)
		if err != nil {
			return oops.In("upstream").With("step", "decode").Wrap(errors.Join(ErrInvalidChunk, err))
		}
		if err := sequence.check(chunk); err != nil {
			return oops.In("upstream").With("step", "check sequence").Wrap(err)
		}
		if err := emit(chunk); err != nil {
			return err
		}
		if chunk.FinishReason != "" {
			return nil
		}
	}
}

// eventReader reads server-sent events whose data is a single line.
type eventReader struct{ scanner *bufio.Scanner }

func newEventReader(body io.Reader) *eventReader {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, streamBufferSize), maxEventBytes)
	return &eventReader{scanner: scanner}
}

var dataPrefix = []byte("data:")

// next returns the data of the next event, which is valid until the next call. A
// line truncated by the end of the stream is returned too; decoding it fails.
func (e *eventReader) next() ([]byte, error) {
	for e.scanner.Scan() {
		data, found := bytes.CutPrefix(e.scanner.Bytes(), dataPrefix)
		if found {
			return bytes.TrimPrefix(data, []byte(" ")), nil
		}
	}
	if err := e.scanner.Err(); err != nil {
		return nil, err
	}
	return nil, io.ErrUnexpectedEOF
}
