package batch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("ShouldMove", func() {
	const pace = 40 * time.Millisecond
	ms := func(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }
	healthy := RunView{Begun: start, LastSign: ms(1000), Events: 20, Own: pace, Usual: pace, LeftEvents: 50, Free: true}
	with := func(change func(*RunView)) RunView {
		v := healthy
		change(&v)
		return v
	}

	DescribeTable("decides", func(v RunView, now time.Time, expected Reason) {
		Expect(ShouldMove(v, now)).To(Equal(expected))
	},
		Entry("a healthy run stays", healthy, ms(1040), Stay),
		Entry("an engine that went dark", healthy, ms(1000+1300), Silent),
		Entry("an engine that never answers", RunView{Begun: start, LastSign: start}, ms(800), Silent),
		Entry("the first event may take a while", RunView{Begun: start, LastSign: start}, ms(500), Stay),
		Entry("each move waits longer for the first event", RunView{Begun: start, LastSign: start, Moves: 1}, ms(800), Stay),
		Entry("an engine four times as slow", with(func(v *RunView) { v.Own = 4 * pace }), ms(1040), Slow),
		Entry("one of another make, a little slower", with(func(v *RunView) { v.Own = pace * 13 / 10 }), ms(1040), Stay),
		Entry("nearly done", with(func(v *RunView) { v.Own, v.LeftEvents = 4*pace, 2 }), ms(1040), Stay),
		Entry("the first events are slow for all", with(func(v *RunView) { v.Own, v.Events = 4*pace, 3 }), ms(1040), Stay),
		Entry("nowhere to go", with(func(v *RunView) { v.Own, v.Free = 4*pace, false }), ms(1040), Stay),
		Entry("moved often enough", with(func(v *RunView) { v.Moves = maxMoves }), ms(9000), Stay),
		Entry("a slow engine may be silent for longer", with(func(v *RunView) { v.Own = 4 * pace; v.Usual = 4 * pace }), ms(1000+1500), Stay),
	)
})
