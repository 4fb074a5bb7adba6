package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/service"
)

var _ = Describe("A request with side effects", func() {
	var (
		d       *deployment
		desk    *service.Server
		a, b, c *daemon
	)

	// place sends an order with its idempotency key as its body, which identifies it in
	// the record of the service.
	place := func(inst *daemon, key string) response {
		return inst.do(request{method: "POST", path: "/orders", key: demoKey("desk"), body: key, header: map[string]string{"Idempotency-Key": key}})
	}
	// runCount returns how often the service ran the order with a key.
	runCount := func(key string) (n int) {
		for _, received := range desk.Record() {
			if received.Body == key {
				n++
			}
		}
		return n
	}

	BeforeEach(func() {
		d = newDeployment("botiquin")
		desk = d.addService("refill-a", "refill-check", "mty-a")
		a, b, c = d.startDaemon("entry-a", "mty-a"), d.startDaemon("entry-b", "mty-a"), d.startDaemon("entry-c", "mty-a")
		for _, inst := range []*daemon{a, b, c} {
			Eventually(func() int { return place(inst, "warm "+inst.name).status }).Should(Equal(http.StatusOK))
		}
	})

	It("with an Idempotency-Key runs once, and all its attempts through any instance get the first response", func() {
		desk.SetFaults(service.Faults{Delay: 300 * time.Millisecond})
		responses := make([]response, 9)
		var wg sync.WaitGroup
		for n := range responses {
			wg.Go(func() { responses[n] = place([]*daemon{a, b, c}[n%3], "one") })
		}
		wg.Wait()
		for _, got := range responses {
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(got.body).To(Equal(responses[0].body))
		}
		Expect(runCount("one")).To(Equal(1))
		other := b.do(request{method: "POST", path: "/orders", key: demoKey("desk"), body: "two", header: map[string]string{"Idempotency-Key": "one"}})
		Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(runCount("two")).To(BeZero())
	})

	It("is found after an instance that held its record was killed", func() {
		const orders = 12
		for n := range orders {
			Expect(place(c, fmt.Sprint("order ", n)).status).To(Equal(http.StatusOK))
		}
		a.kill()
		for n := range orders {
			Expect(place(b, fmt.Sprint("order ", n)).status).To(Equal(http.StatusOK))
			Expect(runCount(fmt.Sprint("order ", n))).To(Equal(1))
		}
		for n := range orders {
			key := fmt.Sprint("later ", n)
			got := place(b, key)
			if got.status != http.StatusOK {
				Expect(got.body).To(ContainSubstring(`"notRun":true`))
				Expect(runCount(key)).To(BeZero())
			}
		}
		d.removeMember("entry-a")
		for n := range orders {
			key := fmt.Sprint("later ", n)
			Eventually(func() int { return place(c, key).status }).Should(Equal(http.StatusOK))
			Expect(runCount(key)).To(Equal(1))
		}
	})

	It("gets outcome_unknown and is not run again after the instance that ran it was killed", func() {
		desk.SetFaults(service.Faults{Delay: time.Second})
		go place(a, "lost")
		Eventually(func() int { return runCount("lost") }).Should(Equal(1))
		a.kill()
		for range 3 {
			for _, inst := range []*daemon{b, c} {
				got := place(inst, "lost")
				Expect(got.status).To(Equal(http.StatusConflict), got.body)
				Expect(got.body).To(And(ContainSubstring("outcome_unknown"), ContainSubstring(`"notRun":false`)))
			}
		}
		Expect(runCount("lost")).To(Equal(1))
	})

	It("never runs again on the other side of a network partition", func() {
		const orders = 6
		desk.SetFaults(service.Faults{Delay: 500 * time.Millisecond})
		var wg sync.WaitGroup
		for n := range orders {
			wg.Go(func() { place(a, fmt.Sprint("cut ", n)) })
		}
		Eventually(func() (n int) {
			for order := range orders {
				n += runCount(fmt.Sprint("cut ", order))
			}
			return n
		}).Should(Equal(orders))
		for _, inst := range []*daemon{a, b, c} {
			inst.peerRelay.setDisconnected(true)
		}
		for n := range orders {
			for _, inst := range []*daemon{b, c} {
				got := place(inst, fmt.Sprint("cut ", n))
				Expect(got.body).To(Or(ContainSubstring(`"notRun":false`), ContainSubstring("refill-a")))
			}
		}
		wg.Wait()
		desk.SetFaults(service.Faults{})
		for _, inst := range []*daemon{a, b, c} {
			inst.peerRelay.setDisconnected(false)
		}
		for n := range orders {
			key := fmt.Sprint("cut ", n)
			Eventually(func() string { return place(c, key).body }).Should(Or(ContainSubstring("refill-a"), ContainSubstring("outcome_unknown")))
			Expect(runCount(key)).To(Equal(1))
		}
	})

	It("without an Idempotency-Key runs at most once when the upstream closes the connection", func() {
		desk.SetFaults(service.Faults{RunThenCut: true})
		got := a.do(request{method: "POST", path: "/orders", key: demoKey("desk"), body: "bare"})
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.body).To(And(ContainSubstring("outcome_unknown"), ContainSubstring(`"notRun":false`)))
		Expect(runCount("bare")).To(Equal(1))
		Expect(strings.Contains(got.body, demoKey("desk"))).To(BeFalse())
	})
})
