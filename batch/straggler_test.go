package batch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ShouldMove", func() {
	const interval = 40 * time.Millisecond
	ms := func(n int) time.Time { return baseTime.Add(time.Duration(n) * time.Millisecond) }
	healthy := AttemptStatus{Started: baseTime, LastActivity: ms(1000), Events: 20, EventInterval: interval, TypicalInterval: interval, RemainingEvents: 50, FasterAvailable: true}
	with := func(change func(*AttemptStatus)) AttemptStatus {
		v := healthy
		change(&v)
		return v
	}

	DescribeTable("decides", func(v AttemptStatus, now time.Time, expected MoveReason) {
		Expect(ShouldMove(v, now)).To(Equal(expected))
	},
		Entry("a healthy attempt stays", healthy, ms(1040), Stay),
		Entry("an engine that stopped sending events", healthy, ms(1000+1300), Unresponsive),
		Entry("an engine that never sends an event", AttemptStatus{Started: baseTime, LastActivity: baseTime}, ms(800), Unresponsive),
		Entry("the first event may take longer", AttemptStatus{Started: baseTime, LastActivity: baseTime}, ms(500), Stay),
		Entry("the timeout of the first event grows with each move", AttemptStatus{Started: baseTime, LastActivity: baseTime, Moves: 1}, ms(800), Stay),
		Entry("an engine four times as slow", with(func(v *AttemptStatus) { v.EventInterval = 4 * interval }), ms(1040), Slow),
		Entry("a slightly slower engine on other hardware", with(func(v *AttemptStatus) { v.EventInterval = interval * 13 / 10 }), ms(1040), Stay),
		Entry("an item that is nearly complete", with(func(v *AttemptStatus) { v.EventInterval, v.RemainingEvents = 4*interval, 2 }), ms(1040), Stay),
		Entry("too few events to estimate the event interval", with(func(v *AttemptStatus) { v.EventInterval, v.Events = 4*interval, 3 }), ms(1040), Stay),
		Entry("no faster engine is available", with(func(v *AttemptStatus) { v.EventInterval, v.FasterAvailable = 4*interval, false }), ms(1040), Stay),
		Entry("the maximum number of moves", with(func(v *AttemptStatus) { v.Moves = maxMoves }), ms(9000), Stay),
		Entry("an engine with a long event interval may pause longer", with(func(v *AttemptStatus) { v.EventInterval = 4 * interval; v.TypicalInterval = 4 * interval }), ms(1000+1500), Stay),
	)
})
