package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines limits the queue of lines to be written. It holds some seconds of
// the highest rate that sampling lets through.
const maxQueuedLines = 4096

// dropReportInterval is the minimum time between two reports of dropped lines.
const dropReportInterval = 5 * time.Second

// writer queues lines for a goroutine that writes them, so that a full pipe does not
// block the callers. Lines that do not fit in the queue are dropped and counted. It
// implements zapcore.WriteSyncer.
type writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flush   chan chan struct{}
}

func newWriter(out io.Writer) *writer {
	w := &writer{out: out, lines: make(chan []byte, maxQueuedLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...): // copied because zap reuses the buffer
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// syncTimeout bounds the wait for queued lines in Sync.
const syncTimeout = 500 * time.Millisecond

// Sync waits until the queued lines are written, for up to syncTimeout: the reader of
// a pipe may have stopped reading.
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
	lastReport := time.Now()
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
		if dropped := w.dropped.Load(); dropped > 0 && time.Since(lastReport) > dropReportInterval {
			lastReport = time.Now()
			w.dropped.Add(-dropped)
			w.write(fmt.Appendf(nil, `{"level":"warn","msg":"log lines were dropped","count":%d}`+"\n", dropped))
		}
	}
}

func (w *writer) write(line []byte) { _, _ = w.out.Write(line) } // there is nowhere to report a failed log write
