package gateway

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// The end of a batch was answered 503, which promises that it has not taken effect, though the store
// had carried it out.
var _ = Describe("The end of a batch of which the store's response is lost", func() {
	It("is answered without a promise, and can be repeated", func() {
		d := newDeployment(0, 0)
		gw := d.start("entry-1", nil)
		Expect(submit(gw.address, "l", batchBody(2, 1))).To(Equal(http.StatusAccepted))
		d.store.SetFault(func(r *http.Request) standin.Fault {
			if r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, "/objects/batches/") {
				return standin.ReplyLost
			}
			return standin.None
		})
		Expect(status("DELETE", gw.address, "/lots/l", northKey, nil)).To(Equal(http.StatusGatewayTimeout))
		d.store.SetFault(nil)
		Eventually(func() int { return status("DELETE", gw.address, "/lots/l", northKey, nil) }).Should(Equal(http.StatusOK))
	})
})
