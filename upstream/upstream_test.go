package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
	"github.com/pomelocross/pomelocross/internal/standin/service"
	"github.com/pomelocross/pomelocross/upstream"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Upstream")
}

func serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// serveRaw serves connections at the returned address until the test ends.
func serveRaw(onConnection func() rawserver.Respond) string {
	address, closeListener, err := rawserver.Listen(onConnection)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeListener)
	return address
}

func isNotSent(err error) bool {
	var sendErr *upstream.SendError
	return errors.As(err, &sendErr) && sendErr.NotSent
}

var _ = Describe("Sending", func() {
	DescribeTable("does not resend a request when a keep-alive connection breaks after its execution",
		func(ctx SpecContext, request upstream.PlainRequest) {
			fake, client := service.New("desk"), upstream.NewClient()
			address := serve(fake)
			_, err := client.Plain(ctx, address, request)
			Expect(err).NotTo(HaveOccurred())
			fake.SetFaults(service.Faults{RunThenCut: true})
			_, err = client.Plain(ctx, address, request)
			Expect(err).To(HaveOccurred())
			Expect(isNotSent(err)).To(BeFalse())
			Expect(fake.Record()).To(HaveLen(2))
		},
		Entry("GET", upstream.PlainRequest{Method: "GET", Path: "/kits/1"}),
		Entry("POST with an Idempotency-Key", upstream.PlainRequest{Method: "POST", Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("order")}),
		Entry("POST with an Idempotency-Key and no body", upstream.PlainRequest{Method: "POST", Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}}),
	)

	It("reports NotSent if the connection is refused", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener.Close()
		_, err = upstream.NewClient().Plain(ctx, listener.Addr().String(), upstream.PlainRequest{Method: "GET", Path: "/"})
		Expect(isNotSent(err)).To(BeTrue())
	})

	It("never reports NotSent for a request that the upstream received", func(ctx SpecContext) {
		fake, client := service.New("desk"), upstream.NewClient()
		address := serve(fake)
		random := rand.New(rand.NewPCG(1, 1))
		var reportedNotSent sync.Map
		var requests sync.WaitGroup
		for n := range 2000 {
			timeout := time.Duration(random.Int64N(int64(400 * time.Microsecond)))
			path := fmt.Sprint("/", n)
			requests.Go(func() {
				requestCtx, cancel := context.WithTimeout(ctx, timeout)
				defer cancel()
				_, err := client.Plain(requestCtx, address, upstream.PlainRequest{Method: "POST", Path: path})
				reportedNotSent.Store(path, isNotSent(err))
			})
			if n%16 == 0 {
				requests.Wait()
			}
		}
		requests.Wait()
		for _, received := range fake.Record() {
			claimedNotSent, _ := reportedNotSent.Load(received.Path)
			Expect(claimedNotSent).To(BeFalse(), received.Path)
		}
	})

	DescribeTable("treats 429 and 503 as not executed only if that is declared",
		func(ctx SpecContext, refusalMeansNotRun bool) {
			fake := service.New("desk")
			fake.SetFaults(service.Faults{Refuse: true})
			response, err := upstream.NewClient().Plain(ctx, serve(fake), upstream.PlainRequest{Method: "POST", Path: "/orders", RefusalMeansNotRun: refusalMeansNotRun})
			var refused *upstream.RefusedError
			Expect(errors.As(err, &refused)).To(Equal(refusalMeansNotRun))
			if !refusalMeansNotRun {
				Expect(response.Status).To(Equal(http.StatusServiceUnavailable))
			}
		},
		Entry("declared", true),
		Entry("not declared", false),
	)
})

var _ = Describe("The response of an engine", func() {
	DescribeTable("is never accepted as complete if it is invalid",
		func(ctx SpecContext, damage engine.Damage, at int, expected error) {
			fake := engine.New(engine.Options{WeightVersion: 1})
			fake.SetFaults(engine.Faults{Damage: damage, DamageAt: at})
			request := upstream.CompletionRequest{ID: "mine", Prompt: "pins", MaxTokens: 6}
			var text strings.Builder
			err := upstream.NewClient().Complete(ctx, serve(fake), request, func(chunk upstream.Chunk) error {
				text.WriteString(chunk.Text)
				return nil
			})
			Expect(err).To(MatchError(expected))
			Expect(engine.Text("pins", 0, 6)).To(HavePrefix(text.String()))
		},
		Entry("a chunk of another request", engine.WrongID, 2, upstream.ErrRequestMismatch),
		Entry("a duplicate chunk", engine.Doubled, 2, upstream.ErrChunkSequence),
		Entry("a missing chunk", engine.Missing, 2, upstream.ErrChunkSequence),
		Entry("more tokens than requested", engine.TooLong, 2, upstream.ErrTooManyTokens),
		Entry("an event that is not JSON", engine.Garbage, 2, upstream.ErrInvalidChunk),
		Entry("a truncated event", engine.Endless, 2, upstream.ErrTruncated),
		Entry("no last chunk", engine.NoEnd, 5, upstream.ErrTruncated),
	)
})

var _ = Describe("The connection pool", func() {
	// An instance that had sent items to 3,000 engines kept 8,000 idle connections, all
	// of its file descriptors.
	It("holds a limited number of idle connections to all upstreams together", func(ctx SpecContext) {
		const upstreams, limit = 24, 4
		client := upstream.NewClientWithLimit(limit)
		var open atomic.Int64
		for range upstreams {
			server := httptest.NewUnstartedServer(service.New("desk"))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				switch s {
				case http.StateNew:
					open.Add(1)
				case http.StateClosed:
					open.Add(-1)
				}
			}
			server.Start()
			DeferCleanup(server.Close)
			_, err := client.Plain(ctx, strings.TrimPrefix(server.URL, "http://"), upstream.PlainRequest{Method: "POST", Path: "/orders"})
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(open.Load).Should(BeNumerically("<=", limit))
	})
})

var _ = Describe("A connection that brought the response to another request", func() {
	// The response that was due came next and was taken for that to the next request. Without
	// a body, net/http reuses the connection before the receiver sees the response.
	DescribeTable("carries no further request", func(ctx SpecContext, body string) {
		const copyAt = 5 // request of each connection that gets the copy of an earlier response
		var copies, after atomic.Int32
		address := serveRaw(func() rawserver.Respond {
			n, first := 0, ""
			return func(conn net.Conn, r *http.Request) {
				n++
				id := r.Header.Get("Id")
				switch {
				case n == 1:
					first = id
				case n == copyAt:
					copies.Add(1)
					id = first
				case n > copyAt:
					after.Add(1)
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body) // the client may have closed it
			}
		})
		client := upstream.NewClient()
		var callers sync.WaitGroup
		for caller := range 8 {
			callers.Go(func() {
				defer GinkgoRecover()
				for n := range 200 {
					id := fmt.Sprint(caller, "-", n)
					r, err := http.NewRequest(http.MethodPost, "http://"+address, nil)
					Expect(err).NotTo(HaveOccurred())
					r.Header.Set("Id", id)
					accept := func(resp *http.Response) error { return upstream.CheckID(resp.Header.Get("Id"), id) }
					resp, err := client.SendChecked(ctx, r, nil, upstream.Checks{Accept: accept})
					if err != nil {
						Expect(isNotSent(err) || errors.Is(err, upstream.ErrOtherRequest)).To(BeTrue(), err.Error())
						continue
					}
					_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be reused
					resp.Body.Close()
				}
			})
		}
		callers.Wait()
		Expect(copies.Load()).To(BeNumerically(">", 50))
		Expect(after.Load()).To(BeZero())
	},
		Entry("without a body", ""),
		Entry("with a body", "busy"),
	)
})

var _ = Describe("A refusal of a service whose responses have no ID", func() {
	// Its second copy, late, was taken for the response to the next request, which was sent again
	// although the service ran it.
	DescribeTable("is not taken for the response to the next request", func(ctx SpecContext, body string) {
		refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		var received, ran atomic.Int32
		address := serveRaw(func() rawserver.Respond {
			refused := false
			return func(conn net.Conn, _ *http.Request) {
				response := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nkits"
				if received.Add(1)%2 == 1 {
					response, refused = refusal, true
				} else {
					ran.Add(1)
					if refused {
						response = refusal + response
					}
				}
				_, _ = io.WriteString(conn, response) // the client may have closed it
			}
		})
		client, request := upstream.NewClient(), upstream.PlainRequest{Method: "POST", Path: "/orders", RefusalMeansNotRun: true}
		for range 10 {
			var refused *upstream.RefusedError
			_, err := client.Plain(ctx, address, request)
			Expect(errors.As(err, &refused)).To(BeTrue())
			before := ran.Load()
			answer, err := client.Plain(ctx, address, request)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal("kits"))
			Expect(ran.Load()).To(Equal(before + 1))
		}
	},
		Entry("without a body", ""),
		Entry("with a body", "busy"),
	)
})

var _ = Describe("A request that is no longer to be sent", func() {
	// It was decided on, waited for its connection and was sent seconds later.
	It("is not written to a new or a kept connection, and is reported as not sent", func(ctx SpecContext) {
		var received, opened atomic.Int32
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		client := upstream.NewClient()
		send := func(permit func() bool) error {
			r, err := http.NewRequest(http.MethodPost, server.URL, nil)
			Expect(err).NotTo(HaveOccurred())
			resp, err := client.SendChecked(ctx, r, []byte("item"), upstream.Checks{Permit: permit})
			if err == nil {
				resp.Body.Close()
			}
			return err
		}
		refuse := func() bool { return false }
		Expect(isNotSent(send(refuse))).To(BeTrue(), "on a new connection")
		Expect(send(func() bool { return true })).To(Succeed())
		Expect(isNotSent(send(refuse))).To(BeTrue(), "on a kept connection")
		Expect(send(nil)).To(Succeed())
		Expect(received.Load()).To(BeEquivalentTo(2))
		Expect(opened.Load()).To(BeEquivalentTo(3), "the refused request used the kept connection")
	})

	It("is asked about once, after the connection was opened", func(ctx SpecContext) {
		fake, client := service.New("desk"), upstream.NewClient()
		address := serve(fake)
		asked := 0
		body := []byte(strings.Repeat("a", 1<<20)) // written in several parts
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders", nil)
		Expect(err).NotTo(HaveOccurred())
		resp, err := client.SendChecked(ctx, r, body, upstream.Checks{Permit: func() bool { asked++; return true }})
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(asked).To(Equal(1))
	})
})
