package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/sendlimit"
)

// greatestInWindow returns the greatest number of requests that reached an engine in any span
// of a window.
func greatestInWindow(e *standin.Engine, window time.Duration) int {
	arrivals, greatest, first := e.Arrivals(), 0, 0
	for n, at := range arrivals {
		for at.Sub(arrivals[first]) >= window {
			first++
		}
		greatest = max(greatest, n-first+1)
	}
	return greatest
}

var _ = Describe("Upstreams that name a limit", func() {
	const (
		window  = 4 * time.Second
		rate    = 5
		allowed = rate * 4
	)
	// chat keeps sending streams to an instance until ctx ends.
	chat := func(ctx context.Context, callers *sync.WaitGroup, address string, pause time.Duration) {
		callers.Go(func() {
			for ctx.Err() == nil {
				status("POST", address, "/chat/1", northKey, nil, "X-Pomelocross-Model", model)
				time.Sleep(pause)
			}
		})
	}
	// usualLease sets the default bound of the lease. Grants last for a third of it; with that of
	// the other specs, an instance on a busy machine loses them several times in a window.
	usualLease := func(s *Settings) { s.LeaseBound = 3 * time.Second }
	limited := func(d *deployment) {
		for _, e := range d.engines {
			e.SetLimit(fmt.Sprint(rate))
		}
	}

	// Items of one owner, streams and single requests of all instances: more than twice of
	// what the engines allow reached them.
	It("get no more requests from all instances together than it allows", func() {
		d := newDeployment(3, 2)
		limited(d)
		d.desk.SetLimit("10")
		var all []*testInstance
		for n := range 3 {
			all = append(all, d.start(fmt.Sprint("entry-", n), nil))
		}
		waitForMembership(all...)
		ctx, cancel := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		DeferCleanup(func() { cancel(); callers.Wait() })
		for _, gw := range all {
			chat(ctx, &callers, gw.address, 40*time.Millisecond)
			callers.Go(func() {
				for ctx.Err() == nil {
					status("POST", gw.address, "/kits/4", northKey, nil)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		Expect(submit(all[0].address, "l1", batchBody(200, 1))).To(Equal(http.StatusAccepted))
		time.Sleep(4 * window)
		for _, e := range d.engines {
			AddReportEntry(e.ID, fmt.Sprint(greatestInWindow(e, window), " in a window, ", len(e.Arrivals()), " in all"))
			Expect(greatestInWindow(e, window)).To(BeNumerically("<=", allowed), e.ID)
			Expect(len(e.Arrivals())).To(BeNumerically(">=", 2*allowed), e.ID)
		}
		Expect(greatestInWindow(d.desk, window)).To(BeNumerically("<=", 40))
		Expect(len(d.desk.Arrivals())).To(BeNumerically(">=", 80))
	})

	// The owner of a batch sends nearly everything. With equal shares, two thirds of what the
	// engines allow would be left.
	It("get most of what they allow from the instance that needs it", func() {
		d := newDeployment(3, 2)
		limited(d)
		var all []*testInstance
		for n := range 3 {
			all = append(all, d.start(fmt.Sprint("entry-", n), usualLease))
		}
		waitForMembership(all...)
		Expect(submit(all[0].address, "l1", batchBody(400, 1))).To(Equal(http.StatusAccepted))
		time.Sleep(2 * window)
		count := func() (n int) {
			for _, e := range d.engines {
				n += len(e.Arrivals())
			}
			return n
		}
		before := count()
		time.Sleep(2 * window)
		used := float64(count()-before) / float64(2*allowed*len(d.engines))
		AddReportEntry("part of the limit that is used", used)
		Expect(used).To(BeNumerically(">=", 0.6))
		for _, e := range d.engines {
			Expect(greatestInWindow(e, window)).To(BeNumerically("<=", allowed), e.ID)
		}
	})

	// The holder of the control role counted the time in which it grants nothing from the first
	// report, so that no upstream got a request for a window when limits were first named.
	It("get requests soon after they first name it, if the control role was held for a window", func() {
		d := newDeployment(3, 2)
		gw := d.start("entry-0", nil)
		Eventually(func() error { _, err := gw.holder(); return err }).WithTimeout(5 * time.Second).Should(Succeed())
		time.Sleep(gw.settings.limitTiming().Hold)
		limited(d)
		Expect(submit(gw.address, "l1", batchBody(30, 1))).To(Equal(http.StatusAccepted))
		time.Sleep(2 * time.Second)
		sent := 0
		for _, e := range d.engines {
			sent += len(e.Arrivals())
			Expect(greatestInWindow(e, window)).To(BeNumerically("<=", allowed), e.ID)
		}
		Expect(sent).To(BeNumerically(">=", 30))
	})

	// Instances of other failure domains sent nothing and heard of no limit. They did not report,
	// so that their fixed shares were kept for them.
	It("get most of what they allow from one instance if all others are in other failure domains", func() {
		d := newDeployment(2, 2)
		limited(d)
		all := []*testInstance{d.start("entry-0", usualLease)}
		for _, domain := range []string{"b", "c", "d"} {
			all = append(all, d.start("entry-"+domain, func(s *Settings) { usualLease(s); s.Domain = domain }))
		}
		waitForMembership(all...)
		Expect(all[0].holder()).Error().NotTo(HaveOccurred())
		time.Sleep(all[0].settings.limitTiming().Hold) // from then on it answers, and no other instance is asked
		Expect(submit(all[0].address, "l1", batchBody(400, 1))).To(Equal(http.StatusAccepted))
		time.Sleep(3 * window)
		count := func() int { return len(d.engines[0].Arrivals()) + len(d.engines[1].Arrivals()) }
		before := count()
		time.Sleep(2 * window)
		used := float64(count()-before) / float64(2*allowed*len(d.engines))
		AddReportEntry("part of the limit that is used", used)
		Expect(used).To(BeNumerically(">=", 0.6))
		for _, e := range d.engines {
			Expect(greatestInWindow(e, window)).To(BeNumerically("<=", allowed), e.ID)
		}
	})

	It("get no more requests than it allows from instances that just started or have lost the holder of the control role", func() {
		d := newDeployment(2, 2)
		limited(d)
		first := d.start("entry-0", nil)
		second := d.start("entry-1", nil)
		waitForMembership(first, second)
		ctx, cancel := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		DeferCleanup(func() { cancel(); callers.Wait() })
		chat(ctx, &callers, first.address, 20*time.Millisecond)
		chat(ctx, &callers, second.address, 20*time.Millisecond)
		time.Sleep(window)
		third := d.start("entry-2", nil)
		chat(ctx, &callers, third.address, 20*time.Millisecond)
		time.Sleep(window)
		second.dialer.Close() // reaches no other instance
		time.Sleep(3 * window)
		for _, e := range d.engines {
			AddReportEntry(e.ID, fmt.Sprint(greatestInWindow(e, window), " in a window, ", len(e.Arrivals()), " in all"))
			Expect(greatestInWindow(e, window)).To(BeNumerically("<=", allowed), e.ID)
			Expect(len(e.Arrivals())).To(BeNumerically(">=", 2*allowed), e.ID)
		}
	})

	// An instance without configured peers asked nobody, since it had not read the list of
	// instances yet.
	It("have their limits known to an instance before it is ready", func() {
		d := newDeployment(2, 2)
		limited(d)
		first := d.start("entry-0", nil)
		second := d.start("entry-1", nil)
		waitForMembership(first, second)
		Eventually(func() sendlimit.Limits {
			status("POST", first.address, "/chat/1", northKey, nil, "X-Pomelocross-Model", model)
			return first.limits.Limits(first.clock.Now())
		}).WithTimeout(10 * time.Second).Should(HaveLen(len(d.engines)))
		third := d.start("entry-2", func(s *Settings) { s.Domain = "b" })
		Expect(third.limits.Limits(third.clock.Now())).To(HaveLen(len(d.engines)))
	})

	// The roster and the limits called each other with their locks held, and the instance
	// served nothing until it was killed.
	It("are chosen while their limits are looked after", func() {
		d := newDeployment(3, 2)
		gw := d.start("entry-1", nil)
		stop, done := time.After(time.Second), make(chan struct{})
		var workers sync.WaitGroup
		ended := make(chan struct{})
		for range 4 {
			workers.Go(func() {
				for {
					select {
					case <-ended:
						return
					default:
						gw.roster.Pick(roster.Need{Service: "lm", Model: model}, gw.clock.Now())
					}
				}
			})
		}
		workers.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					gw.retainLimits()
				}
			}
		})
		go func() {
			<-stop
			close(ended)
			workers.Wait()
			close(done)
		}()
		Eventually(done).WithTimeout(10 * time.Second).Should(BeClosed())
	})

	It("are forgotten by all instances once their registrations are removed", func() {
		d := newDeployment(2, 2)
		limited(d)
		all := []*testInstance{d.start("entry-0", nil), d.start("entry-1", nil)}
		waitForMembership(all...)
		for _, gw := range all {
			for range 4 {
				status("POST", gw.address, "/chat/1", northKey, nil, "X-Pomelocross-Model", model)
			}
		}
		for _, gw := range all {
			Eventually(func() int { return len(gw.limits.Limits(gw.clock.Now())) }).WithTimeout(5 * time.Second).Should(Equal(2))
		}
		d.store.Remove("servers", d.engines[0].ID)
		known := func() []int {
			return []int{len(all[0].limits.Limits(all[0].clock.Now())), len(all[1].limits.Limits(all[1].clock.Now()))}
		}
		Eventually(known).WithTimeout(3 * window).Should(Equal([]int{1, 1}))
		Consistently(known, "2s").Should(Equal([]int{1, 1}))
		all[0].learnLimits(sendlimit.Limits{d.engines[0].ID: {Service: "lm", Started: 1, Rate: rate}}) // from an instance that is behind
		Expect(known()).To(Equal([]int{1, 1}))
	})

	It("are free again with the first response that names no limit", func() {
		d := newDeployment(1, 1)
		limited(d)
		gw := d.start("entry-1", nil)
		request := func() { status("POST", gw.address, "/chat/1", northKey, nil, "X-Pomelocross-Model", model) }
		request()
		Eventually(func() int { request(); return len(d.engines[0].Arrivals()) }).WithTimeout(2*window).Should(BeNumerically(">=", 4), "a share is granted")
		Expect(gw.limits.Limits(gw.clock.Now())).To(HaveLen(1))
		d.engines[0].SetLimit("")
		Eventually(func() sendlimit.Limits { request(); return gw.limits.Limits(gw.clock.Now()) }).WithTimeout(window).Should(BeEmpty())
		Expect(submit(gw.address, "l1", batchBody(100, 1))).To(Equal(http.StatusAccepted))
		results(gw.address, "l1", 100)
		Expect(greatestInWindow(d.engines[0], window)).To(BeNumerically(">", 4*allowed))
	})

	It("are not limited otherwise", func() {
		d := newDeployment(1, 2)
		gw := d.start("entry-1", nil)
		Expect(submit(gw.address, "l1", batchBody(100, 1))).To(Equal(http.StatusAccepted))
		results(gw.address, "l1", 100)
		Expect(greatestInWindow(d.engines[0], window)).To(BeNumerically(">", 4*allowed))
	})
})
