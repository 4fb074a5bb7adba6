package gateway

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/boottime"
	"github.com/pomelocross/pomelocross/link"
)

// feedOf returns the feed of an instance that runs nothing.
func feedOf(name string, peers ...string) *feed {
	s := &Settings{Name: name, Domain: "a", PeerListen: name + ":1", Peers: peers}
	g := &Gateway{settings: s, crew: newCrew(s), clock: boottime.New()}
	g.live.Store(s)
	return newFeed(g)
}

func mates(names ...string) map[string]mate {
	m := map[string]mate{}
	for _, n := range names {
		m[n] = mate{Peer: n + ":1", Domain: "a", Front: true}
	}
	return m
}

var _ = Describe("The sources of the feed", func() {
	It("are the first instances while nobody else is known, this one last", func() {
		Expect(feedOf("e4", "e1:1", "e2:1", "e3:1").sources()).To(Equal([]string{"e1:1", "e2:1"}))
		Expect(feedOf("e2", "e1:1", "e2:1").sources()).To(Equal([]string{"e1:1", "e2:1"}))
		Expect(feedOf("e1", "e1:1", "e2:1").sources()).To(Equal([]string{"e1:1"}))
		Expect(feedOf("e1").sources()).To(BeEmpty())
	})

	It("are the same for all instances of a domain, and the next one when one fails", func() {
		all := []string{"e1", "e2", "e3", "e4", "e5"}
		var first, second string
		for n, name := range all {
			f := feedOf(name, "seed:1")
			f.gateway.crew.mates = mates(all...)
			list := f.sources()
			if n == 0 {
				first = f.gateway.crew.domain()[0]
				second = f.gateway.crew.domain()[1]
			}
			Expect(list[0]).To(Equal(first))
			f.answered(first, false)
			Expect(f.sources()[0]).To(Equal(second))
			f.answered(first, true)
			Expect(f.sources()[0]).To(Equal(first))
		}
	})

	It("are left alone for longer after each failure in a row", func() {
		f := feedOf("e4", "e1:1")
		left := func() time.Duration { return f.shunned["e1:1"].until.Sub(f.gateway.clock.Now()) }
		for _, expected := range []time.Duration{firstShunned, 2 * firstShunned, 4 * firstShunned, mostShunned, mostShunned} {
			f.answered("e1:1", false)
			Expect(left()).To(BeNumerically("~", expected, time.Second))
		}
	})
})

var _ = Describe("A reader whose sources are silent", func() {
	It("waits for one of them only before it asks the store", func(ctx SpecContext) {
		hole, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(hole.Close)
		identity, err := link.NewIdentity("test", "0123456789abcdef")
		Expect(err).NotTo(HaveOccurred())
		f := feedOf("e4", hole.Addr().String(), "localhost"+hole.Addr().String()[len("127.0.0.1"):])
		f.gateway.dialer = link.NewDialer(identity)
		begun := time.Now()
		_, _, ok := f.read(ctx, FeedArgs{Kind: kindInstances, After: 1})
		Expect(ok).To(BeFalse())
		Expect(time.Since(begun)).To(BeNumerically("<", 3*askTimeout/2))
	})
})
