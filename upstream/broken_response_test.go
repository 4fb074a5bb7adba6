package upstream

import (
	"errors"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
)

// clientCall is a call of a Client.
type clientCall struct {
	name string
	do   func(ctx SpecContext, c *Client, address string) error
}

var clientCalls = []clientCall{
	{"a plain request", func(ctx SpecContext, c *Client, address string) error {
		_, err := c.Plain(ctx, address, PlainRequest{Method: "POST", Path: "/", Header: http.Header{}, RefusalMeansNotRun: true})
		return err
	}},
	{"a completion", func(ctx SpecContext, c *Client, address string) error {
		return c.Complete(ctx, address, CompletionRequest{ID: "r", MaxTokens: 1}, func(Chunk) error { return nil })
	}},
	{"a load report", func(ctx SpecContext, c *Client, address string) error {
		_, err := c.ReportedLoad(ctx, address)
		return err
	}},
}

// brokenResponses are invalid or truncated responses.
var brokenResponses = []struct{ name, text string }{
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"},
	{"a blank in a field name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}"},
	{"a success that is cut", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{}"},
	{"a success in chunks that are cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"},
	{"a refusal that is cut", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\nbusy"},
	{"a refusal with a blank in a field name", "HTTP/1.1 429 Too Many Requests\r\nX Y: z\r\nContent-Length: 0\r\n\r\n"},
}

var _ = Describe("A broken response", func() {
	for _, broken := range brokenResponses {
		for _, call := range clientCalls {
			It("is an error after which "+call.name+" may have run: "+broken.name, func(ctx SpecContext) {
				address, closeListener, err := rawserver.ListenText(broken.text)
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(closeListener)
				err = call.do(ctx, NewClient(), address)
				Expect(err).To(HaveOccurred())
				var refused *RefusedError
				Expect(errors.As(err, &refused)).To(BeFalse(), "it says that the request was refused")
				var failed *SendError
				Expect(errors.As(err, &failed) && failed.NotSent).To(BeFalse(), "it says that the request was not sent")
			})
		}
	}
})
