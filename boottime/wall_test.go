package boottime

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Wall", func() {
	begun := time.Unix(1000, 0)
	after := func(d time.Duration) time.Time { return begun.Add(d) }

	It("follows a slow drift", func() {
		w := NewWall()
		Expect(w.follow(0, int64(5*time.Millisecond), begun)).To(Equal(int64(5 * time.Millisecond)))
	})

	It("ignores a step that goes back", func() {
		w, step := NewWall(), int64(2400*time.Millisecond)
		for at := time.Duration(0); at < 10*time.Second; at += wallInterval {
			Expect(w.follow(0, step, after(at))).To(BeZero())
		}
		Expect(w.follow(0, 0, after(10*time.Second))).To(BeZero())
		Expect(w.stepped).To(BeZero())
	})

	It("follows a step that lasts", func() {
		w, step := NewWall(), int64(time.Hour)
		Expect(w.follow(0, step, begun)).To(BeZero())
		Expect(w.follow(0, step, after(stepKept))).To(Equal(step))
	})

	It("tells the time of day", func() {
		Expect(NewWall().Now()).To(BeTemporally("~", time.Now(), 50*time.Millisecond))
	})
})

var _ = Describe("Clock", func() {
	It("goes forward", func() {
		c := New()
		first := c.Now()
		time.Sleep(time.Millisecond)
		Expect(c.Since(first)).To(BeNumerically(">=", time.Millisecond))
		Expect(c.Until(first)).To(BeNumerically("<", 0))
	})
})
