package e2e

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
)

var _ = Describe("The trainer API", func() {
	It("gives the same responses, with specific errors, at the home of a run and at other instances", func() {
		d := newRolloutDeployment()
		key := demoKey("restockplans")
		Eventually(d.home).ShouldNot(BeNil())
		create := `{"run":"plans","model":"restock","maxStaleness":1,"batchSamples":%d}`
		step := `{"step":1,"weightVersion":1,"groups":[{"id":"g","prompt":"p","samples":1,"maxTokens":%d}]}`
		calls := []struct {
			method, path, key, body string
			status                  int
			contains                string
		}{
			{"POST", "/v1/runs", key, fmt.Sprintf(create, 4), 201, `"plans"`},
			{"POST", "/v1/runs", key, fmt.Sprintf(create, 8), 409, "run_exists"},
			{"POST", "/v1/runs", demoKey("audits"), fmt.Sprintf(create, 4), 409, "run_exists"},
			{"GET", "/v1/runs/plans", demoKey("audits"), "", 404, "no_run"},
			{"POST", "/v1/runs/plans/steps", key, fmt.Sprintf(step, 2), 202, ""},
			{"POST", "/v1/runs/plans/steps", key, fmt.Sprintf(step, 2), 202, ""},
			{"POST", "/v1/runs/plans/steps", key, fmt.Sprintf(step, 3), 409, "step_exists"},
			{"POST", "/v1/runs/plans/pull", key, `{"consumed":9}`, 409, "batch 9 was named as consumed; the run has 0 consumed"},
			{"POST", "/v1/runs/plans/pull", key, `{"waitSeconds":61}`, 400, "bad_request"},
			{"POST", "/v1/runs/plans/pull", key, `{"waitSeconds":20}`, 200, `"stepWhole":true`},
			{"GET", "/v1/runs/plans", key, "", 200, `"lastBatch":1`},
		}
		for _, c := range calls {
			for _, inst := range []*daemon{d.a, d.b, d.c} {
				got := inst.do(request{method: c.method, path: c.path, key: c.key, body: c.body})
				Expect(got.status).To(Equal(c.status), "%s %s at %s: %s", c.method, c.path, inst.name, got.body)
				Expect(got.body).To(ContainSubstring(c.contains))
			}
		}
		Expect(d.c.do(request{method: "DELETE", path: "/v1/runs/plans", key: key}).status).To(Equal(204))
		Expect(d.b.do(request{method: "GET", path: "/v1/runs/plans", key: key}).status).To(Equal(404))
	})

	DescribeTable("ends a waiting pull when its key is withdrawn", func(choose func(*rolloutDeployment) *daemon) {
		d := newRolloutDeployment()
		Eventually(d.home).ShouldNot(BeNil())
		inst := choose(d)
		done := make(chan response, 1)
		go func() {
			defer GinkgoRecover()
			done <- inst.do(request{method: "POST", path: "/v1/runs/plans/pull", key: demoKey("restockplans"), body: `{"waitSeconds":60}`})
		}()
		changed := *d.bundle
		changed.Keys = slices.DeleteFunc(slices.Clone(changed.Keys), func(k contract.Key) bool { return k.ID == "restockplans" })
		d.apply(&changed)
		var got response
		Eventually(done).Should(Receive(&got))
		Expect(got.status).To(Equal(401), got.body)
	},
		Entry("at the home", (*rolloutDeployment).home),
		Entry("at another instance", func(d *rolloutDeployment) *daemon { return d.others(d.home())[0] }),
	)
})
