package lease

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

var _ = Describe("Keepers", func() {
	var (
		ctx    = context.Background()
		server *standin.Server
		store  *objects.Client
		clock  *clockwork.FakeClock
		a, b   *Keeper
	)

	BeforeEach(func() {
		server, clock = standin.New(), clockwork.NewFakeClock()
		listener := httptest.NewServer(server)
		DeferCleanup(listener.Close)
		store = objects.NewClient(strings.TrimPrefix(listener.URL, "http://"), nil)
		a = NewKeeper("role", "entry-a", store, clock, DefaultTiming())
		b = NewKeeper("role", "entry-b", store, clock, DefaultTiming())
	})

	held := func(k *Keeper) bool { _, ok := k.Grant(0); return ok }

	It("keep the role when the response to a renewal is lost", func() {
		Expect(a.Attempt(ctx)).To(Succeed())
		for range 5 {
			clock.Advance(DefaultRenew)
			server.SetFaults(standin.Faults{LoseAnswers: 1, LoseKind: objects.KindLease})
			Expect(a.Attempt(ctx)).NotTo(Succeed())
			Expect(held(a)).To(BeTrue())
		}
		g, _ := a.Grant(0)
		Expect(g.Epoch).To(Equal(int64(1)))
		clock.Advance(DefaultTerm)
		Expect(held(a)).To(BeFalse())
	})

	It("do not hold the role after a first write whose response was lost until they have read the lease", func() {
		server.SetFaults(standin.Faults{LoseAnswers: 1})
		Expect(a.Attempt(ctx)).NotTo(Succeed())
		Expect(held(a)).To(BeFalse())
		Expect(a.Attempt(ctx)).To(Succeed())
		Expect(held(a)).To(BeTrue())
	})

	It("make a restarted process of the same name wait for the term to expire", func() {
		Expect(a.Attempt(ctx)).To(Succeed())
		restarted := NewKeeper("role", "entry-a", store, clock, DefaultTiming())
		Expect(restarted.Attempt(ctx)).To(Succeed())
		clock.Advance(DefaultTerm + DefaultMargin - time.Nanosecond)
		Expect(restarted.Attempt(ctx)).To(Succeed())
		Expect(held(restarted)).To(BeFalse())
		clock.Advance(time.Nanosecond)
		Expect(restarted.Attempt(ctx)).To(Succeed())
		Expect(held(restarted)).To(BeTrue())
		Expect(a.Check(1, 0)).To(MatchError(ErrNotHeld))
	})

	It("reject an intent of an earlier epoch once a later epoch has recorded one, regardless of the clock", func() {
		early, late := NewRecorder(a, store), NewRecorder(b, store)
		orders := []Order{{Kind: "load", Target: "lm-1", Detail: "restock 2"}}
		Expect(early.Record(ctx, Grant{Epoch: 1}, orders)).To(Succeed())
		Expect(late.Record(ctx, Grant{Epoch: 2}, orders)).To(Succeed())
		Expect(errors.Is(early.Record(ctx, Grant{Epoch: 1}, orders), objects.ErrConflict)).To(BeTrue())
		Expect(early.Record(ctx, Grant{Epoch: 1}, orders)).To(MatchError(ErrSuperseded))
	})

	DescribeTable("record an intent when the first write or its response was lost",
		func(faults standin.Faults) {
			recorder := NewRecorder(a, store)
			Expect(recorder.Record(ctx, Grant{Epoch: 1}, nil)).To(Succeed())
			server.SetFaults(faults)
			Expect(recorder.Record(ctx, Grant{Epoch: 1}, nil)).To(Succeed())
			stored, err := store.Get(ctx, objects.KindIntent, "role")
			Expect(err).NotTo(HaveOccurred())
			Expect(string(stored.Value)).To(ContainSubstring(`"sequence":2`))
		},
		Entry("after it took effect", standin.Faults{LoseAnswers: 1}),
		Entry("before it took effect", standin.Faults{DropWrites: 1}),
	)
})
