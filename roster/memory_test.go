package roster

import (
	"fmt"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Memory of an engine", func() {
	// A step of an engine with room for 39,567 tokens: three items of the greatest
	// length and many of usual length.
	const limit = 39567
	long, usual := Memory{Held: 276, Growth: 12675}, Memory{Held: 276, Growth: 640}
	engineWith := func(n int) *Roster {
		e := engine("e1", 3)
		e.Slots = 12
		r := rosterOf(e)
		for i := range n {
			r.Begin("e1", fmt.Sprint("long", i), long)
		}
		return r
	}
	need := func(m Memory) Need {
		return Need{Service: "lm", Model: "m", MinVersion: 3, Domain: "a", Memory: m, KVTokens: limit}
	}

	ginkgo.It("takes items of usual length beside long ones that have just begun", func() {
		r := engineWith(3)
		for i := range 9 {
			Expect(picked(r, need(usual))).To(Equal("e1"))
			r.Begin("e1", fmt.Sprint("usual", i), usual)
		}
		Expect(picked(r, need(usual))).To(BeEmpty(), "its slots are taken")
	})

	ginkgo.It("takes no further long item, which would not fit in the end", func() {
		Expect(picked(engineWith(2), need(long))).To(Equal("e1"))
		Expect(picked(engineWith(3), need(long))).To(BeEmpty())
	})

	ginkgo.It("takes nothing more once the long ones have grown", func() {
		r := engineWith(3)
		for i := range 3 {
			r.SetGeneratedTokens("e1", fmt.Sprint("long", i), 12400)
		}
		Expect(picked(r, need(usual))).To(BeEmpty())
		r.End("e1", "long0")
		Expect(picked(r, need(usual))).To(Equal("e1"))
	})

	ginkgo.It("expects one that is longer than it was said to be to go on", func() {
		h := hold{Memory: Memory{Held: 100, Growth: 400}, grown: 800}
		Expect(h.now()).To(Equal(Memory{Held: 900, Growth: 200}))
	})
})

var _ = ginkgo.DescribeTable("The most memory that requests take together", func(expected int, requests ...Memory) {
	Expect(peak(requests)).To(Equal(expected))
},
	ginkgo.Entry("none", 0),
	ginkgo.Entry("one at its end", 110, Memory{10, 100}),
	ginkgo.Entry("two that end together", 220, Memory{10, 100}, Memory{10, 100}),
	ginkgo.Entry("a short one is over before the long one is at its end", 110, Memory{10, 100}, Memory{10, 10}),
	ginkgo.Entry("a large prompt counts at once, not at the end", 540, Memory{10, 100}, Memory{500, 15}),
)
