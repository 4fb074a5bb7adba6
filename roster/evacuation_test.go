package roster

import (
	"time"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("An evacuated failure domain", func() {
	// An upstream of an evacuated failure domain was chosen, since it was ready and idle.
	ginkgo.It("has no upstream that is chosen or is faster than another", func() {
		now := startTime
		other := engine("e2", 3)
		other.Domain = "b"
		r := newRoster(engine("e1", 3), other)
		need := Need{Service: "lm", Model: "m", Domain: "a"}
		Expect(r.SetEvacuated("a", true)).To(BeTrue())
		Expect(r.SetEvacuated("a", true)).To(BeFalse())
		for range 20 {
			Expect(pickID(r, need)).To(Equal("e2"))
		}
		r.ObserveEventInterval("e2", time.Second, now)
		Expect(r.HasFaster(need, "e2", 1.2, now)).To(BeFalse())
		r.Put(engine("e1", 3))
		Expect(pickID(r, need)).To(Equal("e2"), "after a renewed registration")
		Expect(r.SetEvacuated("a", false)).To(BeTrue())
		Expect(r.HasFaster(need, "e2", 1.2, now)).To(BeTrue())
	})
})

var _ = ginkgo.Describe("An upstream to which a request is about to be written", func() {
	ginkgo.It("accepts it only as the registered incarnation, while it is ready and not evacuated", func() {
		e := engine("e1", 3)
		e.Domain = "a"
		r := newRoster(e)
		Expect(r.Accepts(e.Target())).To(BeTrue())
		other := e.Target()
		other.Started++
		Expect(r.Accepts(other)).To(BeFalse())
		r.SetEvacuated("a", true)
		Expect(r.Accepts(e.Target())).To(BeFalse())
		r.SetEvacuated("a", false)
		r.MarkLeaving(e.Target())
		Expect(r.Accepts(e.Target())).To(BeFalse())
		r.Remove("e1")
		Expect(r.Accepts(e.Target())).To(BeFalse())
	})
})
