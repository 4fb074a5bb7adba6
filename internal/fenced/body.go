package fenced

import (
	"errors"
	"io"
	"sync"
)

// errAnswered means that the receiver sent a final response before it got the whole request.
var errAnswered = errors.New("the receiver responded before it got the whole request")

// checkedBody is a request body that runs a check before it returns its last
// byte.
type checkedBody struct {
	check Check

	mu        sync.Mutex // guards all below; held during the check
	remaining []byte     // not yet read by the transport
	complete  bool       // the last byte was read
	ended     bool       // the last byte must no longer be read
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch len(b.remaining) {
	case 0:
		return 0, io.EOF
	case 1:
		if b.ended {
			return 0, errAnswered
		}
		if err := b.check(); err != nil {
			return 0, err
		}
		b.complete = true
	default:
		p = p[:min(len(p), len(b.remaining)-1)]
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// end withholds the last byte from now on. It reports whether it was already read.
func (b *checkedBody) end() (complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return b.complete
}

// Close implements io.Closer.
func (b *checkedBody) Close() error { return nil }
