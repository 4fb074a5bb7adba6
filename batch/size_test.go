package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
)

// markup returns a text of about a size, of which most bytes take six when it is encoded.
func markup(bytes int) string { return strings.Repeat("<b>8</b>\n", bytes/9) }

// The sizes of texts were taken for those of their encodings. A store refused such values each time.
var _ = Describe("What is stored", func() {
	// None of the results of a tenant whose texts are in a markup language was listed once the store
	// had been away: they were collected for one chunk, which was too large.
	It("has all results in chunks that fit, once the store is back", func(ctx SpecContext) {
		const items = 72
		store := memstore.New()
		a := newIdleService(store, "a")
		_, err := a.SubmitHere(ctx, SubmitArgs{Submission: submission("l", items), Team: "t", Route: "r"}, time.Now())
		Expect(err).NotTo(HaveOccurred())
		a.runner.mu.Lock()
		for n := range items {
			a.runner.jobs["l"].recordResult(Result{ID: fmt.Sprint("l-", n), State: Complete, Text: markup(10 << 10)})
		}
		a.runner.mu.Unlock()
		Eventually(func() int { return a.stored("l") }).WithTimeout(10 * time.Second).Should(Equal(items))
	}, SpecTimeout(30*time.Second))

	It("has chunks and pages that fit, for any texts", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			l := NewResultLog(40)
			for n := range rapid.IntRange(1, 40).Draw(t, "results") {
				text := strings.Repeat(rapid.StringN(1, 6, 20).Draw(t, "text"), rapid.IntRange(0, 10_000).Draw(t, "times"))
				l.Add(Result{ID: fmt.Sprint(n), State: Complete, Text: text, Versions: []int64{1, 2}})
			}
			for l.PendingCount() > 0 {
				results := l.NextChunk()
				if size := encodedSize(chunk{By: "a", Results: results}); len(results) > 1 && size > maxChunkBytes+64 || size > objects.MaxValueBytes {
					t.Fatalf("a chunk of %d results has %d bytes", len(results), size)
				}
				l.Apply(results)
			}
			for after := 0; after < l.StoredCount(); {
				page := l.Page(after)
				if size := encodedSize(page.Results); len(page.Results) > 1 && size > maxPageBytes+64 {
					t.Fatalf("a page of %d results has %d bytes", len(page.Results), size)
				}
				after = page.Next
			}
		})
	})

	// Batches of many items with long headers were refused each time, and so was an item of 470 KB.
	DescribeTable("has submissions in parts that fit, whatever their items consist of", func(ctx SpecContext, s *Submission, change func(*Item)) {
		change(&s.Items[1])
		for n := range s.Items {
			s.Items[n].Header, s.Items[n].Group = s.Items[1].Header, s.Items[1].Group
		}
		st := NewStore(memstore.New(), "a")
		h, _, err := st.Create(ctx, s, Head{})
		Expect(err).NotTo(HaveOccurred())
		read, _, _, err := st.Load(ctx, h)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(s))
	},
		Entry("headers", submission("l", 300), func(i *Item) { i.Header = map[string][]string{"X-Tag": {strings.Repeat("<", 2<<10)}} }),
		Entry("groups", submission("l", 300), func(i *Item) { i.Group = strings.Repeat("&", 1<<10) }),
		Entry("a body that needs most of a value", submission("l", 3), func(i *Item) { i.Body = make([]byte, 700<<10) }),
	)

	// Such a batch was answered 503 with a delay after which to repeat it.
	It("has no batch that the store rejects", func(ctx SpecContext) {
		rejecting := rejectingStore{memstore.New(), 200}
		s := submission("l", 1)
		s.Items[0].Body = make([]byte, 300)
		_, _, err := NewStore(rejecting, "a").Create(ctx, s, Head{})
		Expect(err).To(MatchError(ErrTooLarge))
	})

	It("knows the size of an item without encoding its body", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			item := Item{
				ID: rapid.String().Draw(t, "id"), Path: rapid.String().Draw(t, "path"), Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
				Header: rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).Draw(t, "header"), Output: rapid.Int().Draw(t, "output"),
			}
			encoded, err := json.Marshal(&item)
			if err != nil || item.encodedSize() != len(encoded) {
				t.Fatalf("size %d, encoded %d bytes, error %v", item.encodedSize(), len(encoded), err)
			}
		})
	})

	// Checkpoints with such texts were refused each time; the next owner began all items anew.
	It("has as many texts of unfinished items as fit, and how often items have failed", func(ctx SpecContext) {
		partials := map[string]Partial{}
		for n := range 80 {
			partials[fmt.Sprint("l-", n)] = Partial{Last: 50, Events: 51, Text: markup(10<<10 + n), Versions: []int64{1}}
		}
		partials["failed"] = Partial{Last: 9, Events: 10, Text: markup(300 << 10), Versions: []int64{1}, Failures: 2}
		st := NewStore(memstore.New(), "a")
		_, err := st.SaveProgress(ctx, "l", 0, partials)
		Expect(err).NotTo(HaveOccurred())
		saved, err := st.loadProgress(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(saved).To(HaveKeyWithValue("failed", Partial{Last: noEvent, Failures: 2}))
		Expect(len(saved)).To(BeNumerically(">", 10))
	})
})

// stored returns the number of stored results of a batch.
func (s *Service) stored(id string) int {
	results := NewResultLog(0)
	if err := s.store.CatchUp(context.Background(), id, results); err != nil {
		return 0
	}
	return results.StoredCount()
}
