package limit

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

func share(instances int) map[string]Share {
	return map[string]Share{"a": {TokensPerMinute: 60000, Domains: 1, Instances: instances}}
}

// sendRequests sends five requests of 100 tokens every 100 ms for the given length of
// time and returns the admitted tokens.
func sendRequests(l *Limiter, clock *clockwork.FakeClock, length time.Duration) int64 {
	sum := int64(0)
	for range length / (100 * time.Millisecond) {
		for range 5 {
			if admission, _ := l.Admit("a"); admission != nil {
				admission.Done(100)
				sum += 100
			}
		}
		clock.Advance(100 * time.Millisecond)
	}
	return sum
}

func TestRateIsEnforcedOverAMinute(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := New(clock)
	l.Set(share(1))
	g.Expect(sendRequests(l, clock, time.Minute)).To(BeNumerically("<=", 60000+10000+100))
	g.Expect(sendRequests(l, clock, time.Minute)).To(BeNumerically("~", 60000, 200), "the accumulated burst is used up")
}

func TestLargerShareAppliesAfterDelay(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := New(clock)
	l.Set(share(2))
	sendRequests(l, clock, time.Minute)
	l.Set(share(1))
	g.Expect(sendRequests(l, clock, 20*time.Second)).To(BeNumerically("<=", 10100))
	clock.Advance(increaseDelay)
	l.Set(share(1))
	sendRequests(l, clock, 20*time.Second)
	g.Expect(sendRequests(l, clock, 20*time.Second)).To(BeNumerically("~", 20000, 200))
}

func TestRunningRequestsReserveTokensAndRetryAfterIsAccurate(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := New(clock)
	l.Set(share(1))
	for range 100 { // sets the average tokens per request
		admission, _ := l.Admit("a")
		admission.Done(1000)
		clock.Advance(time.Second)
	}
	clock.Advance(burstWindow)
	var admissions []*Admission
	var after time.Duration
	for after == 0 {
		admission, wait := l.Admit("a")
		admissions, after = append(admissions, admission), wait
	}
	g.Expect(admissions).To(HaveLen(12), "a burst of ten seconds, then a rejection")
	for _, admission := range admissions[:len(admissions)-1] {
		admission.Done(2000)
	}
	_, after = l.Admit("a")
	clock.Advance(after - 10*time.Millisecond)
	admission, _ := l.Admit("a")
	g.Expect(admission).To(BeNil())
	clock.Advance(20 * time.Millisecond)
	admission, _ = l.Admit("a")
	g.Expect(admission).NotTo(BeNil())
	other, _ := l.Admit("unbounded")
	g.Expect(other).NotTo(BeNil())
}
