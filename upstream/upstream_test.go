package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/service"
	"github.com/pomelocross/pomelocross/upstream"
)

func TestUpstream(t *testing.T) {
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

func notSent(err error) bool {
	var send *upstream.SendError
	return errors.As(err, &send) && send.NotSent
}

var _ = Describe("Sending", func() {
	DescribeTable("runs a request once when a kept-alive connection breaks after it ran",
		func(ctx SpecContext, request upstream.PlainRequest) {
			standin, client := service.New("desk"), upstream.NewClient()
			address := serve(standin)
			_, err := client.Plain(ctx, address, request)
			Expect(err).NotTo(HaveOccurred())
			standin.SetFaults(service.Faults{RunThenCut: true})
			_, err = client.Plain(ctx, address, request)
			Expect(err).To(HaveOccurred())
			Expect(notSent(err)).To(BeFalse())
			Expect(standin.Record()).To(HaveLen(2))
		},
		Entry("GET", upstream.PlainRequest{Method: "GET", Path: "/kits/1"}),
		Entry("POST with a key", upstream.PlainRequest{Method: "POST", Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte("order")}),
		Entry("POST with a key and no body", upstream.PlainRequest{Method: "POST", Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}}),
	)

	It("knows that nothing left when nobody listens", func(ctx SpecContext) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		listener.Close()
		_, err = upstream.NewClient().Plain(ctx, listener.Addr().String(), upstream.PlainRequest{Method: "GET", Path: "/"})
		Expect(notSent(err)).To(BeTrue())
	})

	It("never says that a request stayed here which the upstream received", func(ctx SpecContext) {
		standin, client := service.New("desk"), upstream.NewClient()
		address := serve(standin)
		random := rand.New(rand.NewPCG(1, 1))
		var stayed sync.Map
		var sending sync.WaitGroup
		for n := range 2000 {
			limit := time.Duration(random.Int64N(int64(400 * time.Microsecond)))
			path := fmt.Sprint("/", n)
			sending.Go(func() {
				limited, cancel := context.WithTimeout(ctx, limit)
				defer cancel()
				_, err := client.Plain(limited, address, upstream.PlainRequest{Method: "POST", Path: path})
				stayed.Store(path, notSent(err))
			})
			if n%16 == 0 {
				sending.Wait()
			}
		}
		sending.Wait()
		for _, received := range standin.Record() {
			claimed, _ := stayed.Load(received.Path)
			Expect(claimed).To(BeFalse(), received.Path)
		}
	})

	DescribeTable("takes 429 and 503 as not run only where that is declared",
		func(ctx SpecContext, declared bool) {
			standin := service.New("desk")
			standin.SetFaults(service.Faults{Refuse: true})
			answer, err := upstream.NewClient().Plain(ctx, serve(standin), upstream.PlainRequest{Method: "POST", Path: "/orders", RefusalMeansNotRun: declared})
			var refused *upstream.RefusedError
			Expect(errors.As(err, &refused)).To(Equal(declared))
			if !declared {
				Expect(answer.Status).To(Equal(http.StatusServiceUnavailable))
			}
		},
		Entry("declared", true),
		Entry("not declared", false),
	)
})

var _ = Describe("An engine's answer", func() {
	DescribeTable("never passes as whole when it is wrong",
		func(ctx SpecContext, damage engine.Damage, at int, expected error) {
			standin := engine.New(engine.Options{WeightVersion: 1})
			standin.SetFaults(engine.Faults{Damage: damage, DamageAt: at})
			request := upstream.CompletionRequest{ID: "mine", Prompt: "pins", MaxTokens: 6}
			var text strings.Builder
			err := upstream.NewClient().Complete(ctx, serve(standin), request, func(chunk upstream.Chunk) error {
				text.WriteString(chunk.Text)
				return nil
			})
			Expect(err).To(MatchError(expected))
			Expect(engine.Text("pins", 0, 6)).To(HavePrefix(text.String()))
		},
		Entry("a chunk of another request", engine.WrongID, 2, upstream.ErrForeignChunk),
		Entry("a doubled chunk", engine.Doubled, 2, upstream.ErrSequence),
		Entry("a missing chunk", engine.Missing, 2, upstream.ErrSequence),
		Entry("more tokens than asked for", engine.TooLong, 2, upstream.ErrTooLong),
		Entry("an event that is not JSON", engine.Garbage, 2, upstream.ErrDamaged),
		Entry("an event without end", engine.Endless, 2, upstream.ErrCutShort),
		Entry("no last chunk", engine.NoEnd, 5, upstream.ErrCutShort),
	)
})
