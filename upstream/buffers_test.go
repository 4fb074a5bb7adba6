package upstream_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/upstream"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

var _ = Describe("The memory of responses that are read at the same time", func() {
	const (
		limit    = 4 << 20
		maxBytes = 16 << 20
	)
	nothing := func() {}

	It("is bounded in sum, and the largest response is broken off", func() {
		buffers := upstream.NewBuffers(limit)
		aborted := make(chan struct{})
		large, small := buffers.Open(func() { close(aborted) }), buffers.Open(nothing)
		Expect(large.Resize(3 << 20)).To(Succeed())
		Expect(small.Resize(1 << 20)).To(Succeed())
		Expect(small.Resize(2 << 20)).To(Succeed())
		Eventually(aborted).Should(BeClosed())
		Expect(large.Resize(1)).To(MatchError(upstream.ErrBuffersFull))
		Expect(buffers.Used()).To(BeNumerically("<=", 2<<20))
		small.Close()
		large.Close()
		Expect(small.Resize(8<<20)).To(MatchError(upstream.ErrBuffersFull), "a closed buffer does not grow")
		Expect(buffers.Used()).To(BeZero())
	})

	It("leaves room for small responses whatever the large ones take", func() {
		buffers := upstream.NewBuffers(0)
		body, err := buffers.Open(nothing).ReadAll(strings.NewReader("kits"), maxBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("kits"))
	})

	It("has no effect on a body that is read alone and fits", func() {
		want := bytes.Repeat([]byte("0123456789"), 300_000)
		buffers := upstream.NewBuffers(limit)
		buffer := buffers.Open(nothing)
		body, err := buffer.ReadAll(iotest.HalfReader(bytes.NewReader(want)), maxBytes)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal(want))
		buffer.Close()
		Expect(buffers.Used()).To(BeZero())
	})

	It("does not make a body that was cut look complete", func() {
		for _, n := range []int{0, 10, 5000, 1 << 20} {
			cut := io.MultiReader(bytes.NewReader(make([]byte, n)), iotest.ErrReader(io.ErrUnexpectedEOF))
			_, err := upstream.NewBuffers(limit).Open(nothing).ReadAll(cut, maxBytes)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		}
	})

	It("stays within the limit of one response", func() {
		body, err := (*upstream.Buffers)(nil).Open(nothing).ReadAll(endless{}, 1<<20)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(1<<20 + 1))
	})

	// Load: forty endless responses beside sound ones of usual size.
	It("serves sound responses beside endless ones", func() {
		buffers := upstream.NewBuffers(limit)
		var readers sync.WaitGroup
		for range 40 {
			readers.Go(func() {
				defer GinkgoRecover()
				for range 5 {
					buffer := buffers.Open(nothing)
					_, err := buffer.ReadAll(endless{}, maxBytes)
					buffer.Close()
					Expect(errors.Is(err, upstream.ErrBuffersFull)).To(BeTrue())
				}
			})
			readers.Go(func() {
				defer GinkgoRecover()
				for range 50 {
					buffer := buffers.Open(nothing)
					body, err := buffer.ReadAll(strings.NewReader(strings.Repeat("x", 40<<10)), maxBytes)
					buffer.Close()
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(HaveLen(40 << 10))
					Expect(buffers.Used()).To(BeNumerically("<=", limit))
				}
			})
		}
		readers.Wait()
		Expect(buffers.Used()).To(BeZero())
	})
})
