package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// None of the results was listed, in calm: all were complete before the first chunk was due, and
// took more than a value of the store.
var _ = Describe("A batch of texts in a markup language that engines complete at once", func() {
	It("has all results listed, and so has the next one", func() {
		const items = 72
		text := strings.Repeat("<b>8</b>", 1500)
		address := earlyEngine(func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nX-Pomelocross-Weight-Versions: 1\r\nConnection: close\r\n\r\nid: 0\ndata: %s\n\n", signedHead(r), text) // the instance may have left
			_ = conn.Close()
		})
		d := newDeployment(0, 0)
		for n := range 8 {
			e := &standin.Engine{ID: fmt.Sprint("engine-", n), Service: "lm", Slots: 16}
			e.SetVersion(model, 1)
			d.store.Set("servers", e.ID, e.Registration(address, "a", "ready"))
		}
		gw := d.start("entry-1", nil)
		for _, id := range []string{"l1", "l2"} {
			Expect(submit(gw.address, id, batchBody(items, 1))).To(Equal(http.StatusAccepted))
			listed := map[string]string{}
			Eventually(func() int {
				p, code := read(gw.address, id, len(listed))
				Expect(code).To(Equal(http.StatusOK))
				for _, r := range p.Results {
					listed[r.Id] = r.Output
				}
				return len(listed)
			}).WithTimeout(15 * time.Second).Should(Equal(items))
			for _, output := range listed {
				Expect(output).To(Equal(text))
			}
			Expect(status("DELETE", gw.address, "/lots/"+id, northKey, nil)).To(Equal(http.StatusOK))
		}
	})
})
