package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queuedLines bounds the lines that wait to be written: some seconds of the most
// that sampling lets through.
const queuedLines = 4096

// lossInterval is how often lost lines are told of.
const lossInterval = 5 * time.Second

// writer hands lines to a goroutine that writes them, so that a full pipe delays
// nobody. Lines that find no place are counted and dropped. It implements
// zapcore.WriteSyncer.
type writer struct {
	to    io.Writer
	lines chan []byte
	lost  atomic.Int64
	flush chan chan struct{}
}

func newWriter(to io.Writer) *writer {
	w := &writer{to: to, lines: make(chan []byte, queuedLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...): // zap uses its buffer again
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// syncTimeout bounds the wait for lines to be written at the end.
const syncTimeout = 500 * time.Millisecond

// Sync waits until the lines so far are written, but not for a reader that has
// stopped reading.
func (w *writer) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case w.flush <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (w *writer) run() {
	told := time.Now()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flush:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			close(done)
		}
		if lost := w.lost.Load(); lost > 0 && time.Since(told) > lossInterval {
			told = time.Now()
			w.lost.Add(-lost)
			w.write(fmt.Appendf(nil, `{"level":"warn","msg":"log lines were dropped","count":%d}`+"\n", lost))
		}
	}
}

func (w *writer) write(line []byte) { _, _ = w.to.Write(line) } // there is nowhere to tell of a failing log
