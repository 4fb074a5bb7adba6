package objects_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
	"github.com/pomelocross/pomelocross/objects"
)

// storeCall is a call of a client, with the body of a successful response.
type storeCall struct {
	name, body string
	do         func(context.Context, *objects.Client) error
}

var storeCalls = []storeCall{
	{"get", "{}", func(ctx context.Context, c *objects.Client) error { _, err := c.Get(ctx, "kind", "name"); return err }},
	{"put", "{}", func(ctx context.Context, c *objects.Client) error {
		_, err := c.Put(ctx, "kind", "name", 1, 1)
		return err
	}},
	{"delete", "{}", func(ctx context.Context, c *objects.Client) error { return c.Delete(ctx, "kind", "name", 1) }},
	{"list", "{}", func(ctx context.Context, c *objects.Client) error { _, err := c.List(ctx, "kind"); return err }},
	{"watch", "{}", func(ctx context.Context, c *objects.Client) error {
		_, err := c.Watch(ctx, "kind", 1, time.Second)
		return err
	}},
	{"list of instances", "[]", func(ctx context.Context, c *objects.Client) error { _, err := c.Members(ctx); return err }},
}

// brokenResponses are invalid or truncated responses. @BODY is replaced by the length and body of a
// successful response.
var brokenResponses = []struct{ name, text string }{
	{"status 000", "HTTP/1.1 000 OK\r\n@BODY"},
	{"version 2.0", "HTTP/2.0 200 OK\r\n@BODY"},
	{"a blank in a field name", "HTTP/1.1 200 OK\r\nX Y: z\r\n@BODY"},
	{"the end before the end of the body", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{}"},
	{"a refusal with a blank in a field name", "HTTP/1.1 429 Too Many Requests\r\nX Y: z\r\nContent-Length: 0\r\n\r\n"},
	{"a conflict that is cut", "HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\nbusy"},
}

var _ = Describe("A broken response of the platform", func() {
	for _, broken := range brokenResponses {
		for _, call := range storeCalls {
			It(fmt.Sprintf("leaves the outcome of a call unknown: %s to the call %s", broken.name, call.name), func(ctx SpecContext) {
				text := strings.ReplaceAll(broken.text, "@BODY", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(call.body), call.body))
				address, closeListener, err := rawserver.ListenText(text)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(closeListener)
				err = call.do(ctx, objects.NewClient(address, nil))
				Expect(err).To(HaveOccurred())
				Expect(objects.OutcomeOf(err)).To(Equal(objects.Unknown))
			})
		}
	}
})

var _ = Describe("A redirect of the platform", func() {
	for _, call := range storeCalls {
		It("is not followed by the call "+call.name, func(ctx SpecContext) {
			var received atomic.Int64
			listen := func(text string) string {
				address, closeListener, err := rawserver.Listen(func() rawserver.Respond {
					return func(conn net.Conn, _ *http.Request) {
						received.Add(1)
						_, _ = io.WriteString(conn, text) // the client may have closed the connection
					}
				})
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(closeListener)
				return address
			}
			other := listen(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(call.body), call.body))
			redirecting := listen("HTTP/1.1 307 Temporary Redirect\r\nLocation: http://" + other + "/\r\nContent-Length: 0\r\n\r\n")
			Expect(call.do(ctx, objects.NewClient(redirecting, nil))).NotTo(Succeed())
			Expect(received.Load()).To(BeEquivalentTo(1))
		})
	}
})
