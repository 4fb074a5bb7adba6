package upstream

import (
	"errors"
	"io"
	"sync"

	"github.com/pomelocross/pomelocross/internal/bodyread"
)

// ErrBuffersFull is the error of a response that is broken off because the responses that are
// read at the same time take too much memory.
var ErrBuffersFull = errors.New("responses that are being read take too much memory, and this is the largest")

// freeBufferBytes is the part of each buffer that doesn't count. It is larger than most
// responses, which are therefore read whatever the others take.
const freeBufferBytes = 64 << 10

// Buffers bounds the memory of the responses that are read at the same time, with a limit for
// all of them in bytes. It is safe for concurrent use.
//
// Load pattern: some upstreams send without end in response to many requests. Each response is
// limited, but their sum exceeds the memory of the machine. The largest one is broken off, since
// the others are more likely to be sound.
type Buffers struct {
	mu    sync.Mutex // guards all below and the fields of each Buffer
	limit int
	used  int // sum of the counted bytes of open buffers
	open  map[*Buffer]struct{}
}

// NewBuffers returns Buffers with a limit in bytes.
func NewBuffers(limit int) *Buffers { return &Buffers{limit: limit, open: map[*Buffer]struct{}{}} }

// SetLimit replaces the limit. It holds for what is read from then on.
func (b *Buffers) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the number of counted bytes.
func (b *Buffers) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns an empty buffer, which must be closed. abort ends the response that is read into
// it; it is called at most once, in a goroutine of its own. The buffers of nil have no limit.
func (b *Buffers) Open(abort func()) *Buffer {
	x := &Buffer{all: b, abort: abort}
	if b == nil {
		return x
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[x] = struct{}{}
	return x
}

// largest returns the open buffer with the most counted bytes. The caller holds mu.
func (b *Buffers) largest() *Buffer {
	var found *Buffer
	for x := range b.open {
		if found == nil || x.counted > found.counted {
			found = x
		}
	}
	return found
}

// Buffer is the memory of one response.
type Buffer struct {
	all     *Buffers // nil if there is no limit
	abort   func()
	counted int  // bytes beyond freeBufferBytes
	broken  bool // the response is broken off, or the buffer is closed
}

// Resize sets the size of the buffer in bytes, before the memory is allocated. If the sum then
// exceeds the limit, the largest buffer is broken off. If that is this one, or was before,
// Resize returns ErrBuffersFull.
func (x *Buffer) Resize(bytes int) error {
	counted := max(0, bytes-freeBufferBytes)
	b := x.all
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.broken {
		return ErrBuffersFull
	}
	b.used += counted - x.counted
	x.counted = counted
	for b.used > b.limit {
		victim := b.largest()
		b.breakOff(victim)
		if victim == x {
			return ErrBuffersFull
		}
	}
	return nil
}

// breakOff ends the response of a buffer. Its memory no longer counts. The caller holds mu.
func (b *Buffers) breakOff(x *Buffer) {
	b.used -= x.counted
	x.counted, x.broken = 0, true
	delete(b.open, x)
	go x.abort()
}

// Close releases the memory of the buffer, which can't grow any more.
func (x *Buffer) Close() {
	if x.all == nil {
		return
	}
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	x.all.used -= x.counted
	x.counted, x.broken = 0, true
	delete(x.all.open, x)
}

// ReadAll reads a body to its end, but not more than limit+1 bytes.
func (x *Buffer) ReadAll(body io.Reader, limit int) ([]byte, error) {
	read, err := bodyread.All(body, limit, x.Resize)
	if err != nil {
		return nil, x.cause(err)
	}
	return read, nil
}

// cause returns ErrBuffersFull if the response was broken off, and otherwise err.
func (x *Buffer) cause(err error) error {
	if x.all == nil {
		return err
	}
	x.all.mu.Lock()
	defer x.all.mu.Unlock()
	if x.broken {
		return ErrBuffersFull
	}
	return err
}
