package batch

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
)

func submission(id string, items int) *Submission {
	s := &Submission{ID: id, Model: "m", Desired: 1}
	for n := range items {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("%s-%d", id, n), Path: "/x/1", Body: []byte{byte(n)}, Group: fmt.Sprint("g", n/2), Model: "m", Output: 100})
	}
	return s
}

var _ = Describe("Store", func() {
	It("creates a batch once, even if another instance submits it again", func(ctx SpecContext) {
		store := memstore.New()
		a, b := NewStore(store, "a"), NewStore(store, "b")
		_, created, err := a.Create(ctx, submission("l", 3), Head{Owner: "a", Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(BeTrue())
		h, created, err := b.Create(ctx, submission("l", 3), Head{Owner: "b", Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(BeFalse())
		Expect(h.Owner).To(Equal("a"))
		Expect(h.Items).To(Equal(3))
	})

	It("determines the outcome of a write whose response was lost", func(ctx SpecContext) {
		store := memstore.New()
		responseLost := false
		store.Fault = func(kind, _ string, write bool) memstore.Fault {
			if kind == KindHead && write && !responseLost {
				responseLost = true
				return memstore.Lost
			}
			return memstore.None
		}
		_, created, err := NewStore(store, "a").Create(ctx, submission("l", 1), Head{Owner: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(BeTrue())
	})

	It("returns ErrOutcomeUnknown if the outcome of writing a head stays unknown", func(ctx SpecContext) {
		store := memstore.New()
		store.Fault = func(kind, _ string, _ bool) memstore.Fault {
			if kind == KindHead {
				return memstore.Lost
			}
			return memstore.None
		}
		st := NewStore(store, "a")
		st.writeTimeout = 20 * time.Millisecond
		_, _, err := st.Create(ctx, submission("l", 1), Head{Owner: "a"})
		Expect(err).To(MatchError(ErrOutcomeUnknown))
	})

	// The caller got 503, though the batch ran.
	It("returns ErrOutcomeUnknown if the head of a batch that was accepted before can't be read", func(ctx SpecContext) {
		store := memstore.New()
		_, _, err := NewStore(store, "a").Create(ctx, submission("l", 1), Head{Owner: "a"})
		Expect(err).NotTo(HaveOccurred())
		store.Fault = func(kind, _ string, write bool) memstore.Fault {
			if kind == KindHead && !write {
				return memstore.Down
			}
			return memstore.None
		}
		_, _, err = NewStore(store, "b").Create(ctx, submission("l", 1), Head{Owner: "b"})
		Expect(err).To(MatchError(ErrOutcomeUnknown))
	})

	// The caller got 503, though the batch had ended.
	It("returns ErrOutcomeUnknown for a change of a head whose response was lost", func(ctx SpecContext) {
		store := memstore.New()
		st := NewStore(store, "a")
		_, _, err := st.Create(ctx, submission("l", 1), Head{Owner: "a"})
		Expect(err).NotTo(HaveOccurred())
		store.Fault = func(_, _ string, write bool) memstore.Fault {
			if write {
				return memstore.Lost
			}
			return memstore.None
		}
		_, err = st.UpdateHead(ctx, "l", func(h *Head) bool { h.Ended = true; return true })
		Expect(err).To(MatchError(ErrOutcomeUnknown))
	})

	It("splits a submission that is larger than a stored value and reads it back", func(ctx SpecContext) {
		store := memstore.New()
		s := submission("l", 5)
		for n := range s.Items {
			s.Items[n].Body = make([]byte, 300<<10)
			s.Items[n].Body[0] = byte(n)
		}
		st := NewStore(store, "a")
		h, _, err := st.Create(ctx, s, Head{})
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Parts).To(BeNumerically(">", 1))
		read, results, _, err := st.Load(ctx, h)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Items).To(Equal(s.Items))
		Expect(results.total).To(Equal(5))
		body, err := st.Body(ctx, h, "l-4")
		Expect(err).NotTo(HaveOccurred())
		Expect(body[0]).To(Equal(byte(4)))
	})

	It("rejects an item that exceeds the size of a stored value", func(ctx SpecContext) {
		s := submission("l", 1)
		s.Items[0].Body = make([]byte, 1<<20)
		_, _, err := NewStore(memstore.New(), "a").Create(ctx, s, Head{})
		Expect(err).To(MatchError(ErrTooLarge))
	})

	It("stores texts of unfinished items for the next owner", func(ctx SpecContext) {
		st := NewStore(memstore.New(), "a")
		h, _, err := st.Create(ctx, submission("l", 2), Head{})
		Expect(err).NotTo(HaveOccurred())
		saved := map[string]Partial{"l-1": {Last: 4, Events: 5, Text: "so far", Versions: []int64{2, 3}}}
		version, err := st.SaveProgress(ctx, "l", 0, map[string]Partial{})
		Expect(err).NotTo(HaveOccurred())
		_, err = st.SaveProgress(ctx, "l", version, saved)
		Expect(err).NotTo(HaveOccurred())
		_, err = st.SaveProgress(ctx, "l", version, saved)
		Expect(err).To(MatchError(objects.ErrConflict))
		_, _, partials, err := st.Load(ctx, h)
		Expect(err).NotTo(HaveOccurred())
		Expect(partials).To(Equal(saved))
	})

	It("deletes all objects of a batch", func(ctx SpecContext) {
		store := memstore.New()
		st := NewStore(store, "a")
		h, _, err := st.Create(ctx, submission("l", 2), Head{})
		Expect(err).NotTo(HaveOccurred())
		_, err = st.Append(ctx, "l", 0, completeResults("l-0"))
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Delete(ctx, h, 1)).To(Succeed())
		for _, kind := range []string{KindHead, KindPart, KindChunk, KindProgress} {
			Expect(store.Names(kind)).To(BeEmpty())
		}
	})
})

// simulatedWriter simulates an instance that considers itself the owner of the batch.
type simulatedWriter struct {
	store   *Store
	results *ResultLog
}

func (w *simulatedWriter) write(ctx context.Context) {
	results, n := w.results.NextChunk(), w.results.Chunks()
	if len(results) == 0 {
		return
	}
	written, err := w.store.Append(ctx, "l", n, results)
	if err != nil {
		return
	}
	if written {
		w.results.Apply(results)
		return
	}
	_, _ = w.store.ApplyNext(ctx, "l", w.results) // an error is retried with the next write
}

var _ = Describe("The result log", func() {
	It("has every item at one position with one content, with concurrent writers and lost responses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ctx := context.Background()
			store := memstore.New()
			faults := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(t, "faults")
			calls := 0
			store.Fault = func(kind, _ string, write bool) memstore.Fault {
				calls++
				if f := faults[calls%len(faults)]; kind == KindChunk && write && f <= int(memstore.Delayed) {
					return memstore.Fault(f)
				}
				return memstore.None
			}
			const items = 6
			writers := make([]*simulatedWriter, 3)
			for n := range writers {
				writers[n] = &simulatedWriter{store: NewStore(store, fmt.Sprint("w", n)), results: NewResultLog(items)}
				writers[n].store.writeTimeout = time.Millisecond // a short timeout leaves more outcomes unknown
			}
			seenAt := map[int]Result{}
			for range rapid.IntRange(10, 60).Draw(t, "steps") {
				n := rapid.IntRange(0, len(writers)-1).Draw(t, "writer")
				w := writers[n]
				switch rapid.IntRange(0, 3).Draw(t, "action") {
				case 0:
					id := rapid.IntRange(0, items-1).Draw(t, "item")
					w.results.Add(Result{ID: fmt.Sprint(id), State: Complete, Text: fmt.Sprintf("item %d by %d", id, n)})
				case 1:
					w.write(ctx)
				case 2: // the writer restarts and reads the log from the store
					w.results = NewResultLog(items)
					for {
						if more, err := w.store.ApplyNext(ctx, "l", w.results); err != nil || !more {
							break
						}
					}
				}
				seen := map[string]bool{}
				for at, r := range w.results.Page(0).Results {
					if seen[r.ID] {
						t.Fatalf("item %s appears twice", r.ID)
					}
					seen[r.ID] = true
					if known, ok := seenAt[at]; ok && known.Text != r.Text {
						t.Fatalf("position %d was %q and is %q", at, known.Text, r.Text)
					}
					seenAt[at] = r
				}
			}
		})
	})
})

var _ = Describe("A checkpoint", func() {
	// After one write whose response was lost, every later checkpoint of the batch failed
	// with a conflict, so its next owner resumed from old texts.
	It("is stored after an earlier one took effect although its response was lost", func(ctx SpecContext) {
		store := memstore.New()
		r := newIdleService(store, "a").runner
		Expect(r.Add(Stored{ID: "l", Head: Head{Owner: "a"}}, submission("l", 1), NewResultLog(1), nil, Limits{Due: time.Minute, MaxAge: time.Minute})).To(BeTrue())
		text := func(events int) checkpoint {
			return checkpoint{r.jobs["l"], map[string]Partial{"l-0": {Last: int64(events - 1), Events: events, Text: "x", Versions: []int64{1}}}}
		}
		r.saveCheckpoint(ctx, text(1))
		_, err := r.Store.SaveProgress(ctx, "l", 0, text(2).texts) // the write whose response was lost
		Expect(err).NotTo(HaveOccurred())
		r.saveCheckpoint(ctx, text(3)) // a conflict
		r.saveCheckpoint(ctx, text(4))
		stored, err := r.Store.loadProgress(ctx, "l")
		Expect(err).NotTo(HaveOccurred())
		Expect(stored["l-0"].Events).To(Equal(4))
	})
})
