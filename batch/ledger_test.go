package batch

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func named(ids ...string) []Result {
	var list []Result
	for _, id := range ids {
		list = append(list, Result{ID: id, State: Complete, Text: "text of " + id})
	}
	return list
}

var _ = Describe("Ledger", func() {
	It("shows a result only once its chunk is stored", func() {
		l := NewLedger(2)
		l.Add(named("a")[0])
		Expect(l.Page(0).Results).To(BeEmpty())
		l.Apply(l.Next())
		Expect(l.Page(0)).To(Equal(Page{Total: 2, Next: 1, Results: named("a")}))
		Expect(l.Pending()).To(BeZero())
	})

	It("drops a pending result that another writer stored first", func() {
		l := NewLedger(3)
		l.Add(Result{ID: "a", State: Complete, Text: "mine"})
		l.Add(named("b")[0])
		l.Apply(named("a"))
		Expect(l.Next()).To(Equal(named("b")))
		Expect(l.Page(0).Results[0].Text).To(Equal("text of a"))
	})

	It("keeps the first outcome of an item", func() {
		l := NewLedger(1)
		l.Add(named("a")[0])
		l.Add(Result{ID: "a", State: Dead})
		Expect(l.Next()).To(Equal(named("a")))
		l.Apply(l.Next())
		l.Add(Result{ID: "a", State: Dead})
		Expect(l.Next()).To(BeEmpty())
	})

	It("bounds chunks and pages, and never gives an empty page while there is a result", func() {
		l := NewLedger(4)
		for _, id := range []string{"a", "b", "c"} {
			l.Add(Result{ID: id, State: Complete, Text: strings.Repeat("x", maxChunkBytes-100)})
		}
		for l.Pending() > 0 {
			Expect(l.Next()).To(HaveLen(1))
			l.Apply(l.Next())
		}
		Expect(l.Page(0).Results).To(HaveLen(1))
		Expect(l.Page(2)).To(HaveField("Next", 3))
		Expect(l.Page(3)).To(Equal(Page{Total: 4, Next: 3}))
		Expect(l.Page(99).Results).To(BeEmpty())
	})
})
