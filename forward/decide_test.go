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
			t.Add(o)
		}
		return t
	}
)

var _ = Describe("MaySend", func() {
	DescribeTable("decides whether a further attempt is allowed", func(t Tally, r catalog.Route, want bool) {
		Expect(MaySend(t, r)).To(Equal(want))
	},
		Entry("first attempt", Tally{}, unsafe, true),
		Entry("unsafe after a refusal", tallyFor(Refused), unsafe, true),
		Entry("unsafe that was not sent", tallyFor(NotSent), unsafe, true),
		Entry("unsafe that may have run", tallyFor(Unknown), unsafe, false),
		Entry("unsafe that ran and failed", tallyFor(Failed), unsafe, false),
		Entry("unsafe while an attempt is open", Tally{Sent: 1, Open: 1}, unsafe, false),
		Entry("safe that may have run", tallyFor(Unknown), safe, true),
		Entry("safe while an attempt is open", Tally{Sent: 1, Open: 1}, safe, true),
		Entry("no attempts left", tallyFor(Refused, Refused), safe, false),
		Entry("attempts that were not sent do not count", tallyFor(NotSent, NotSent, Refused), safe, true),
	)
})

var _ = Describe("GiveUp", func() {
	DescribeTable("returns 503 only if the request has not run and never will", func(t Tally, timedOut bool, status int, wantRetryAfter bool) {
		final := GiveUp(t, timedOut, time.Second)
		Expect(final.Status).To(Equal(status))
		Expect(final.RetryAfter > 0).To(Equal(wantRetryAfter))
	},
		Entry("never sent", Tally{}, false, http.StatusServiceUnavailable, true),
		Entry("refused by all upstreams", tallyFor(Refused, Refused), false, http.StatusServiceUnavailable, true),
		Entry("timed out, but never ran", tallyFor(Refused), true, http.StatusServiceUnavailable, true),
		Entry("may have run", tallyFor(Unknown), false, http.StatusBadGateway, false),
		Entry("refused after a lost response", tallyFor(Unknown, Refused), false, http.StatusBadGateway, false),
		Entry("still open", Tally{Sent: 1, Open: 1}, true, http.StatusGatewayTimeout, false),
	)
})

var _ = Describe("OutcomeOf", func() {
	DescribeTable("takes only the upstream's mark for a refusal", func(status int, notRun bool, want Outcome) {
		Expect(OutcomeOf(status, notRun)).To(Equal(want))
	},
		Entry("success", http.StatusOK, false, Answered),
		Entry("an error of the caller", http.StatusNotFound, false, Answered),
		Entry("an error of the upstream", http.StatusInternalServerError, false, Failed),
		Entry("overloaded", http.StatusServiceUnavailable, false, Failed),
		Entry("overloaded, not run", http.StatusServiceUnavailable, true, Refused),
		Entry("limited", http.StatusTooManyRequests, false, Unknown),
		Entry("limited, not run", http.StatusTooManyRequests, true, Refused),
	)
})

var _ = Describe("HedgeDelay", func() {
	It("leaves enough of the goal for a second attempt", func() {
		delay, ok := HedgeDelay(Tally{Sent: 1, Open: 1}, safe, time.Second)
		Expect(ok).To(BeTrue())
		Expect(delay).To(BeNumerically("<", safe.Goal*6/10))
		Expect(delay).To(BeNumerically(">", safe.Goal/3))
	})

	DescribeTable("does not hedge", func(t Tally, r catalog.Route, remaining time.Duration) {
		_, ok := HedgeDelay(t, r, remaining)
		Expect(ok).To(BeFalse())
	},
		Entry("a request that must not run twice", Tally{Sent: 1, Open: 1}, unsafe, time.Second),
		Entry("without attempts left", Tally{Sent: 2, Open: 2}, safe, time.Second),
		Entry("with too little time remaining", Tally{Sent: 1, Open: 1}, safe, 50*time.Millisecond),
	)
})

var _ = Describe("Timeout", func() {
	DescribeTable("is below both the caller's budget and the route's timeout", func(timeout, budget, expected time.Duration) {
		Expect(Timeout(catalog.Route{Timeout: timeout}, budget)).To(Equal(expected))
	},
		Entry("the route's timeout is less", 400*time.Millisecond, time.Second, 340*time.Millisecond),
		Entry("the caller's budget is less", 2*time.Second, time.Second, 940*time.Millisecond),
		Entry("a short budget is halved", 2*time.Second, 80*time.Millisecond, 40*time.Millisecond),
		Entry("the caller sets no budget", 2*time.Second, time.Duration(0), 1940*time.Millisecond),
	)
})
