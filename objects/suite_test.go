package objects_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform")
}

// client returns a client of server with a budget of the given rates.
func client(server *standin.Server, share objects.Rates) *objects.Client {
	return objects.NewClientWithOptions("platform", objects.Options{Budget: objects.NewBudget(share), Transport: standin.Direct{Server: server}})
}

// unlimited is a budget that no spec exhausts.
var unlimited = objects.Rates{Reads: 1e6, Writes: 1e6}

var _ = Describe("PutUntilDefinitive", func() {
	ctx := context.Background()

	DescribeTable("returns the outcome of the write",
		func(prepare func(*standin.Server, *objects.Client), want objects.Outcome, stored string) {
			server := standin.New()
			c := client(server, unlimited)
			prepare(server, c)
			limited, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
			defer cancel()
			got := objects.PutUntilDefinitive(limited, c, "kind", "name", 0, "ours")
			Expect(got.Outcome).To(Equal(want), "%v", got.Err)
			server.SetFaults(standin.Faults{})
			o, err := client(server, unlimited).Get(ctx, "kind", "name")
			if stored == "" {
				Expect(errors.Is(err, objects.ErrNotFound)).To(BeTrue())
				return
			}
			Expect(string(o.Value)).To(Equal(stored))
		},
		Entry("no fault", func(*standin.Server, *objects.Client) {}, objects.Done, `"ours"`),
		Entry("two responses lost", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{LoseAnswers: 2})
		}, objects.Done, `"ours"`),
		Entry("request lost before it took effect", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{DropWrites: 1})
		}, objects.Done, `"ours"`),
		Entry("another writer created the object first", func(_ *standin.Server, c *objects.Client) {
			_, err := c.Put(ctx, "kind", "name", 0, "theirs")
			Expect(err).NotTo(HaveOccurred())
		}, objects.Conflict, `"theirs"`),
		Entry("platform refuses calls by its rate limit", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{Rate: 1e-6})
			_, _ = client(s, unlimited).Get(ctx, "kind", "name")
		}, objects.NotDone, ""),
		Entry("platform is down", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{Down: true})
		}, objects.Unknown, ""),
	)

	// Five values that were too large opened the circuit breaker: no call was sent for seconds.
	It("is not hindered by values that the platform rejects", func() {
		c := client(standin.New(), unlimited)
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		for range 10 {
			got := objects.PutUntilDefinitive(limited, c, "kind", "large", 0, strings.Repeat("x", objects.MaxValueBytes))
			Expect(got.Outcome).To(Equal(objects.NotDone))
		}
		Expect(objects.PutUntilDefinitive(limited, c, "kind", "name", 0, "ours").Outcome).To(Equal(objects.Done))
	})

	It("returns Unknown for a write whose response was lost and that was then overwritten", func() {
		server := standin.New()
		c := client(server, unlimited)
		got := objects.PutUntilDefinitive(ctx, &overwritingStore{Client: c}, "kind", "name", 0, "ours")
		Expect(got.Outcome).To(Equal(objects.Unknown))
	})
})

// overwritingStore drops the response of the first write and then overwrites its value.
type overwritingStore struct {
	*objects.Client
	overwrote bool
}

// Put implements objects.Store.
func (s *overwritingStore) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	o, err := s.Client.Put(ctx, kind, name, expect, value)
	if s.overwrote || err != nil {
		return o, err
	}
	s.overwrote = true
	if _, err := s.Client.Put(ctx, kind, name, o.Version, "theirs"); err != nil {
		return o, err
	}
	return objects.Object{}, io.ErrUnexpectedEOF
}

var _ = Describe("Budget", func() {
	It("rejects status calls first and reserves part of the burst for leases", func() {
		server := standin.New()
		c := client(server, objects.Rates{Reads: 1e-3, Writes: 1e-3})
		callsUntilExhausted := func(kind string) int {
			for n := 0; ; n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
				_, err := c.Get(ctx, kind, "name")
				cancel()
				if errors.Is(err, objects.ErrBudget) {
					return n
				}
			}
		}
		Expect(callsUntilExhausted(objects.KindStatus)).To(Equal(10))
		Expect(callsUntilExhausted(objects.KindRun)).To(Equal(5))
		Expect(callsUntilExhausted(objects.KindConfig)).To(Equal(3))
		Expect(callsUntilExhausted(objects.KindLease)).To(Equal(2))
	})
})
