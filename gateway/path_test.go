package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

var _ = Describe("Requests", func() {
	It("reach an upstream with the team's name and without the key", func() {
		d := newDeployment(0, 0)
		m := d.start("entry-1", nil)
		a, err := call("POST", m.front, "/kits/4?a=%2F", key, []byte("count"), "X-Pomelocross-Request-Id", "r1", "X-Pomelocross-Tenant", "forged")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusOK))
		Expect(string(a.Body)).To(Equal("desk answers /kits/4 with 5 bytes"))
		Expect(a.Header.Get("X-Pomelocross-Server-Seal")).To(Equal(standin.Seal("r1")))
		run := d.desk.Runs()[0]
		Expect([]string{run.ID, run.Team, run.Key}).To(Equal([]string{"r1", "north", ""}))
	})

	DescribeTable("are refused for what they lack", func(path, key string, body int, expected int) {
		d := newDeployment(0, 0)
		m := d.start("entry-1", nil)
		Expect(status("POST", m.front, path, key, make([]byte, body))).To(Equal(expected))
		Expect(d.desk.Runs()).To(BeEmpty())
	},
		Entry("no route", "/none/4", key, 0, http.StatusNotFound),
		Entry("an unknown key", "/kits/4", "guess", 0, http.StatusUnauthorized),
		Entry("no key", "/kits/4", "", 0, http.StatusUnauthorized),
		Entry("too large a body", "/kits/4", key, 2<<20, http.StatusRequestEntityTooLarge),
		Entry("a malformed batch", "/train/l1", key, 3, http.StatusBadRequest),
	)

	It("do not reach an upstream once connections are being closed", func() {
		d := newDeployment(0, 0)
		m := d.start("entry-1", nil)
		m.closing.Store(true) // as after the grace of a stop
		a, err := call("POST", m.front, "/kits/4", key, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(d.desk.Runs()).To(BeEmpty())
	})

	It("follow the configuration, which never goes back", func() {
		d := newDeployment(0, 0)
		m := d.start("entry-1", nil)
		d.configure(func(c map[string]any) {
			c["Tenants"] = []map[string]any{{"Name": "south", "ApiKeys": []string{other}}}
		})
		Eventually(func() int { return status("POST", m.front, "/kits/4", key, nil) }).Should(Equal(http.StatusUnauthorized))
		Expect(status("POST", m.front, "/kits/4", other, nil)).To(Equal(http.StatusOK))
		d.version = 0
		d.configure(nil)
		Consistently(func() int { return status("POST", m.front, "/kits/4", key, nil) }, "300ms").Should(Equal(http.StatusUnauthorized))
	})

	It("follow the configuration through another instance when the store turns this one away", func() {
		d := newDeployment(0, 0)
		helper, way := d.start("entry-1", nil), &door{to: d.store}
		m := d.start("entry-2", func(s *Settings) {
			s.Peers, s.Store = []string{helper.settings.PeerListen}, serve(way)
		})
		way.shut.Store(true)
		d.configure(func(c map[string]any) { c["Tenants"] = []map[string]any{} })
		Eventually(func() int { return status("POST", m.front, "/kits/4", key, nil) }).WithTimeout(4 * time.Second).Should(Equal(http.StatusUnauthorized))
		Expect(submit(m.front, "l1", lot(2, 1))).To(Equal(http.StatusUnauthorized))
	})

	It("batches too are accepted through another instance then", func() {
		d := newDeployment(1, 5)
		helper, way := d.start("entry-1", nil), &door{to: d.store}
		m := d.start("entry-2", func(s *Settings) {
			s.Peers, s.Store = []string{helper.settings.PeerListen}, serve(way)
		})
		way.shut.Store(true)
		Eventually(func() int { return submit(m.front, "l1", lot(2, 1)) }).WithTimeout(5 * time.Second).Should(Equal(http.StatusAccepted))
		expectWhole(results(m.front, "l1", 2), 2, 5)
	})
})

var _ = Describe("Streams", func() {
	It("go on at another engine under the first one's head when their engine breaks off", func() {
		d := newDeployment(2, 12)
		m := d.start("entry-1", nil)
		var broken atomic.Bool
		for _, e := range d.engines {
			e.SetFault(func(string) standin.Fault {
				if broken.CompareAndSwap(false, true) {
					return standin.Reset
				}
				return standin.None
			})
		}
		a, err := call("POST", m.front, "/chat/1", key, nil, "X-Pomelocross-Request-Id", "s1", "X-Pomelocross-Model", model, "X-Pomelocross-Deadline-Ms", "5000")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusOK))
		for n := range 12 {
			Expect(strings.Count(string(a.Body), "data: "+standin.EventData("s1", int64(n))+"\n")).To(Equal(1))
		}
		Expect(broken.Load()).To(BeTrue())
	})
})

var _ = Describe("Batches", func() {
	const items, events = 12, 20

	It("run whole, and show the same results at every instance", func() {
		d := newDeployment(3, events)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		Expect(submit(a.front, "l1", lot(items, 1))).To(Equal(http.StatusAccepted))
		Expect(submit(b.front, "l1", lot(items, 1))).To(Equal(http.StatusAccepted))
		expectWhole(results(b.front, "l1", items), items, events)
		fromA, _ := read(a.front, "l1", 0)
		fromB, _ := read(b.front, "l1", 0)
		Expect(fromA).To(Equal(fromB))
		for _, e := range d.engines {
			for _, run := range e.Runs() {
				Expect([]string{run.Team, run.Key}).To(Equal([]string{"north", ""}))
			}
		}
	})

	It("are hidden from other teams and unknown under other ids", func() {
		d := newDeployment(1, events)
		m := d.start("entry-1", nil)
		Expect(submit(m.front, "l1", lot(2, 1))).To(Equal(http.StatusAccepted))
		Expect(status("GET", m.front, "/lots/l1", other, nil)).To(Equal(http.StatusNotFound))
		Expect(status("GET", m.front, "/items/l1?Id=item-0", other, nil)).To(Equal(http.StatusNotFound))
		Expect(status("DELETE", m.front, "/lots/l1", other, nil)).To(Equal(http.StatusNotFound))
		Expect(status("GET", m.front, "/lots/none", key, nil)).To(Equal(http.StatusNotFound))
		Expect(status("GET", m.front, "/lots/l1", "guess", nil)).To(Equal(http.StatusUnauthorized))
	})

	It("give the bodies of their items", func() {
		d := newDeployment(1, events)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		Expect(submit(a.front, "l1", lot(2, 1))).To(Equal(http.StatusAccepted))
		for _, m := range []*member{a, b} {
			body, err := call("GET", m.front, "/items/l1?Id=item-1", key, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body.Body)).To(Equal("prompt"))
			Expect(status("GET", m.front, "/items/l1?Id=none", key, nil)).To(Equal(http.StatusNotFound))
		}
	})

	It("stop at once when they are ended through another instance", func() {
		d := newDeployment(1, 2000)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		Expect(submit(a.front, "l1", lot(items, 1))).To(Equal(http.StatusAccepted))
		Eventually(func() int { return len(d.engines[0].Runs()) }).Should(BeNumerically(">", 0))
		Expect(status("DELETE", b.front, "/lots/l1", key, nil)).To(Equal(http.StatusOK))
		Expect(status("DELETE", b.front, "/lots/l1", key, nil)).To(Equal(http.StatusOK))
		Eventually(func() int { return a.runner.Open() }).Should(BeZero())
		time.Sleep(150 * time.Millisecond) // requests that were on their way when the end came
		ran := len(d.engines[0].Runs())
		Consistently(func() int { return len(d.engines[0].Runs()) }, "400ms").Should(Equal(ran))
	})

	It("go on where they were, without an event twice, when their engines break off", func() {
		d := newDeployment(3, events)
		var faults atomic.Int32
		for _, e := range d.engines {
			e.SetFault(func(string) standin.Fault {
				if faults.Add(1)%3 == 0 {
					return standin.Reset
				}
				return standin.None
			})
		}
		m := d.start("entry-1", nil)
		Expect(submit(m.front, "l1", lot(items, 1))).To(Equal(http.StatusAccepted))
		expectWhole(results(m.front, "l1", items), items, events)
		resumed := 0
		for _, e := range d.engines {
			for _, run := range e.Runs() {
				if run.After >= 0 {
					resumed++
				}
			}
		}
		Expect(resumed).To(BeNumerically(">", 0))
	})

	It("of one team and model are run by one instance, whichever they reach", func() {
		d := newDeployment(2, 20)
		members := []*member{d.start("entry-1", nil), d.start("entry-2", nil)}
		knowEachOther(members...)
		for n := range 4 {
			id := fmt.Sprint("l", n)
			Expect(submit(members[n%2].front, id, lot(2, 1))).To(Equal(http.StatusAccepted))
			Expect(members[0].runner.Runs(id)).To(Equal(members[0].runner.Runs("l0")))
			Expect(members[0].runner.Runs(id)).NotTo(Equal(members[1].runner.Runs(id)))
			expectWhole(results(members[(n+1)%2].front, id, 2), 2, 20)
		}
	})

	It("are handed over with the texts made so far when their instance stops", func() {
		const long = 400
		d := newDeployment(2, long)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		knowEachOther(a, b)
		Expect(submit(a.front, "l1", lot(4, 1))).To(Equal(http.StatusAccepted))
		if b.runner.Runs("l1") {
			a, b = b, a
		}
		made := func() (events int) {
			for _, run := range append(d.engines[0].Runs(), d.engines[1].Runs()...) {
				events += run.Events
			}
			return events
		}
		Eventually(made).WithTimeout(5 * time.Second).Should(BeNumerically(">", 200))
		a.stop()
		expectWhole(results(b.front, "l1", 4), 4, long)
		resumed := 0
		for _, e := range d.engines {
			for _, run := range e.Runs() {
				if run.After > 0 {
					resumed++
				}
			}
		}
		Expect(resumed).To(BeNumerically(">=", 4))
	})

	It("are refused truthfully while the store is away, and accepted when it is back", func() {
		d := newDeployment(1, events)
		m := d.start("entry-1", nil)
		var away atomic.Bool
		away.Store(true)
		d.store.SetFault(func(*http.Request) standin.Fault {
			if away.Load() {
				return standin.Unavailable
			}
			return standin.None
		})
		a, err := call("POST", m.front, "/train/l1", key, lot(2, 1), "X-Pomelocross-Request-Id", "l1")
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
		away.Store(false)
		Expect(d.store.Names("batches")).To(BeEmpty())
		Eventually(func() int { return submit(m.front, "l1", lot(2, 1)) }).WithTimeout(5 * time.Second).Should(Equal(http.StatusAccepted))
		expectWhole(results(m.front, "l1", 2), 2, events)
	})

	It("wait for engines with the weights that they allow", func() {
		d := newDeployment(2, events)
		m := d.start("entry-1", nil)
		Expect(submit(m.front, "l1", lot(4, 2))).To(Equal(http.StatusAccepted))
		Consistently(func() int { return len(d.engines[0].Runs()) + len(d.engines[1].Runs()) }, "300ms").Should(BeZero())
		d.store.Set("versions", model, map[string]any{"Model": model, "Version": 2})
		expectWhole(results(m.front, "l1", 4), 4, events)
		got, _ := read(m.front, "l1", 0)
		for _, r := range got.Results {
			Expect(r.Versions).To(Equal([]int64{2}))
		}
	})
})

var _ = Describe("The control role", func() {
	It("loads what trainers name, under rising fences, also after its holder has stopped", func() {
		d := newDeployment(2, 5)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		d.store.Set("versions", model, map[string]any{"Model": model, "Version": 2})
		serving := func(version int64) func() bool {
			return func() bool { return d.engines[0].Version(model) == version && d.engines[1].Version(model) == version }
		}
		Eventually(serving(2)).WithTimeout(8 * time.Second).Should(BeTrue())
		first, second := a, b
		if _, held := a.keeper.Grant(0); !held {
			first, second = b, a
		}
		first.stop()
		Eventually(func() bool { _, held := second.keeper.Grant(0); return held }).WithTimeout(8 * time.Second).Should(BeTrue())
		d.store.Set("versions", model, map[string]any{"Model": model, "Version": 3})
		Eventually(serving(3)).WithTimeout(8 * time.Second).Should(BeTrue())
		for _, e := range d.engines {
			fences := e.Fences()
			for n := 1; n < len(fences); n++ {
				Expect(fences[n]).To(BeNumerically(">=", fences[n-1]))
			}
		}
	})

	It("reports each window's usage once with the counts of all instances", func() {
		d := newDeployment(0, 0)
		a, b := d.start("entry-1", nil), d.start("entry-2", nil)
		begun := time.Now()
		for n := 0; time.Since(begun) < 1500*time.Millisecond; n++ {
			Expect(status("POST", []*member{a, b}[n%2].front, "/kits/4", []string{key, other}[n%3%2], nil)).To(Equal(http.StatusOK))
			time.Sleep(10 * time.Millisecond)
		}
		truth := map[int64]map[string]int64{}
		for _, run := range d.desk.Runs() {
			window := a.meter.window(run.At)
			if truth[window] == nil {
				truth[window] = map[string]int64{}
			}
			truth[window][run.Team]++
		}
		Eventually(func() int { return len(d.cloud.Usage()) }).WithTimeout(10 * time.Second).Should(Equal(len(truth)))
		for window, reports := range d.cloud.Usage() {
			Expect(reports).To(HaveLen(1))
			for team, count := range truth[window] {
				Expect(reports[0][team]).To(BeNumerically("~", count, 1), fmt.Sprint(window, team))
			}
		}
	})

	It("keeps the figures that an earlier holder has frozen", func(ctx SpecContext) {
		d := newDeployment(0, 0)
		a, b := d.start("entry-1", func(s *Settings) { s.UsageWindow = time.Hour }), d.start("entry-2", func(s *Settings) { s.UsageWindow = time.Hour })
		a.meter.count("north", a.wall.Now())
		a.publishNow(ctx)
		window := a.meter.window(a.wall.Now())
		first, err := a.freeze(ctx, "w", window)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Counts).To(Equal(map[string]int64{"north": 1}))
		b.meter.count("south", b.wall.Now())
		b.publishNow(ctx)
		second, err := b.freeze(ctx, "w", window)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Counts).To(Equal(first.Counts))
	})
})
