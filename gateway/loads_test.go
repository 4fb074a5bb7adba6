package gateway

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// loadingEngine is an engine whose report shows an order in progress while loading is set.
type loadingEngine struct {
	*standin.Engine
	loading atomic.Bool
	orders  atomic.Int64 // orders received while loading
}

// ServeHTTP implements http.Handler.
func (e *loadingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case !e.loading.Load():
	case r.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Busy": true, "Seq": 1, "Models": []map[string]any{{"Name": model, "Version": 1}}})
		return
	case r.URL.Path == "/order":
		e.orders.Add(1)
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.Engine.ServeHTTP(w, r)
}

var _ = Describe("Weight loads", func() {
	// A new holder of the control role let as many engines load as if none of the loads that
	// its predecessor had ordered were in progress.
	It("count those that the previous holder of the control role has ordered", func() {
		d := newDeployment(4, 5) // of which two may load at once
		var busy []*loadingEngine
		for _, e := range d.engines[:2] {
			b := &loadingEngine{Engine: e}
			b.loading.Store(true)
			busy = append(busy, b)
			d.store.Set("servers", e.ID, e.Registration(serve(b), "a", "ready"))
		}
		gw := d.start("entry-1", nil)
		Eventually(func() bool { _, held := gw.controlLease.Grant(0); return held }).WithTimeout(5 * time.Second).Should(BeTrue())
		d.store.Set("versions", model, map[string]any{"Model": model, "Version": 2})
		Eventually(func() int64 { return gw.versions.snapshot()[model] }).WithTimeout(5 * time.Second).Should(Equal(int64(2)))
		newest := func() int {
			n := 0
			for _, e := range d.engines {
				if e.Version(model) == 2 {
					n++
				}
			}
			return n
		}
		Consistently(newest).WithTimeout(time.Second).Should(BeZero())
		for _, b := range busy {
			Expect(b.orders.Load()).To(BeZero(), "orders that the engine refuses")
			b.loading.Store(false)
		}
		Eventually(newest).WithTimeout(8 * time.Second).Should(Equal(4))
	})
})
