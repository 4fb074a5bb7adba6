package fenced

import (
	"io"
	"sync/atomic"
)

// heldBody hands out a body and checks before its last byte.
type heldBody struct {
	left     []byte // not yet handed out
	check    Check
	released atomic.Bool // the last byte was handed out
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	switch len(b.left) {
	case 0:
		return 0, io.EOF
	case 1:
		if err := b.check(); err != nil {
			return 0, err
		}
		b.released.Store(true)
	default:
		p = p[:min(len(p), len(b.left)-1)]
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *heldBody) Close() error { return nil }
