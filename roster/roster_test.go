package roster

import (
	"fmt"
	"time"

	ginkgo "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/upstream"
)

var start = time.Unix(1000, 0)

func engine(id string, version int64) Entry {
	return Entry{ID: id, Service: "lm", Address: "10.0.0.1:80", Domain: "a", Slots: 4, Ready: true, Started: 1, Models: map[string]int64{"m": version}}
}

func rosterOf(entries ...Entry) *Roster {
	r := New()
	for _, e := range entries {
		r.Put(e)
	}
	return r
}

func picked(r *Roster, n Need) string {
	c, ok := r.Pick(n, start)
	if !ok {
		return ""
	}
	return c.ID
}

var _ = ginkgo.Describe("Pick", func() {
	need := Need{Service: "lm", Model: "m", MinVersion: 3, Domain: "a"}

	ginkgo.DescribeTable("leaves out upstreams that do not suit", func(change func(*Roster, *Entry), expected string) {
		r, e := New(), engine("e1", 3)
		change(r, &e)
		r.Put(e)
		Expect(picked(r, need)).To(Equal(expected))
	},
		ginkgo.Entry("one that suits", func(*Roster, *Entry) {}, "e1"),
		ginkgo.Entry("another service", func(_ *Roster, e *Entry) { e.Service = "other" }, ""),
		ginkgo.Entry("a leaving one", func(_ *Roster, e *Entry) { e.Ready = false }, ""),
		ginkgo.Entry("older weights", func(_ *Roster, e *Entry) { e.Models = map[string]int64{"m": 2} }, ""),
		ginkgo.Entry("no such model", func(_ *Roster, e *Entry) { e.Models = nil }, ""),
	)

	ginkgo.It("waits here once an upstream's slots are taken, unless overflow is allowed", func() {
		r := rosterOf(engine("e1", 3))
		for range 4 {
			r.Begin("e1", "q", Memory{})
		}
		Expect(picked(r, need)).To(BeEmpty())
		over := need
		over.Overflow = true
		Expect(picked(r, over)).To(Equal("e1"))
		r.End("e1", "q")
		Expect(picked(r, need)).To(Equal("e1"))
	})

	ginkgo.It("keeps out of an engine whose memory the request would exceed, but not of an empty one", func() {
		r := rosterOf(engine("e1", 3))
		large := need
		large.Memory, large.KVTokens = Memory{Held: 100, Growth: 800}, 800
		Expect(picked(r, large)).To(Equal("e1"))
		r.Begin("e1", "q", Memory{Held: 100, Growth: 400})
		large.Memory.Growth = 400 // both are at their largest at once
		Expect(picked(r, large)).To(BeEmpty())
		large.Memory.Growth = 301
		Expect(picked(r, large)).To(BeEmpty())
		large.Memory.Growth = 300 // over when the other holds as much
		Expect(picked(r, large)).To(Equal("e1"))
	})

	ginkgo.It("counts what other instances have at an upstream while the report is fresh", func() {
		r := rosterOf(engine("e1", 3), engine("e2", 3))
		r.SetLoad("e1", upstream.Occupancy{Running: 4, Slots: 4}, start)
		for range 4 {
			id := picked(r, need)
			Expect(id).To(Equal("e2"))
			r.Begin(id, "q", Memory{})
		}
		Expect(picked(r, need)).To(BeEmpty())
		_, ok := r.Pick(need, start.Add(loadKept+time.Millisecond))
		Expect(ok).To(BeTrue())
	})

	ginkgo.It("prefers the own domain among upstreams of like load, not a busier one", func() {
		far := engine("far", 3)
		far.Domain = "b"
		r := rosterOf(engine("near", 3), far)
		Expect(picked(r, need)).To(Equal("near"))
		r.Begin("near", "q", Memory{})
		Expect(picked(r, need)).To(Equal("far"))
	})

	ginkgo.It("spreads a burst of several instances over engines that look alike", func() {
		seen := map[string]int{}
		for range 200 {
			r := New()
			for n := range 10 {
				r.Put(engine(fmt.Sprint("e", n), 3))
			}
			seen[picked(r, need)]++
		}
		Expect(len(seen)).To(BeNumerically(">=", 8))
	})

	ginkgo.It("leaves engines with newer weights to the items that need them", func() {
		r := rosterOf(engine("old", 3), engine("new", 4))
		later := need
		later.MinVersion = 4
		for range 2 { // an earlier step's items, on half of the old engine
			Expect(picked(r, need)).To(Equal("old"))
			r.Begin("old", "q", Memory{})
		}
		Expect(picked(r, later)).To(Equal("new"))
		r.Begin("old", "q", Memory{})
		r.Begin("old", "q", Memory{})
		Expect(picked(r, need)).To(Equal("new"), "the old one has no slot left")
	})

	ginkgo.It("sends long items to a fuller fast engine and short ones to a free slower one", func() {
		// Two kinds of engine: the longest items are in time on the fast ones only.
		r := rosterOf(engine("fast", 3), engine("slower", 3))
		r.ObserveEventInterval("fast", 47*time.Millisecond, start)
		r.ObserveEventInterval("slower", 61*time.Millisecond, start)
		for range 3 {
			r.Begin("fast", "q", Memory{})
		}
		long, short := need, need
		long.Events, short.Events = 148, 10
		Expect(picked(r, long)).To(Equal("fast"))
		Expect(picked(r, short)).To(Equal("slower"))
	})

	ginkgo.It("takes an engine whose pace is not known for a usual one, not for the fastest", func() {
		r := rosterOf(engine("known", 3), engine("unknown", 3), engine("slow", 3))
		r.ObserveEventInterval("known", 47*time.Millisecond, start)
		r.ObserveEventInterval("slow", 61*time.Millisecond, start)
		r.Begin("unknown", "q", Memory{})
		Expect(picked(r, need)).To(Equal("known"))
	})

	ginkgo.It("shuns a slow engine", func() {
		r := rosterOf(engine("slow", 3), engine("fast", 3))
		for range 20 {
			r.ObserveEventInterval("slow", 160*time.Millisecond, start)
			r.ObserveEventInterval("fast", 40*time.Millisecond, start)
		}
		r.Begin("fast", "q", Memory{})
		r.Begin("fast", "q", Memory{})
		Expect(picked(r, need)).To(Equal("fast"))
	})
})

var _ = ginkgo.Describe("Beliefs", func() {
	need := Need{Service: "lm", Model: "m", Domain: "a"}

	ginkgo.It("leave a failing upstream alone for longer each time, until one success", func() {
		r := rosterOf(engine("e1", 1))
		r.MarkFailed("e1", start)
		Expect(picked(r, need)).To(BeEmpty())
		_, ok := r.Pick(need, start.Add(firstPause))
		Expect(ok).To(BeTrue())
		r.MarkFailed("e1", start)
		_, ok = r.Pick(need, start.Add(firstPause))
		Expect(ok).To(BeFalse())
		r.MarkSucceeded("e1")
		r.MarkFailed("e1", start)
		_, ok = r.Pick(need, start.Add(firstPause))
		Expect(ok).To(BeTrue())
	})

	ginkgo.It("block one model of an engine that loads its weights", func() {
		e := engine("e1", 1)
		e.Models["n"] = 1
		r := rosterOf(e)
		r.BlockModel("e1", "m", start.Add(time.Second))
		Expect(picked(r, need)).To(BeEmpty())
		other := need
		other.Model = "n"
		Expect(picked(r, other)).To(Equal("e1"))
	})

	ginkgo.It("forget failures and loads of an earlier incarnation, not the requests still open", func() {
		r := rosterOf(engine("e1", 1))
		r.MarkFailed("e1", start)
		r.Begin("e1", "q", Memory{})
		reborn := engine("e1", 1)
		reborn.Started = 2
		r.Put(reborn)
		Expect(picked(r, need)).To(Equal("e1"))
		for range 3 {
			r.Begin("e1", "q", Memory{})
		}
		Expect(picked(r, need)).To(BeEmpty())
	})

	ginkgo.It("take an engine's word on its weights over the registration", func() {
		r := rosterOf(engine("e1", 5))
		r.SetVersion("e1", "m", 4)
		Expect(picked(r, Need{Service: "lm", Model: "m", MinVersion: 5})).To(BeEmpty())
	})

	ginkgo.It("take the median for the usual pace, not one engine's that is low for a moment", func() {
		r := New()
		for n, pace := range []int{35, 50, 51, 61, 66} { // milliseconds; two kinds of engine and a lucky one
			id := fmt.Sprint("e", n)
			r.Put(engine(id, 1))
			r.ObserveEventInterval(id, time.Duration(pace)*time.Millisecond, start)
		}
		own, usual := r.EventInterval("e4", start), r.MedianEventInterval("lm", start)
		Expect(own).To(Equal(66 * time.Millisecond))
		Expect(usual).To(Equal(51 * time.Millisecond))
	})

	ginkgo.It("forget a pace that is old", func() {
		r := rosterOf(engine("e1", 1))
		r.ObserveEventInterval("e1", 80*time.Millisecond, start)
		own, usual := r.EventInterval("e1", start), r.MedianEventInterval("lm", start)
		Expect(own).To(Equal(80 * time.Millisecond))
		Expect(usual).To(Equal(80 * time.Millisecond))
		own = r.EventInterval("e1", start.Add(paceKept+time.Millisecond))
		Expect(own).To(BeZero())
	})
})
