package boottime

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Wall", func() {
	start := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return start.Add(d) }

	It("follows drift", func() {
		w := NewWall()
		Expect(w.nextOffset(0, int64(5*time.Millisecond), start)).To(Equal(int64(5 * time.Millisecond)))
	})

	It("ignores a step that is reverted", func() {
		w, step := NewWall(), int64(2400*time.Millisecond)
		for at := time.Duration(0); at < 10*time.Second; at += wallInterval {
			Expect(w.nextOffset(0, step, after(at))).To(BeZero())
		}
		Expect(w.nextOffset(0, 0, after(10*time.Second))).To(BeZero())
		Expect(w.steppedSince).To(BeZero())
	})

	It("follows a step that lasts for stepConfirmTime", func() {
		w, step := NewWall(), int64(time.Hour)
		Expect(w.nextOffset(0, step, start)).To(BeZero())
		Expect(w.nextOffset(0, step, after(stepConfirmTime))).To(Equal(step))
	})

	It("returns the time of day", func() {
		Expect(NewWall().Now()).To(BeTemporally("~", time.Now(), 50*time.Millisecond))
	})
})

var _ = Describe("Clock", func() {
	It("advances", func() {
		c := New()
		first := c.Now()
		time.Sleep(time.Millisecond)
		Expect(c.Since(first)).To(BeNumerically(">=", time.Millisecond))
		Expect(c.Until(first)).To(BeNumerically("<", 0))
	})
})
