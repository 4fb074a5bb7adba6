package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/hold"
	"github.com/pomelocross/pomelocross/internal/standin/journal"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/objects"
)

const roleA = "upstreams-mty-a"

// journal returns all orders that any stand-in received for a domain, by time.
func (d *deployment) journal(domain string) []journal.Order {
	parts := [][]journal.Order{d.platform.Journal(domain)}
	for _, m := range d.members {
		if e := d.engines[m.Name]; e != nil && m.Domain == domain {
			parts = append(parts, e.Journal())
		}
	}
	return journal.Merge(parts...)
}

// expectOneOrderer checks that no two holders' orders overlap.
func (d *deployment) expectOneOrderer(domain string) {
	GinkgoHelper()
	all := d.journal(domain)
	Expect(journal.EpochViolations(all)).To(BeEmpty(), "in %v", all)
}

// expectOneIncarnation checks that each epoch's intents are of one process.
func (d *deployment) expectOneIncarnation() {
	GinkgoHelper()
	written, err := d.store().Watch(within(time.Second), objects.KindIntent, 0, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(written.Objects).NotTo(BeEmpty())
	processes := map[int64]lease.Identity{}
	for _, o := range written.Objects {
		var intent lease.Intent
		Expect(json.Unmarshal(o.Value, &intent)).To(Succeed())
		first, known := processes[intent.Epoch]
		Expect(!known || first == intent.Holder).To(BeTrue(), "epoch %d is of %v and %v", intent.Epoch, first, intent.Holder)
		processes[intent.Epoch] = intent.Holder
	}
}

// nameWeights names a weight version as a trainer's step does.
func (d *deployment) nameWeights(model string, version int64) {
	GinkgoHelper()
	Eventually(func() error {
		o, err := d.store().Get(within(time.Second), objects.KindWeights, model)
		if err != nil && o.Version != 0 {
			return err
		}
		_, err = d.store().Put(within(time.Second), objects.KindWeights, model, o.Version, version)
		return err
	}).Should(Succeed())
}

// orderedBy returns whether a holder's order to load a version was received by
// every engine of a domain.
func (d *deployment) orderedBy(holder string, version int64) bool {
	for _, e := range d.engines {
		found := false
		for _, o := range e.Record().Orders {
			found = found || (o.Holder == holder && o.WeightVersion == version)
		}
		if !found {
			return false
		}
	}
	return true
}

// holder returns the daemon that says it holds a role, or nil.
func (d *deployment) holder(role string) *daemon {
	for _, one := range d.daemons {
		if one.holds(role) {
			return one
		}
	}
	return nil
}

func (one *daemon) holds(role string) bool {
	s, err := one.status()
	return err == nil && slices.Contains(s.Roles, role)
}

// counter reports whether the daemon's metrics have a line of a counter with
// all of the given labels.
func (one *daemon) counter(name string, labels ...string) bool {
	got, err := http.Get("http://" + one.admin + "/metrics")
	if err != nil {
		return false
	}
	defer got.Body.Close()
	body := readAll(got.Body)
	for line := range strings.Lines(body) {
		if strings.HasPrefix(line, name) && !slices.ContainsFunc(labels, func(l string) bool { return !strings.Contains(line, l) }) {
			return true
		}
	}
	return false
}

// gaveUp reports whether the daemon counted an intent or order that it did not
// carry out.
func (one *daemon) gaveUp() bool {
	for _, outcome := range []string{"not sent", "conflict", "unknown"} {
		if one.counter("pomelocross_orders", `outcome="`+outcome+`"`) {
			return true
		}
	}
	return false
}

func isIntent(r *http.Request) bool {
	return r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/v1/objects/intent/"+roleA)
}

func isOrder(r *http.Request) bool { return r.URL.Path == "/v1/orders" }

var _ = Describe("One orderer", func() {
	var (
		d             *deployment
		first, second *daemon
	)

	start := func(fences bool) {
		d = newDeployment("botiquin")
		d.platform.SetFaults(standin.Faults{FenceScale: fences})
		for _, name := range []string{"lm-1", "lm-2"} {
			d.addEngine(name, "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond, LoadTime: 50 * time.Millisecond, Fences: fences})
		}
		a, b := d.startDaemon("entry-a", "mty-a"), d.startDaemon("entry-b", "mty-a")
		Eventually(func() *daemon { first = d.holder(roleA); return first }).ShouldNot(BeNil())
		second = a
		if first == a {
			second = b
		}
		Eventually(func() int { return len(d.platform.Record().Scale) }).Should(BeNumerically(">=", 2))
	}

	// overtake lets the second instance take the role and give orders while the
	// first is stopped, then lets the first go on and waits for its next decision.
	overtake := func(version int64) {
		Eventually(func() bool { return second.holds(roleA) }).Should(BeTrue())
		d.nameWeights("restock", version)
		Eventually(func() bool { return d.orderedBy(second.name, version) }).Should(BeTrue(), "%v", d.journal("mty-a"))
		first.thaw()
		Eventually(func() bool { return first.gaveUp() || len(journal.EpochViolations(d.journal("mty-a"))) > 0 }).Should(BeTrue())
		Eventually(func() bool { return first.holds(roleA) }).Should(BeFalse())
		d.expectOneOrderer("mty-a")
	}

	DescribeTable("is kept when the holder is stopped",
		func(fences bool, hold func() *hold.Held) {
			start(fences)
			held := hold()
			d.nameWeights("restock", 2)
			Eventually(held.Reached).Should(BeClosed())
			first.freeze()
			held.Release()
			overtake(3)
		},
		Entry("before its intent is stored, upstreams refuse old epochs", true, func() *hold.Held { return d.platform.Holds.Next(hold.Arrived, isIntent) }),
		Entry("before its intent is stored, upstreams ignore epochs", false, func() *hold.Held { return d.platform.Holds.Next(hold.Arrived, isIntent) }),
		Entry("between intent and send, upstreams refuse old epochs", true, func() *hold.Held { return d.platform.Holds.Next(hold.Answering, isIntent) }),
		Entry("between intent and send, upstreams ignore epochs", false, func() *hold.Held { return d.platform.Holds.Next(hold.Answering, isIntent) }),
		Entry("inside the send, upstreams refuse old epochs", true, func() *hold.Held { return d.engines["lm-1"].Holds.Next(hold.Arrived, isOrder) }),
		Entry("inside the send, upstreams ignore epochs", false, func() *hold.Held { return d.engines["lm-1"].Holds.Next(hold.Arrived, isOrder) }),
	)

	It("is kept over lost renewal answers, without losing the role", func() {
		start(false)
		for version := int64(2); version < 6; version++ {
			d.platform.SetFaults(standin.Faults{LoseAnswers: 2, LoseKind: objects.KindLease})
			d.nameWeights("restock", version)
			Eventually(func() bool { return d.orderedBy(first.name, version) }).Should(BeTrue())
		}
		d.expectOneOrderer("mty-a")
		for _, o := range d.journal("mty-a") {
			Expect(o.Epoch).To(Equal(int64(1)), "%v", o)
		}
	})

	It("is kept when the holder is cut off from the platform and goes on serving", func() {
		start(false)
		for _, e := range d.engines {
			e.SetFaults(engine.Faults{FailLoads: true})
		}
		d.nameWeights("restock", 2)
		Eventually(func() bool { return d.orderedBy(first.name, 2) }).Should(BeTrue())
		first.platform.setSilent(true)
		Eventually(func() bool { return second.holds(roleA) }).Should(BeTrue())
		Expect(first.holds(roleA)).To(BeFalse())
		Eventually(func() bool { return d.orderedBy(second.name, 2) }).Should(BeTrue())
		Consistently(func() int { return first.complete(demoKey("fabricas"), "x", 1, false).status }, 4*time.Second, 50*time.Millisecond).Should(Equal(200))
		d.expectOneOrderer("mty-a")
		first.platform.setSilent(false)
		Consistently(func() bool { return first.holds(roleA) }, time.Second).Should(BeFalse())
		d.expectOneOrderer("mty-a")
	})

	It("is kept when several candidates race for a role that is given up", func() {
		start(false)
		c := d.startDaemon("entry-c", "mty-a")
		version := int64(2)
		for _, leaver := range []*daemon{first, second} {
			Eventually(func() bool { return leaver.holds(roleA) || c.holds(roleA) }).Should(BeTrue())
			leaver.terminate()
			Eventually(leaver.exited).Should(BeClosed())
			delete(d.daemons, leaver.name)
			var next *daemon
			Eventually(func() *daemon { next = d.holder(roleA); return next }).ShouldNot(BeNil())
			d.nameWeights("restock", version)
			Eventually(func() bool { return d.orderedBy(next.name, version) }).Should(BeTrue(), "%v", d.journal("mty-a"))
			version++
		}
		d.expectOneOrderer("mty-a")
	})

	It("is kept when a stopped holder is replaced under its name and goes on", func() {
		start(false)
		first.freeze()
		again := d.launch(first.name, "mty-a")
		Eventually(again.ready).Should(BeTrue())
		var next *daemon
		Eventually(func() *daemon { next = d.holder(roleA); return next }).ShouldNot(BeNil())
		d.nameWeights("restock", 2)
		Eventually(func() bool { return d.orderedBy(next.name, 2) }).Should(BeTrue())
		first.thaw()
		Eventually(func() bool { return first.holds(roleA) }).Should(BeFalse())
		d.nameWeights("restock", 3)
		Eventually(func() bool { return d.orderedBy(next.name, 3) }).Should(BeTrue())
		d.expectOneIncarnation()
	})
})

func readAll(r io.Reader) string {
	body, err := io.ReadAll(r)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}
