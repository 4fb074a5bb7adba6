package objects_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Platform")
}

// client returns a client of server with a share of the rates.
func client(server *standin.Server, share objects.Rates) *objects.Client {
	return objects.NewClientWithOptions("platform", objects.Options{Budget: objects.NewBudget(share), Transport: standin.Direct{Server: server}})
}

// ample is a budget that no spec uses up.
var ample = objects.Rates{Reads: 1e6, Writes: 1e6}

var _ = Describe("PutSettled", func() {
	ctx := context.Background()

	DescribeTable("ends with what is known of the write",
		func(prepare func(*standin.Server, *objects.Client), want objects.Outcome, stored string) {
			server := standin.New()
			c := client(server, ample)
			prepare(server, c)
			limited, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
			defer cancel()
			got := objects.PutUntilDefinitive(limited, c, "kind", "name", 0, "ours")
			Expect(got.Outcome).To(Equal(want), "%v", got.Err)
			server.SetFaults(standin.Faults{})
			o, err := client(server, ample).Get(ctx, "kind", "name")
			if stored == "" {
				Expect(errors.Is(err, objects.ErrNotFound)).To(BeTrue())
				return
			}
			Expect(string(o.Value)).To(Equal(stored))
		},
		Entry("plain", func(*standin.Server, *objects.Client) {}, objects.Done, `"ours"`),
		Entry("answer lost twice", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{LoseAnswers: 2})
		}, objects.Done, `"ours"`),
		Entry("dropped before it took effect", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{DropWrites: 1})
		}, objects.Done, `"ours"`),
		Entry("another was first", func(_ *standin.Server, c *objects.Client) {
			_, err := c.Put(ctx, "kind", "name", 0, "theirs")
			Expect(err).NotTo(HaveOccurred())
		}, objects.Conflict, `"theirs"`),
		Entry("platform refuses by rate", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{Rate: 1e-6})
			_, _ = client(s, ample).Get(ctx, "kind", "name")
		}, objects.NotDone, ""),
		Entry("platform is down", func(s *standin.Server, _ *objects.Client) {
			s.SetFaults(standin.Faults{Down: true})
		}, objects.Unknown, ""),
	)

	It("does not take a write that was overwritten for one that never was", func() {
		server := standin.New()
		c := client(server, ample)
		got := objects.PutUntilDefinitive(ctx, &overwritten{Client: c}, "kind", "name", 0, "ours")
		Expect(got.Outcome).To(Equal(objects.Unknown))
	})
})

// overwritten loses the answer of the first write, which another then replaces.
type overwritten struct {
	*objects.Client
	done bool
}

// Put implements objects.Store.
func (s *overwritten) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	o, err := s.Client.Put(ctx, kind, name, expect, value)
	if s.done || err != nil {
		return o, err
	}
	s.done = true
	if _, err := s.Client.Put(ctx, kind, name, o.Version, "theirs"); err != nil {
		return o, err
	}
	return objects.Object{}, io.ErrUnexpectedEOF
}

var _ = Describe("Budget", func() {
	It("sheds status calls first and keeps a part for leases", func() {
		server := standin.New()
		c := client(server, objects.Rates{Reads: 1e-3, Writes: 1e-3})
		taken := func(kind string) int {
			for n := 0; ; n++ {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
				_, err := c.Get(ctx, kind, "name")
				cancel()
				if errors.Is(err, objects.ErrBudget) {
					return n
				}
			}
		}
		Expect(taken(objects.KindStatus)).To(Equal(10))
		Expect(taken(objects.KindRun)).To(Equal(5))
		Expect(taken(objects.KindConfig)).To(Equal(3))
		Expect(taken(objects.KindLease)).To(Equal(2))
	})
})
