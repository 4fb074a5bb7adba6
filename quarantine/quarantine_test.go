package quarantine

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// engine returns the first incarnation of engine n.
func engine(n int) Engine { return Engine{ID: fmt.Sprint("e", n), Started: 1} }

const deadly, innocent = Digest("deadly"), Digest("innocent")

var _ = Describe("The quarantine list", func() {
	var (
		list  *List
		clock *clockwork.FakeClock
	)
	BeforeEach(func() {
		list, clock = NewList(time.Minute, 8), clockwork.NewFakeClock()
	})
	blame := func(d Digest, engines ...int) {
		for _, n := range engines {
			list.Blame(d, engine(n), Record{Path: "/p", Alone: true}, clock.Now())
		}
	}
	standing := func(d Digest) Standing { return list.Standing(d, clock.Now()) }

	It("quarantines a request that crashed three engines", func() {
		// Guards against one request that ends engine after engine.
		Expect(standing(deadly)).To(Equal(Unsuspected))
		blame(deadly, 1, 2)
		Expect(standing(deadly)).To(Equal(Suspected))
		blame(deadly, 3)
		Expect(standing(deadly)).To(Equal(Quarantined))
	})

	It("does not quarantine a request that was at several engines which ended at one moment", func() {
		// Guards against the loss of a failure domain that quarantines what its engines ran.
		for n := range 4 {
			list.Blame(innocent, engine(n), Record{}, clock.Now())
		}
		Expect(standing(innocent)).To(Equal(Suspected))
		blame(innocent, 9)
		Expect(standing(innocent)).To(Equal(Quarantined), "crashes an engine to which it was sent alone")
	})

	It("knows from the store that a request has crashed an engine alone", func() {
		// Guards against instances that each wait for such a crash of their own.
		list.Apply(deadly, &Record{Engines: []Engine{engine(1), engine(2), engine(3)}, Alone: true, LastMs: clock.Now().UnixMilli()}, clock.Now())
		Expect(standing(deadly)).To(Equal(Quarantined))
		list.Blame(deadly, engine(4), Record{}, clock.Now())
		record, change := list.Unwritten(deadly, &Record{Engines: []Engine{engine(1), engine(2), engine(3)}})
		Expect(change).To(Equal(Put))
		Expect(record.Alone).To(BeTrue())
	})

	It("counts a crash of one incarnation once", func() {
		// Guards against a quarantine after one crash that several attempts have seen.
		blame(deadly, 1, 1, 1)
		Expect(standing(deadly)).To(Equal(Suspected))
		list.Blame(deadly, Engine{ID: "e1", Started: 2}, Record{Alone: true}, clock.Now())
		list.Blame(deadly, Engine{ID: "e1", Started: 3}, Record{Alone: true}, clock.Now())
		Expect(standing(deadly)).To(Equal(Quarantined))
	})

	It("clears a request that ran to its end", func() {
		// Guards against innocent requests that stay suspected and add up crashes.
		blame(innocent, 1, 2)
		cleared, stored := list.Clear(innocent)
		Expect([]bool{cleared, stored}).To(Equal([]bool{true, false}))
		Expect(list.Empty()).To(BeTrue())
		blame(innocent, 3)
		Expect(standing(innocent)).To(Equal(Suspected))
	})

	It("does not count crashes that a quarantined request accounts for", func() {
		// Guards against a quarantine of requests that ran beside the cause of the crashes.
		blame(innocent, 1, 2)
		blame(deadly, 1, 2, 3)
		blame(innocent, 3)
		Expect(standing(deadly)).To(Equal(Quarantined))
		Expect(standing(innocent)).To(Equal(Unsuspected))
	})

	It("adds what other instances have stored to its own crashes", func() {
		// Guards against instances that each count to the limit on their own.
		blame(deadly, 1)
		list.Apply(deadly, &Record{Engines: []Engine{engine(2), engine(3)}, LastMs: clock.Now().UnixMilli()}, clock.Now())
		Expect(standing(deadly)).To(Equal(Quarantined))
		record, change := list.Unwritten(deadly, &Record{Engines: []Engine{engine(2), engine(4)}})
		Expect(change).To(Equal(Put))
		Expect(record.Engines).To(Equal([]Engine{engine(1), engine(2), engine(4)}))
	})

	It("writes nothing for a stored suspicion without news", func() {
		// Guards against instances that rewrite each other's records.
		stored := Record{Engines: []Engine{engine(1), engine(2)}, LastMs: clock.Now().UnixMilli()}
		list.Apply(deadly, &stored, clock.Now())
		_, change := list.Unwritten(deadly, &stored)
		Expect(change).To(Equal(NoChange))
	})

	It("deletes the stored record of a request that ran to its end", func() {
		// Guards against suspicions that other instances keep after a complete run.
		stored := Record{Engines: []Engine{engine(1), engine(2)}, LastMs: clock.Now().UnixMilli()}
		list.Apply(innocent, &stored, clock.Now())
		_, toDelete := list.Clear(innocent)
		Expect(toDelete).To(BeTrue())
		_, change := list.Unwritten(innocent, &stored)
		Expect(change).To(Equal(Delete))
		list.Saved(innocent, nil)
		Expect(list.Empty()).To(BeTrue())
	})

	It("lifts a quarantine whose record was deleted", func() {
		// Guards against a quarantine that an operator cannot lift.
		blame(deadly, 1, 2, 3)
		record, _ := list.Unwritten(deadly, nil)
		list.Saved(deadly, &record)
		before, after := list.Apply(deadly, nil, clock.Now())
		Expect([]Standing{before, after}).To(Equal([]Standing{Quarantined, Unsuspected}))
	})

	It("revokes crashes of an engine that is alive", func() {
		// Guards against a quarantine because of paths that were cut.
		blame(innocent, 1, 2)
		record, _ := list.Unwritten(innocent, nil)
		list.Saved(innocent, &record)
		blame(innocent, 3)
		Expect(standing(innocent)).To(Equal(Quarantined))
		Expect(list.Revoke(engine(1), clock.Now())).To(Equal([]Digest{innocent}))
		Expect(standing(innocent)).To(Equal(Suspected))
		written, change := list.Unwritten(innocent, &record)
		Expect(change).To(Equal(Put))
		Expect(written.Engines).To(Equal([]Engine{engine(2), engine(3)}))
	})

	It("forgets a suspicion after its lifetime", func() {
		// Guards against a quarantine without end.
		blame(deadly, 1, 2, 3)
		clock.Advance(time.Minute + time.Millisecond)
		Expect(standing(deadly)).To(Equal(Unsuspected))
		Expect(list.Expired(clock.Now(), time.Second)).To(BeEmpty())
		clock.Advance(time.Second)
		Expect(list.Expired(clock.Now(), time.Second)).To(Equal([]Digest{deadly}))
	})

	It("keeps quarantined requests when it is full", func() {
		// Guards against many harmless suspicions that displace a quarantine.
		blame(deadly, 1, 2, 3)
		for n := range 20 {
			clock.Advance(time.Second)
			blame(Digest(fmt.Sprint("other", n)), 4)
		}
		Expect(standing(deadly)).To(Equal(Quarantined))
		Expect(list.size.Load()).To(BeEquivalentTo(8))
	})
})

var _ = Describe("A digest", func() {
	It("differs with each part of the content", func() {
		// Guards against a quarantine that covers requests of other content or callers.
		base := Content{Host: "h", Method: "GET", Target: "/a", Team: "t", Body: []byte("b")}
		seen := map[Digest]bool{base.Digest(): true}
		for _, c := range []Content{
			{"h2", "GET", "/a", "t", []byte("b")}, {"h", "POST", "/a", "t", []byte("b")}, {"h", "GET", "/a?x=1", "t", []byte("b")},
			{"h", "GET", "/a", "t2", []byte("b")}, {"h", "GET", "/a", "t", []byte("b2")}, {"h", "GET", "/at", "", []byte("b")},
		} {
			Expect(seen).NotTo(HaveKey(c.Digest()))
			seen[c.Digest()] = true
		}
	})
})
