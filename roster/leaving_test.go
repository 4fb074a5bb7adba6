package roster

import (
	"fmt"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("An upstream that leaves", func() {
	need := Need{Service: "lm", Model: "m", MinVersion: 3, Domain: "a"}
	changed := func(change func(*Entry)) Entry {
		e := engine("e1", 3)
		change(&e)
		return e
	}

	// An upstream that had reported that it leaves got requests again because an outdated
	// registration of it was read.
	ginkgo.DescribeTable("is chosen again only as another incarnation", func(later Entry, expected string) {
		for _, removed := range []bool{false, true} {
			r := newRoster(engine("e1", 3))
			Expect(r.MarkLeaving(engine("e1", 3).Target())).To(BeTrue())
			Expect(pickID(r, need)).To(BeEmpty())
			if removed {
				r.Remove("e1")
			}
			Expect(r.Put(later).Ready).To(Equal(expected != ""))
			Expect(pickID(r, need)).To(Equal(expected))
			r.Put(engine("e1", 3))
			Expect(pickID(r, need)).To(BeEmpty(), "after a registration of the incarnation that leaves")
		}
	},
		ginkgo.Entry("the same registration", engine("e1", 3), ""),
		ginkgo.Entry("a registration with other contents", changed(func(e *Entry) { e.Slots = 9 }), ""),
		ginkgo.Entry("the same start at another address", changed(func(e *Entry) { e.Address = "10.0.0.2:80" }), ""),
		ginkgo.Entry("no start time at the same address", changed(func(e *Entry) { e.Started = 0 }), ""),
		ginkgo.Entry("another start", changed(func(e *Entry) { e.Started = 2 }), "e1"),
		ginkgo.Entry("another start at another address", changed(func(e *Entry) { e.Started, e.Address = 2, "10.0.0.2:80" }), "e1"),
	)

	// The registration of an upstream may be read only after its first response.
	ginkgo.It("is not chosen when it is registered after it has reported that it leaves", func() {
		r := New()
		r.MarkLeaving(engine("e1", 3).Target())
		r.Put(engine("e1", 3))
		Expect(pickID(r, need)).To(BeEmpty())
		Expect(r.Slots("lm")).To(BeZero())
	})

	// A response of the previous incarnation arrives after the registration of the next.
	ginkgo.It("does not exclude the next incarnation, which is already registered", func() {
		next := engine("e1", 3)
		next.Started = 2
		r := newRoster(next)
		Expect(r.MarkLeaving(engine("e1", 3).Target())).To(BeTrue())
		Expect(pickID(r, need)).To(Equal("e1"))
	})

	// Each response of an engine that leaves was logged, hundreds of lines a second.
	ginkgo.It("is reported as news only once", func() {
		r := newRoster(engine("e1", 3))
		Expect(r.MarkLeaving(engine("e1", 3).Target())).To(BeTrue())
		Expect(r.MarkLeaving(engine("e1", 3).Target())).To(BeFalse())
	})

	// A roster that remembers every engine of a long run grows without limit.
	ginkgo.It("is remembered among a limited number of others, of which the oldest is forgotten", func() {
		r := newRoster(engine("e1", 3))
		for n := range maxLeaving + 2 {
			r.MarkLeaving(engine(fmt.Sprint("e", n), 3).Target())
		}
		Expect(r.leaving).To(HaveLen(maxLeaving))
		r.Put(engine(fmt.Sprint("e", maxLeaving), 3))
		r.Put(engine("e1", 3))
		Expect(pickID(r, need)).To(BeEmpty(), "the last one, and a forgotten one that has been registered all the while")
		r.Put(engine("e0", 3))
		Expect(pickID(r, need)).To(Equal("e0"))
	})
})
