package fenced

import (
	"io"
	"sync/atomic"
)

// checkedBody is a request body that runs a check before it returns its last
// byte.
type checkedBody struct {
	remaining []byte // not yet read by the transport
	check     Check
	complete  atomic.Bool // the last byte was read
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	switch len(b.remaining) {
	case 0:
		return 0, io.EOF
	case 1:
		if err := b.check(); err != nil {
			return 0, err
		}
		b.complete.Store(true)
	default:
		p = p[:min(len(p), len(b.remaining)-1)]
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *checkedBody) Close() error { return nil }
