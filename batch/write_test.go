package batch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Results of a step", func() {
	// A step's items as measured on a calm day: half are done within 0.5 s, the last
	// after 7.8 s. Each chunk is a priced call.
	It("take at most eight chunks, and none is late when it matters", func() {
		const due = 7500 * time.Millisecond
		chunks, worst := 0, time.Duration(0)
		for at := 100 * time.Millisecond; at < 7800*time.Millisecond; {
			wait := gather(due - at) // a result comes at any time; the next starts a chunk
			if due-at < 2*time.Second {
				worst = max(worst, wait)
			}
			chunks++
			at += wait + 50*time.Millisecond
		}
		Expect(chunks).To(BeNumerically("<=", 8))
		Expect(worst).To(BeNumerically("<=", 600*time.Millisecond))
	})
})
