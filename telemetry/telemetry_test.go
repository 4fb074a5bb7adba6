package telemetry

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/oops"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Telemetry")
}

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex // guards b
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

var _ = Describe("The log", func() {
	It("does not block when the reader of its pipe has stopped reading", func() {
		read, write := io.Pipe()
		log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), newWriter(write), zapcore.InfoLevel))
		start := time.Now()
		for range 3 * maxQueuedLines {
			log.Info("line")
		}
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
		Expect(read.Close()).To(Succeed())
	})

	It("samples repeated lines below the warning level only", func() {
		out := &buffer{}
		w := newWriter(out)
		log := zap.New(newCore(zap.NewProductionEncoderConfig(), w, zapcore.InfoLevel))
		for range 10 * sampleFirst {
			log.Info("repeated info")
			log.Warn("repeated warning")
		}
		Expect(w.Sync()).To(Succeed())
		sampled, unsampled := 0, 0
		for _, line := range out.lines() {
			if strings.Contains(line, "repeated info") {
				sampled++
			} else {
				unsampled++
			}
		}
		Expect(sampled).To(BeNumerically("<", 3*sampleFirst))
		Expect(unsampled + int(w.dropped.Load())).To(Equal(10 * sampleFirst))
	})
})

var _ = Describe("The error field", func() {
	It("has the step and the peer, and no stack trace", func() {
		err := oops.In("forward").With("step", "send", "peer", "i-1").Wrap(errors.New("reset"))
		Expect(Error(err).String).To(Equal("reset (step send) (peer i-1)"))
		Expect(Error(nil)).To(Equal(zap.Skip()))
	})
})
