package forward

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/catalog"
)

var (
	safe     = catalog.Route{Kind: catalog.KindSafe, Attempts: 2, Goal: 150 * time.Millisecond, Timeout: 2 * time.Second}
	unsafe   = catalog.Route{Kind: catalog.KindUnsafe, Attempts: 3}
	tallyFor = func(outcomes ...Outcome) Tally {
		t := Tally{}
		for _, o := range outcomes {
			t.Sent++
			t.Open++
			t.Note(o)
		}
		return t
	}
)

var _ = Describe("MaySend", func() {
	DescribeTable("decides on a further sending", func(t Tally, r catalog.Route, may bool) {
		Expect(MaySend(t, r)).To(Equal(may))
	},
		Entry("the first", Tally{}, unsafe, true),
		Entry("unsafe after a refusal", tallyFor(Refused), unsafe, true),
		Entry("unsafe that never left", tallyFor(NotSent), unsafe, true),
		Entry("unsafe that may have run", tallyFor(Unknown), unsafe, false),
		Entry("unsafe that ran and failed", tallyFor(Failed), unsafe, false),
		Entry("unsafe while one is open", Tally{Sent: 1, Open: 1}, unsafe, false),
		Entry("safe that may have run", tallyFor(Unknown), safe, true),
		Entry("safe beside an open one", Tally{Sent: 1, Open: 1}, safe, true),
		Entry("beyond the attempts", tallyFor(Refused, Refused), safe, false),
		Entry("what never left does not count", tallyFor(NotSent, NotSent, Refused), safe, true),
	)
})

var _ = Describe("GiveUp", func() {
	DescribeTable("promises only what is true", func(t Tally, late bool, status int, again bool) {
		final := GiveUp(t, late, time.Second)
		Expect(final.Status).To(Equal(status))
		Expect(final.RetryAfter > 0).To(Equal(again))
	},
		Entry("never sent", Tally{}, false, http.StatusServiceUnavailable, true),
		Entry("refused everywhere", tallyFor(Refused, Refused), false, http.StatusServiceUnavailable, true),
		Entry("late, but it never ran", tallyFor(Refused), true, http.StatusServiceUnavailable, true),
		Entry("may have run", tallyFor(Unknown), false, http.StatusBadGateway, false),
		Entry("a refusal after a lost answer", tallyFor(Unknown, Refused), false, http.StatusBadGateway, false),
		Entry("still open", Tally{Sent: 1, Open: 1}, true, http.StatusGatewayTimeout, false),
	)
})

var _ = Describe("Hedge", func() {
	It("leaves the rest of the goal to a second upstream", func() {
		wait, ok := Hedge(Tally{Sent: 1, Open: 1}, safe, time.Second)
		Expect(ok).To(BeTrue())
		Expect(wait).To(BeNumerically("<", safe.Goal*6/10))
		Expect(wait).To(BeNumerically(">", safe.Goal/3))
	})

	DescribeTable("never happens", func(t Tally, r catalog.Route, left time.Duration) {
		_, ok := Hedge(t, r, left)
		Expect(ok).To(BeFalse())
	},
		Entry("for what must not run twice", Tally{Sent: 1, Open: 1}, unsafe, time.Second),
		Entry("beyond the attempts", Tally{Sent: 2, Open: 2}, safe, time.Second),
		Entry("when no time is left for it", Tally{Sent: 1, Open: 1}, safe, 50*time.Millisecond),
	)
})

var _ = Describe("Patience", func() {
	DescribeTable("ends before the caller's or the operator's", func(timeout, budget, expected time.Duration) {
		Expect(Patience(catalog.Route{Timeout: timeout}, budget)).To(Equal(expected))
	},
		Entry("the operator's is less", 400*time.Millisecond, time.Second, 340*time.Millisecond),
		Entry("the caller's is less", 2*time.Second, time.Second, 940*time.Millisecond),
		Entry("a short one keeps half", 2*time.Second, 80*time.Millisecond, 40*time.Millisecond),
		Entry("the caller says nothing", 2*time.Second, time.Duration(0), 1940*time.Millisecond),
	)
})
