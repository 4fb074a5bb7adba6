package batch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The results of a step", func() {
	// In a typical step without faults, half of the items complete within 0.5 s and the
	// last one after 7.8 s. Each chunk is a billed call.
	It("take at most eight chunks, and are stored without long delays near the due time", func() {
		const due = 7500 * time.Millisecond
		chunks, maxDelay := 0, time.Duration(0)
		for at := 100 * time.Millisecond; at < 7800*time.Millisecond; {
			delay := flushDelayFor(due - at) // results arrive continuously; the next one starts a chunk
			if due-at < 2*time.Second {
				maxDelay = max(maxDelay, delay)
			}
			chunks++
			at += delay + 50*time.Millisecond
		}
		Expect(chunks).To(BeNumerically("<=", 8))
		Expect(maxDelay).To(BeNumerically("<=", 600*time.Millisecond))
	})
})
