package batch

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

var _ = Describe("ShouldMove", func() {
	const interval = 40 * time.Millisecond
	ms := func(n int) time.Time { return baseTime.Add(time.Duration(n) * time.Millisecond) }
	healthy := AttemptStatus{Started: baseTime, LastActivity: ms(1000), Events: 20, EventInterval: interval, TypicalInterval: interval, RemainingEvents: 50, FasterAvailable: true}
	unstarted := func(engineActivity time.Time, freeElsewhere bool) AttemptStatus {
		return AttemptStatus{Started: baseTime, LastActivity: baseTime, EngineActivity: engineActivity, FreeElsewhere: freeElsewhere}
	}
	with := func(change func(*AttemptStatus)) AttemptStatus {
		v := healthy
		change(&v)
		return v
	}

	DescribeTable("decides", func(v AttemptStatus, now time.Time, expected MoveReason) {
		Expect(ShouldMove(v, now)).To(Equal(expected))
	},
		Entry("a healthy attempt stays", healthy, ms(1040), Stay),
		Entry("an item that pauses alone on its engine", with(func(v *AttemptStatus) { v.EngineActivity = ms(1690) }), ms(1700), Stay),
		Entry("an engine that stopped sending events of all items", healthy, ms(1700), Unresponsive),
		Entry("a short pause of all items of an engine", healthy, ms(1500), Stay),
		Entry("an engine that stopped sending events", healthy, ms(1000+1300), Unresponsive),
		Entry("an engine that never sends an event", AttemptStatus{Started: baseTime, LastActivity: baseTime}, ms(800), Unresponsive),
		Entry("the first event may take longer", AttemptStatus{Started: baseTime, LastActivity: baseTime}, ms(500), Stay),
		Entry("the timeout of the first event grows with each move", AttemptStatus{Started: baseTime, LastActivity: baseTime, Moves: 1}, ms(800), Stay),
		Entry("an engine four times as slow", with(func(v *AttemptStatus) { v.EventInterval = 4 * interval }), ms(1040), Slow),
		Entry("a slightly slower engine on other hardware", with(func(v *AttemptStatus) { v.EventInterval = interval * 13 / 10 }), ms(1040), Stay),
		Entry("an item that is nearly complete", with(func(v *AttemptStatus) { v.EventInterval, v.RemainingEvents = 4*interval, 2 }), ms(1040), Stay),
		Entry("too few events to estimate the event interval", with(func(v *AttemptStatus) { v.EventInterval, v.Events = 4*interval, 3 }), ms(1040), Stay),
		Entry("no faster engine is available", with(func(v *AttemptStatus) { v.EventInterval, v.FasterAvailable = 4*interval, false }), ms(1040), Stay),
		Entry("a slow engine after the maximum number of moves", with(func(v *AttemptStatus) { v.EventInterval, v.Moves = 4*interval, maxMoves }), ms(1040), Stay),
		Entry("a short pause after the maximum number of moves", with(func(v *AttemptStatus) { v.Moves = maxMoves }), ms(3000), Stay),
		// An item stayed on an engine without events for good after its sixth move.
		Entry("an engine that stopped sending events, after the maximum number of moves", with(func(v *AttemptStatus) { v.Moves = maxMoves }), ms(9000), Unresponsive),
		Entry("an engine that runs other items, none has a free slot", unstarted(ms(750), false), ms(800), Stay),
		Entry("an engine that runs other items, another one has a free slot", unstarted(ms(750), true), ms(800), Queued),
		Entry("an engine that stopped sending events of other items", unstarted(ms(50), true), ms(800), Unresponsive),
		Entry("an engine that runs other items and has lost this one", unstarted(ms(5050), false), ms(5100), Unresponsive),
		Entry("an engine with a long event interval may pause longer", with(func(v *AttemptStatus) { v.EventInterval = 4 * interval; v.TypicalInterval = 4 * interval }), ms(1000+1500), Stay),
	)
})

var _ = Describe("An instance that was paused", func() {
	// An owner whose machine was suspended for two seconds took all engines for
	// unresponsive when it ran again, and moved every item at once.
	It("does not move its items for the events that it missed", func() {
		clock := clockwork.NewFakeClock()
		r := newIdleService(memstore.New(), "a").runner
		r.Clock = clock
		now := clock.Now()
		j := newJob(Stored{ID: "l"}, submission("l", 3), NewResultLog(3), func(*Item) *Partial { return nil }, Limits{Due: time.Minute, MaxAge: time.Minute}, now)
		r.jobs["l"] = j
		moved := 0
		for _, s := range j.items {
			s.running = &attempt{upstream: "u", service: "lm", started: now, lastActivity: now, events: 3, cancel: func(error) { moved++ }}
		}
		r.checkStragglers()
		clock.Advance(2 * time.Second) // the pause
		r.checkStragglers()
		Expect(moved).To(BeZero())
		for range 8 { // no event after the pause either
			clock.Advance(stragglerInterval)
			r.checkStragglers()
		}
		Expect(moved).To(BeNumerically(">=", 3))
	})
})
