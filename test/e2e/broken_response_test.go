package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
	"github.com/pomelocross/pomelocross/objects"
)

var _ = Describe("A plain service in trouble", func() {
	// uploadBytes is less than the largest body, and more than the buffers of the kernel can hold.
	const uploadBytes = 7 << 20
	// uploadPause is long enough for a client to fill the buffers of the kernel.
	const uploadPause = 50 * time.Millisecond

	// send writes a response and ends the connection without reading the request.
	send := func(text string) rawserver.Respond {
		return func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, text) // the instance may have closed the connection
			time.Sleep(uploadPause)
			_ = conn.(*net.TCPConn).CloseWrite()
			time.Sleep(uploadPause)
			_ = conn.Close()
		}
	}

	DescribeTable("gives callers no success and no promise", func(bodyBytes int, respond rawserver.Respond) {
		d := newDeployment("botiquin")
		for n := range 3 { // a service that has failed gets no request for a while
			address, closeListener, err := rawserver.ListenEarly(func(conn net.Conn, r *http.Request) {
				if r.Method == http.MethodPost {
					respond(conn, r)
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") // as above
			})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(closeListener)
			d.addMember(objects.Member{Name: fmt.Sprint("refill-", n), Role: objects.RoleUpstream, Service: "refill-check", Domain: "mty-a", Address: address, Cost: objects.CostDear})
		}
		inst := d.startDaemon("entry-a", "mty-a")
		var got response
		Eventually(func() string { // until the services are known
			got = inst.do(request{method: "POST", path: "/orders", key: demoKey("desk"), body: strings.Repeat("u", bodyBytes)})
			return got.body
		}).ShouldNot(ContainSubstring(`"notRun":true`))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
		Expect(got.body).To(ContainSubstring(`"notRun":false`))
	},
		Entry("after the begin of a response without a length, while the upload is written", uploadBytes, send("HTTP/1.1 200 OK\r\n\r\npart")),
		Entry("after status 000", 1, send("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok")),
		Entry("after a field name with a blank", 1, send("HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok")),
		Entry("after a length whose name ends with a blank", 1, send("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok")),
		Entry("after a response that is cut", 1, send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")),
	)
})
