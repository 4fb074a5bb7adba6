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

var _ = Describe("A request with an Idempotency-Key", func() {
	var (
		d       *deployment
		desk    *service.Server
		a, b, c *daemon
	)

	// place sends an order; its body is its key, so that the record tells them apart.
	place := func(through *daemon, key string) answer {
		return through.do(call{method: "POST", path: "/orders", key: demoKey("desk"), body: key, header: map[string]string{"Idempotency-Key": key}})
	}
	runs := func(key string) (n int) {
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
		for _, one := range []*daemon{a, b, c} {
			Eventually(func() int { return place(one, "warm "+one.name).status }).Should(Equal(http.StatusOK))
		}
	})

	It("runs once and answers all its tries, through whichever instance, with the first answer", func() {
		desk.SetFaults(service.Faults{Delay: 300 * time.Millisecond})
		answers := make([]answer, 9)
		var trying sync.WaitGroup
		for n := range answers {
			trying.Go(func() { answers[n] = place([]*daemon{a, b, c}[n%3], "one") })
		}
		trying.Wait()
		for _, got := range answers {
			Expect(got.status).To(Equal(http.StatusOK), got.body)
			Expect(got.body).To(Equal(answers[0].body))
		}
		Expect(runs("one")).To(Equal(1))
		other := b.do(call{method: "POST", path: "/orders", key: demoKey("desk"), body: "two", header: map[string]string{"Idempotency-Key": "one"}})
		Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(runs("two")).To(BeZero())
	})

	It("is found again after one of its holders was killed", func() {
		const orders = 12
		for n := range orders {
			Expect(place(c, fmt.Sprint("order ", n)).status).To(Equal(http.StatusOK))
		}
		a.kill()
		for n := range orders {
			Expect(place(b, fmt.Sprint("order ", n)).status).To(Equal(http.StatusOK))
			Expect(runs(fmt.Sprint("order ", n))).To(Equal(1))
		}
		for n := range orders {
			key := fmt.Sprint("later ", n)
			got := place(b, key)
			if got.status != http.StatusOK {
				Expect(got.body).To(ContainSubstring(`"notRun":true`))
				Expect(runs(key)).To(BeZero())
			}
		}
		d.unlist("entry-a")
		for n := range orders {
			key := fmt.Sprint("later ", n)
			Eventually(func() int { return place(c, key).status }).Should(Equal(http.StatusOK))
			Expect(runs(key)).To(Equal(1))
		}
	})

	It("is told as outcome unknown, and never run again, after its runner was killed", func() {
		desk.SetFaults(service.Faults{Delay: time.Second})
		go place(a, "lost")
		Eventually(func() int { return runs("lost") }).Should(Equal(1))
		a.kill()
		for range 3 {
			for _, one := range []*daemon{b, c} {
				got := place(one, "lost")
				Expect(got.status).To(Equal(http.StatusConflict), got.body)
				Expect(got.body).To(And(ContainSubstring("outcome_unknown"), ContainSubstring(`"notRun":false`)))
			}
		}
		Expect(runs("lost")).To(Equal(1))
	})

	It("never runs on a second side of a cut", func() {
		const orders = 6
		desk.SetFaults(service.Faults{Delay: 500 * time.Millisecond})
		var first sync.WaitGroup
		for n := range orders {
			first.Go(func() { place(a, fmt.Sprint("cut ", n)) })
		}
		Eventually(func() (n int) {
			for order := range orders {
				n += runs(fmt.Sprint("cut ", order))
			}
			return n
		}).Should(Equal(orders))
		for _, one := range []*daemon{a, b, c} {
			one.inbound.setCut(true)
		}
		for n := range orders {
			for _, one := range []*daemon{b, c} {
				got := place(one, fmt.Sprint("cut ", n))
				Expect(got.body).To(Or(ContainSubstring(`"notRun":false`), ContainSubstring("refill-a")))
			}
		}
		first.Wait()
		desk.SetFaults(service.Faults{})
		for _, one := range []*daemon{a, b, c} {
			one.inbound.setCut(false)
		}
		for n := range orders {
			key := fmt.Sprint("cut ", n)
			Eventually(func() string { return place(c, key).body }).Should(Or(ContainSubstring("refill-a"), ContainSubstring("outcome_unknown")))
			Expect(runs(key)).To(Equal(1))
		}
	})

	It("without a key runs at most once when the upstream cuts the connection", func() {
		desk.SetFaults(service.Faults{RunThenCut: true})
		got := a.do(call{method: "POST", path: "/orders", key: demoKey("desk"), body: "bare"})
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(got.body).To(And(ContainSubstring("outcome_unknown"), ContainSubstring(`"notRun":false`)))
		Expect(runs("bare")).To(Equal(1))
		Expect(strings.Contains(got.body, demoKey("desk"))).To(BeFalse())
	})
})
