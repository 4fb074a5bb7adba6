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

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Telemetry")
}

// buffer is a bytes.Buffer that may be written and read by several.
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
	It("never waits for a reader that has stopped, and counts what it drops", func() {
		read, write := io.Pipe()
		log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), newWriter(write), zapcore.InfoLevel))
		begun := time.Now()
		for range 3 * queuedLines {
			log.Info("line")
		}
		Expect(time.Since(begun)).To(BeNumerically("<", 2*time.Second))
		Expect(read.Close()).To(Succeed())
	})

	It("samples what repeats, but no warning", func() {
		to := &buffer{}
		w := newWriter(to)
		log := zap.New(newCore(zap.NewProductionEncoderConfig(), w, zapcore.InfoLevel))
		for range 10 * keptLines {
			log.Info("usual")
			log.Warn("urgent")
		}
		Expect(w.Sync()).To(Succeed())
		usual, urgent := 0, 0
		for _, line := range to.lines() {
			if strings.Contains(line, "usual") {
				usual++
			} else {
				urgent++
			}
		}
		Expect(usual).To(BeNumerically("<", 3*keptLines))
		Expect(urgent + int(w.lost.Load())).To(Equal(10 * keptLines))
	})
})

var _ = Describe("The field of an error", func() {
	It("has the step and the peer, and no stack", func() {
		err := oops.In("forward").With("step", "send", "peer", "i-1").Wrap(errors.New("reset"))
		Expect(Error(err).String).To(Equal("reset (step send) (peer i-1)"))
		Expect(Error(nil)).To(Equal(zap.Skip()))
	})
})
