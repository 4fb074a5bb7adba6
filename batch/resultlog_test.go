package batch

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func completeResults(ids ...string) []Result {
	var list []Result
	for _, id := range ids {
		list = append(list, Result{ID: id, State: Complete, Text: "text of " + id})
	}
	return list
}

var _ = Describe("ResultLog", func() {
	It("returns a result only after its chunk is stored", func() {
		l := NewResultLog(2)
		l.Add(completeResults("a")[0])
		Expect(l.Page(0).Results).To(BeEmpty())
		l.Apply(l.NextChunk())
		Expect(l.Page(0)).To(Equal(Page{Total: 2, Next: 1, Results: completeResults("a")}))
		Expect(l.PendingCount()).To(BeZero())
	})

	It("drops a pending result that another writer stored first", func() {
		l := NewResultLog(3)
		l.Add(Result{ID: "a", State: Complete, Text: "mine"})
		l.Add(completeResults("b")[0])
		l.Apply(completeResults("a"))
		Expect(l.NextChunk()).To(Equal(completeResults("b")))
		Expect(l.Page(0).Results[0].Text).To(Equal("text of a"))
	})

	It("keeps the first result of an item", func() {
		l := NewResultLog(1)
		l.Add(completeResults("a")[0])
		l.Add(Result{ID: "a", State: Dead})
		Expect(l.NextChunk()).To(Equal(completeResults("a")))
		l.Apply(l.NextChunk())
		l.Add(Result{ID: "a", State: Dead})
		Expect(l.NextChunk()).To(BeEmpty())
	})

	It("limits the size of chunks and pages, but never returns an empty page if there is a result", func() {
		l := NewResultLog(4)
		for _, id := range []string{"a", "b", "c"} {
			l.Add(Result{ID: id, State: Complete, Text: strings.Repeat("x", maxChunkBytes-100)})
		}
		for l.PendingCount() > 0 {
			Expect(l.NextChunk()).To(HaveLen(1))
			l.Apply(l.NextChunk())
		}
		Expect(l.Page(0).Results).To(HaveLen(1))
		Expect(l.Page(2)).To(HaveField("Next", 3))
		Expect(l.Page(3)).To(Equal(Page{Total: 4, Next: 3}))
		Expect(l.Page(99).Results).To(BeEmpty())
	})
})
