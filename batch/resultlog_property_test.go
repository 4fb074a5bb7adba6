package batch

import (
	"context"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

// simulatedOwners are the owners of one batch, one after the other or at once: an owner
// that was paused goes on to write after it was replaced.
type simulatedOwners struct {
	t       *rapid.T
	store   *memstore.Store
	owners  []*simulatedWriter
	kept    []map[string]bool // by owner: items whose results it holds in memory or has stored
	started int
	listed  []Result // as a reader has seen them, by position
}

const simulatedItems = 8

// start replaces owner n by a process that has read the log.
func (s *simulatedOwners) start(n int) {
	s.started++
	w := &simulatedWriter{store: NewStore(s.store, fmt.Sprint("process-", s.started)), results: NewResultLog(simulatedItems)}
	w.store.writeTimeout = time.Millisecond
	_ = w.store.CatchUp(context.Background(), "l", w.results) // a part of the log is caught up by later writes
	s.owners[n], s.kept[n] = w, map[string]bool{}
}

// complete adds the result of an item at owner n.
func (s *simulatedOwners) complete(n, item int) {
	id := fmt.Sprint(item)
	s.owners[n].results.Add(Result{ID: id, State: Complete, Text: fmt.Sprintf("item %d of process %d", item, s.started)})
	s.kept[n][id] = true
}

// read checks the page of owner n against what readers have seen before.
func (s *simulatedOwners) read(n int) {
	for at, r := range s.owners[n].results.Page(0).Results {
		if at == len(s.listed) {
			s.listed = append(s.listed, r)
		}
		if s.listed[at].ID != r.ID || s.listed[at].Text != r.Text {
			s.t.Fatalf("position %d was %q of item %s and is %q of item %s", at, s.listed[at].Text, s.listed[at].ID, r.Text, r.ID)
		}
	}
}

// finish lets all owners store what they hold and checks the log as a new reader sees it.
func (s *simulatedOwners) finish() {
	ctx := context.Background()
	s.store.Fault = nil
	for _, w := range s.owners {
		for range 100 {
			w.write(ctx)
		}
		if w.results.PendingCount() > 0 {
			s.t.Fatalf("an owner could not store %d results", w.results.PendingCount())
		}
	}
	kept := slices.Clone(s.kept)
	s.start(0)
	final := s.owners[0].results
	if final.StoredCount() < len(s.listed) {
		s.t.Fatalf("%d results were listed and %d are stored", len(s.listed), final.StoredCount())
	}
	s.read(0)
	for _, ids := range kept {
		for id := range ids {
			if !final.IsStored(id) {
				s.t.Fatalf("the result of item %s is lost", id)
			}
		}
	}
}

var _ = Describe("The results of a batch whose owners die, pause and are replaced", func() {
	// A result that was listed once must stay at its position, and a result that a living
	// owner holds must be stored in the end, whatever writes were lost or late.
	It("keep their positions and contents, and none that was accepted is lost", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			faults := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 60).Draw(t, "faults")
			calls := 0
			s := &simulatedOwners{t: t, store: memstore.New(), owners: make([]*simulatedWriter, 3), kept: make([]map[string]bool, 3)}
			for n := range s.owners {
				s.start(n)
			}
			s.store.Fault = func(kind, _ string, write bool) memstore.Fault {
				calls++
				f := memstore.Fault(faults[calls%len(faults)])
				if kind != KindChunk || f > memstore.Delayed || !write && f != memstore.Down {
					return memstore.None
				}
				return f
			}
			for range rapid.IntRange(10, 80).Draw(t, "steps") {
				n := rapid.IntRange(0, len(s.owners)-1).Draw(t, "owner")
				switch rapid.IntRange(0, 5).Draw(t, "action") {
				case 0, 1:
					s.complete(n, rapid.IntRange(0, simulatedItems-1).Draw(t, "item"))
				case 2, 3:
					s.owners[n].write(context.Background())
				case 4:
					s.read(n)
				case 5:
					s.start(n)
				}
			}
			s.finish()
		})
	})
})
