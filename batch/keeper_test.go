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

var _ = Describe("Keeper", func() {
	It("accepts a batch once, whoever hands it in again", func(ctx SpecContext) {
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

	It("settles an acceptance whose answer was lost", func(ctx SpecContext) {
		store := memstore.New()
		lost := false
		store.Fault = func(kind, _ string, write bool) memstore.Fault {
			if kind == KindHead && write && !lost {
				lost = true
				return memstore.Lost
			}
			return memstore.None
		}
		_, created, err := NewStore(store, "a").Create(ctx, submission("l", 1), Head{Owner: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(BeTrue())
	})

	It("says that it does not know when a head's fate stays open", func(ctx SpecContext) {
		store := memstore.New()
		store.Fault = func(kind, _ string, _ bool) memstore.Fault {
			if kind == KindHead {
				return memstore.Lost
			}
			return memstore.None
		}
		k := NewStore(store, "a")
		k.settle = 20 * time.Millisecond
		_, _, err := k.Create(ctx, submission("l", 1), Head{Owner: "a"})
		Expect(err).To(MatchError(ErrOutcomeUnknown))
	})

	It("splits what is larger than a stored value and reads it back", func(ctx SpecContext) {
		store := memstore.New()
		s := submission("l", 5)
		for n := range s.Items {
			s.Items[n].Body = make([]byte, 300<<10)
			s.Items[n].Body[0] = byte(n)
		}
		k := NewStore(store, "a")
		h, _, err := k.Create(ctx, s, Head{})
		Expect(err).NotTo(HaveOccurred())
		Expect(h.Parts).To(BeNumerically(">", 1))
		read, ledger, _, err := k.Load(ctx, h)
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Items).To(Equal(s.Items))
		Expect(ledger.total).To(Equal(5))
		body, err := k.Body(ctx, h, "l-4")
		Expect(err).NotTo(HaveOccurred())
		Expect(body[0]).To(Equal(byte(4)))
	})

	It("refuses an item that no stored value holds", func(ctx SpecContext) {
		s := submission("l", 1)
		s.Items[0].Body = make([]byte, 1<<20)
		_, _, err := NewStore(memstore.New(), "a").Create(ctx, s, Head{})
		Expect(err).To(MatchError(ErrTooLarge))
	})

	It("keeps texts of unfinished items for the next owner", func(ctx SpecContext) {
		k := NewStore(memstore.New(), "a")
		h, _, err := k.Create(ctx, submission("l", 2), Head{})
		Expect(err).NotTo(HaveOccurred())
		kept := map[string]Partial{"l-1": {Last: 4, Events: 5, Text: "so far", Versions: []int64{2, 3}}}
		version, err := k.SaveProgress(ctx, "l", 0, map[string]Partial{})
		Expect(err).NotTo(HaveOccurred())
		_, err = k.SaveProgress(ctx, "l", version, kept)
		Expect(err).NotTo(HaveOccurred())
		_, err = k.SaveProgress(ctx, "l", version, kept)
		Expect(err).To(MatchError(objects.ErrConflict))
		_, _, partials, err := k.Load(ctx, h)
		Expect(err).NotTo(HaveOccurred())
		Expect(partials).To(Equal(kept))
	})

	It("erases all of a batch", func(ctx SpecContext) {
		store := memstore.New()
		k := NewStore(store, "a")
		h, _, err := k.Create(ctx, submission("l", 2), Head{})
		Expect(err).NotTo(HaveOccurred())
		_, err = k.Append(ctx, "l", 0, named("l-0"))
		Expect(err).NotTo(HaveOccurred())
		Expect(k.Erase(ctx, h, 1)).To(Succeed())
		for _, kind := range []string{KindHead, KindPart, KindChunk, KindProgress} {
			Expect(store.Names(kind)).To(BeEmpty())
		}
	})
})

// writer is an instance that believes that it runs the batch.
type writer struct {
	keeper *Store
	ledger *Ledger
}

func (w *writer) write(ctx context.Context) {
	results, n := w.ledger.Next(), w.ledger.Chunks()
	if len(results) == 0 {
		return
	}
	written, err := w.keeper.Append(ctx, "l", n, results)
	if err != nil {
		return
	}
	if written {
		w.ledger.Apply(results)
		return
	}
	_, _ = w.keeper.Follow(ctx, "l", w.ledger) // tried again at the next write
}

var _ = Describe("The log of results", func() {
	It("shows every item at one position with one content, whoever writes and whatever is lost", func() {
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
			writers := make([]*writer, 3)
			for n := range writers {
				writers[n] = &writer{keeper: NewStore(store, fmt.Sprint("w", n)), ledger: NewLedger(items)}
				writers[n].keeper.settle = time.Millisecond // a writer that gives up at once is the harder case
			}
			canonical := map[int]Result{}
			for range rapid.IntRange(10, 60).Draw(t, "steps") {
				n := rapid.IntRange(0, len(writers)-1).Draw(t, "writer")
				w := writers[n]
				switch rapid.IntRange(0, 3).Draw(t, "action") {
				case 0:
					id := rapid.IntRange(0, items-1).Draw(t, "item")
					w.ledger.Add(Result{ID: fmt.Sprint(id), State: Complete, Text: fmt.Sprintf("item %d by %d", id, n)})
				case 1:
					w.write(ctx)
				case 2: // replaced by a process that reads the log anew
					w.ledger = NewLedger(items)
					for {
						if more, err := w.keeper.Follow(ctx, "l", w.ledger); err != nil || !more {
							break
						}
					}
				}
				seen := map[string]bool{}
				for at, r := range w.ledger.Page(0).Results {
					if seen[r.ID] {
						t.Fatalf("item %s stands twice", r.ID)
					}
					seen[r.ID] = true
					if known, ok := canonical[at]; ok && known.Text != r.Text {
						t.Fatalf("position %d was %q and is %q", at, known.Text, r.Text)
					}
					canonical[at] = r
				}
			}
		})
	})
})
