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

// spend sends requests of 100 tokens each 100 ms for a time and returns the
// tokens that were let in.
func spend(l *Limiter, clock *clockwork.FakeClock, length time.Duration) int64 {
	sum := int64(0)
	for range length / (100 * time.Millisecond) {
		for range 5 {
			if use, _ := l.Admit("a"); use != nil {
				use.Done(100)
				sum += 100
			}
		}
		clock.Advance(100 * time.Millisecond)
	}
	return sum
}

func TestRateHoldsOverAMinute(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := New(clock)
	l.Set(share(1))
	g.Expect(spend(l, clock, time.Minute)).To(BeNumerically("<=", 60000+10000+100))
	g.Expect(spend(l, clock, time.Minute)).To(BeNumerically("~", 60000, 200), "savings are spent")
}

func TestLargerShareIsUsedOnlyWhenItStands(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := New(clock)
	l.Set(share(2))
	spend(l, clock, time.Minute)
	l.Set(share(1))
	g.Expect(spend(l, clock, 20*time.Second)).To(BeNumerically("<=", 10100))
	clock.Advance(riseAfter)
	l.Set(share(1))
	spend(l, clock, 20*time.Second)
	g.Expect(spend(l, clock, 20*time.Second)).To(BeNumerically("~", 20000, 200))
}

func TestRunningRequestsCountAndRetryAfterIsTrue(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	l := New(clock)
	l.Set(share(1))
	for range 100 { // teaches the length
		use, _ := l.Admit("a")
		use.Done(1000)
		clock.Advance(time.Second)
	}
	clock.Advance(burst)
	var uses []*Admission
	var after time.Duration
	for after == 0 {
		use, wait := l.Admit("a")
		uses, after = append(uses, use), wait
	}
	g.Expect(uses).To(HaveLen(12), "ten seconds saved up and a refusal")
	for _, use := range uses[:len(uses)-1] {
		use.Done(2000)
	}
	_, after = l.Admit("a")
	clock.Advance(after - 10*time.Millisecond)
	use, _ := l.Admit("a")
	g.Expect(use).To(BeNil())
	clock.Advance(20 * time.Millisecond)
	use, _ = l.Admit("a")
	g.Expect(use).NotTo(BeNil())
	other, _ := l.Admit("unbounded")
	g.Expect(other).NotTo(BeNil())
}
