package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
)

var _ = Describe("A second response that follows a response at once", func() {
	// net/http may reuse a connection before it reads what follows a response. Other callers got the
	// second response.
	It("is given to no caller, and each request is sent once", func(ctx SpecContext) {
		const callers, requests = 32, 100
		var received atomic.Int64
		plain := func(text string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		address, closeListener, err := rawserver.Listen(func() rawserver.Respond {
			return func(conn net.Conn, r *http.Request) {
				received.Add(1)
				_, _ = io.WriteString(conn, plain(r.URL.Path)+plain("other")) // the client may have closed it
			}
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(closeListener)
		client := NewClient()
		var all sync.WaitGroup
		var foreign, failed atomic.Int64
		for n := range callers {
			all.Go(func() {
				path := fmt.Sprint("/caller/", n)
				for range requests {
					answer, err := client.Plain(ctx, address, PlainRequest{Method: "POST", Path: path, Header: http.Header{}})
					if err != nil {
						GinkgoWriter.Println(err)
						failed.Add(1)
					} else if string(answer.Body) != path {
						foreign.Add(1)
					}
				}
			})
		}
		all.Wait()
		Expect(foreign.Load()).To(BeZero(), "responses to other requests")
		Expect(failed.Load()).To(BeZero(), "failed requests")
		Expect(received.Load()).To(BeEquivalentTo(callers * requests))
	})
})
