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

const upstreamsRole = "upstreams-mty-a"

// receivedOrders returns all orders for a domain that stand-ins received, by time.
func (d *deployment) receivedOrders(domain string) []journal.Order {
	parts := [][]journal.Order{d.platform.Journal(domain)}
	for _, m := range d.members {
		if e := d.engines[m.Name]; e != nil && m.Domain == domain {
			parts = append(parts, e.Journal())
		}
	}
	return journal.Merge(parts...)
}

// expectNoOverlappingOrders checks that the orders of different holders do not overlap
// in time.
func (d *deployment) expectNoOverlappingOrders(domain string) {
	GinkgoHelper()
	all := d.receivedOrders(domain)
	Expect(journal.EpochViolations(all)).To(BeEmpty(), "in %v", all)
}

// expectOneProcessPerEpoch checks that all intents of an epoch are from one process.
func (d *deployment) expectOneProcessPerEpoch() {
	GinkgoHelper()
	intents, err := d.store().Watch(timeoutContext(time.Second), objects.KindIntent, 0, 0)
	Expect(err).NotTo(HaveOccurred())
	Expect(intents.Objects).NotTo(BeEmpty())
	processes := map[int64]lease.Identity{}
	for _, o := range intents.Objects {
		var intent lease.Intent
		Expect(json.Unmarshal(o.Value, &intent)).To(Succeed())
		first, known := processes[intent.Epoch]
		Expect(!known || first == intent.Holder).To(BeTrue(), "epoch %d has intents of two processes, %v and %v", intent.Epoch, first, intent.Holder)
		processes[intent.Epoch] = intent.Holder
	}
}

// publishWeights publishes a weight version of a model as the step of a trainer does.
func (d *deployment) publishWeights(model string, version int64) {
	GinkgoHelper()
	Eventually(func() error {
		o, err := d.store().Get(timeoutContext(time.Second), objects.KindWeights, model)
		if err != nil && o.Version != 0 {
			return err
		}
		_, err = d.store().Put(timeoutContext(time.Second), objects.KindWeights, model, o.Version, version)
		return err
	}).Should(Succeed())
}

// allEnginesOrderedBy reports whether every engine received an order of a holder to
// load a version.
func (d *deployment) allEnginesOrderedBy(holder string, version int64) bool {
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

// holder returns the daemon that reports to hold a role, or nil.
func (d *deployment) holder(role string) *daemon {
	for _, inst := range d.daemons {
		if inst.holds(role) {
			return inst
		}
	}
	return nil
}

func (inst *daemon) holds(role string) bool {
	s, err := inst.status()
	return err == nil && slices.Contains(s.Roles, role)
}

// hasCounter reports whether the metrics of the daemon have a line of a counter with all
// of the given labels.
func (inst *daemon) hasCounter(name string, labels ...string) bool {
	got, err := http.Get("http://" + inst.admin + "/metrics")
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

// hasAbandonedOrder reports whether the daemon counted an intent or order that it did
// not carry out.
func (inst *daemon) hasAbandonedOrder() bool {
	for _, outcome := range []string{"not sent", "conflict", "unknown"} {
		if inst.hasCounter("pomelocross_orders", `outcome="`+outcome+`"`) {
			return true
		}
	}
	return false
}

func isIntentWrite(r *http.Request) bool {
	return r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/v1/objects/intent/"+upstreamsRole)
}

func isOrder(r *http.Request) bool { return r.URL.Path == "/v1/orders" }

var _ = Describe("At most one holder gives orders", func() {
	var (
		d             *deployment
		first, second *daemon
	)

	startDeployment := func(fences bool) {
		d = newDeployment("botiquin")
		d.platform.SetFaults(standin.Faults{FenceScale: fences})
		for _, name := range []string{"lm-1", "lm-2"} {
			d.addEngine(name, "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond, LoadTime: 50 * time.Millisecond, Fences: fences})
		}
		a, b := d.startDaemon("entry-a", "mty-a"), d.startDaemon("entry-b", "mty-a")
		Eventually(func() *daemon { first = d.holder(upstreamsRole); return first }).ShouldNot(BeNil())
		second = a
		if first == a {
			second = b
		}
		Eventually(func() int { return len(d.platform.Record().Scale) }).Should(BeNumerically(">=", 2))
	}

	// takeOver waits until the second instance has taken the role and given orders while
	// the first is suspended, then resumes the first and waits for its next decision.
	takeOver := func(version int64) {
		Eventually(func() bool { return second.holds(upstreamsRole) }).Should(BeTrue())
		d.publishWeights("restock", version)
		Eventually(func() bool { return d.allEnginesOrderedBy(second.name, version) }).Should(BeTrue(), "%v", d.receivedOrders("mty-a"))
		first.resume()
		Eventually(func() bool {
			return first.hasAbandonedOrder() || len(journal.EpochViolations(d.receivedOrders("mty-a"))) > 0
		}).Should(BeTrue())
		Eventually(func() bool { return first.holds(upstreamsRole) }).Should(BeFalse())
		d.expectNoOverlappingOrders("mty-a")
	}

	DescribeTable("when the holder is suspended",
		func(fences bool, setHold func() *hold.Held) {
			startDeployment(fences)
			held := setHold()
			d.publishWeights("restock", 2)
			Eventually(held.Reached).Should(BeClosed())
			first.suspend()
			held.Release()
			takeOver(3)
		},
		Entry("before its intent is stored, upstreams refuse old epochs", true, func() *hold.Held { return d.platform.Holds.Next(hold.Arrived, isIntentWrite) }),
		Entry("before its intent is stored, upstreams ignore epochs", false, func() *hold.Held { return d.platform.Holds.Next(hold.Arrived, isIntentWrite) }),
		Entry("between intent and send, upstreams refuse old epochs", true, func() *hold.Held { return d.platform.Holds.Next(hold.Answering, isIntentWrite) }),
		Entry("between intent and send, upstreams ignore epochs", false, func() *hold.Held { return d.platform.Holds.Next(hold.Answering, isIntentWrite) }),
		Entry("during the send, upstreams refuse old epochs", true, func() *hold.Held { return d.engines["lm-1"].Holds.Next(hold.Arrived, isOrder) }),
		Entry("during the send, upstreams ignore epochs", false, func() *hold.Held { return d.engines["lm-1"].Holds.Next(hold.Arrived, isOrder) }),
	)

	It("when responses to lease renewals are lost, and it keeps the role", func() {
		startDeployment(false)
		for version := int64(2); version < 6; version++ {
			d.platform.SetFaults(standin.Faults{LoseAnswers: 2, LoseKind: objects.KindLease})
			d.publishWeights("restock", version)
			Eventually(func() bool { return d.allEnginesOrderedBy(first.name, version) }).Should(BeTrue())
		}
		d.expectNoOverlappingOrders("mty-a")
		for _, o := range d.receivedOrders("mty-a") {
			Expect(o.Epoch).To(Equal(int64(1)), "%v", o)
		}
	})

	It("when the holder is cut off from the platform and continues to serve", func() {
		startDeployment(false)
		for _, e := range d.engines {
			e.SetFaults(engine.Faults{FailLoads: true})
		}
		d.publishWeights("restock", 2)
		Eventually(func() bool { return d.allEnginesOrderedBy(first.name, 2) }).Should(BeTrue())
		first.platformRelay.setBlackholed(true)
		Eventually(func() bool { return second.holds(upstreamsRole) }).Should(BeTrue())
		Expect(first.holds(upstreamsRole)).To(BeFalse())
		Eventually(func() bool { return d.allEnginesOrderedBy(second.name, 2) }).Should(BeTrue())
		Consistently(func() int { return first.complete(demoKey("fabricas"), "x", 1, false).status }, 4*time.Second, 50*time.Millisecond).Should(Equal(200))
		d.expectNoOverlappingOrders("mty-a")
		first.platformRelay.setBlackholed(false)
		Consistently(func() bool { return first.holds(upstreamsRole) }, time.Second).Should(BeFalse())
		d.expectNoOverlappingOrders("mty-a")
	})

	It("when several candidates compete for a released role", func() {
		startDeployment(false)
		c := d.startDaemon("entry-c", "mty-a")
		version := int64(2)
		for _, stopping := range []*daemon{first, second} {
			Eventually(func() bool { return stopping.holds(upstreamsRole) || c.holds(upstreamsRole) }).Should(BeTrue())
			stopping.terminate()
			Eventually(stopping.exited).Should(BeClosed())
			delete(d.daemons, stopping.name)
			var next *daemon
			Eventually(func() *daemon { next = d.holder(upstreamsRole); return next }).ShouldNot(BeNil())
			d.publishWeights("restock", version)
			Eventually(func() bool { return d.allEnginesOrderedBy(next.name, version) }).Should(BeTrue(), "%v", d.receivedOrders("mty-a"))
			version++
		}
		d.expectNoOverlappingOrders("mty-a")
	})

	It("when a suspended holder is replaced by an instance of the same name and then resumes", func() {
		startDeployment(false)
		first.suspend()
		replacement := d.launch(first.name, "mty-a")
		Eventually(replacement.ready).Should(BeTrue())
		var next *daemon
		Eventually(func() *daemon { next = d.holder(upstreamsRole); return next }).ShouldNot(BeNil())
		d.publishWeights("restock", 2)
		Eventually(func() bool { return d.allEnginesOrderedBy(next.name, 2) }).Should(BeTrue())
		first.resume()
		Eventually(func() bool { return first.holds(upstreamsRole) }).Should(BeFalse())
		d.publishWeights("restock", 3)
		Eventually(func() bool { return d.allEnginesOrderedBy(next.name, 3) }).Should(BeTrue())
		d.expectOneProcessPerEpoch()
	})
})

func readAll(r io.Reader) string {
	body, err := io.ReadAll(r)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}
