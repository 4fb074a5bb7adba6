package roster

import (
	"fmt"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Memory admission", func() {
	// A training step on an engine with KV cache memory for 39,567 tokens: three items
	// of maximum length and many of typical length.
	const limit = 39567
	long, typical := Memory{Held: 276, Growth: 12675}, Memory{Held: 276, Growth: 640}
	engineWith := func(n int) *Roster {
		e := engine("e1", 3)
		e.Slots = 12
		r := newRoster(e)
		for i := range n {
			r.Begin("e1", fmt.Sprint("long", i), long)
		}
		return r
	}
	need := func(m Memory) Need {
		return Need{Service: "lm", Model: "m", MinVersion: 3, Domain: "a", Memory: m, KVTokens: limit}
	}

	ginkgo.It("admits items of typical length beside long ones that have just started", func() {
		r := engineWith(3)
		for i := range 9 {
			Expect(pickID(r, need(typical))).To(Equal("e1"))
			r.Begin("e1", fmt.Sprint("typical", i), typical)
		}
		Expect(pickID(r, need(typical))).To(BeEmpty(), "all slots are in use")
	})

	ginkgo.It("rejects another long item whose peak would not fit", func() {
		Expect(pickID(engineWith(2), need(long))).To(Equal("e1"))
		Expect(pickID(engineWith(3), need(long))).To(BeEmpty())
	})

	ginkgo.It("rejects further items once the long ones have grown", func() {
		r := engineWith(3)
		for i := range 3 {
			r.SetGeneratedTokens("e1", fmt.Sprint("long", i), 12400)
		}
		Expect(pickID(r, need(typical))).To(BeEmpty())
		r.End("e1", "long0")
		Expect(pickID(r, need(typical))).To(Equal("e1"))
	})

	ginkgo.It("expects further growth of a request that exceeds its expected length", func() {
		m := requestMemory{Memory: Memory{Held: 100, Growth: 400}, generated: 800}
		Expect(m.remaining()).To(Equal(Memory{Held: 900, Growth: 200}))
	})
})

var _ = ginkgo.DescribeTable("Peak memory of requests", func(expected int, requests ...Memory) {
	Expect(peakMemory(requests)).To(Equal(expected))
},
	ginkgo.Entry("no requests", 0),
	ginkgo.Entry("one request at its end", 110, Memory{10, 100}),
	ginkgo.Entry("two requests that end together", 220, Memory{10, 100}, Memory{10, 100}),
	ginkgo.Entry("a short request ends before the long one reaches its peak", 110, Memory{10, 100}, Memory{10, 10}),
	ginkgo.Entry("a large prompt counts from the start, not only at the end", 540, Memory{10, 100}, Memory{500, 15}),
)
