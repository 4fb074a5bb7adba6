package objects_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
)

// gate is a way to a store that can be shut in different manners.
type gate struct {
	objects.Store

	mu     sync.Mutex // guards all below
	shut   error      // answered instead of the store
	silent bool       // never answered
	calls  int
}

func (g *gate) pass(ctx context.Context) error {
	g.mu.Lock()
	shut, silent := g.shut, g.silent
	g.calls++
	g.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return shut
}

func (g *gate) set(shut error, silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut, g.silent = shut, silent
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

func (g *gate) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := g.pass(ctx); err != nil {
		return objects.Object{}, err
	}
	return g.Store.Get(ctx, kind, name)
}

func (g *gate) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	if err := g.pass(ctx); err != nil {
		return objects.Object{}, err
	}
	return g.Store.Put(ctx, kind, name, expect, value)
}

func (g *gate) Watch(ctx context.Context, kind string, after objects.Version, wait time.Duration) (objects.List, error) {
	return objects.List{}, errors.New("the watch was cut")
}

var _ = Describe("Relay", func() {
	var (
		store        *memstore.Store
		way, peerWay *gate
		relay, peer  *objects.Relay
		changes      []bool
	)

	BeforeEach(func() {
		store, changes = memstore.New(), nil
		way, peerWay = &gate{Store: store}, &gate{Store: store}
		peer = objects.NewRelay(peerWay, nil, nil)
		toPeer := func(ctx context.Context, c objects.RelayCall) (objects.RelayReply, bool, error) {
			return peer.Serve(ctx, c), true, nil
		}
		relay = objects.NewRelay(way, toPeer, func(direct bool, _ error) { changes = append(changes, direct) })
	})

	It("goes the direct way while it works", func(ctx SpecContext) {
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(err).NotTo(HaveOccurred())
		Expect(peerWay.count()).To(BeZero())
	})

	It("asks another instance when the store turns this one away, and tries the direct way again", func(ctx SpecContext) {
		way.set(objects.ErrRefused, false)
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(err).NotTo(HaveOccurred())
		_, err = relay.Get(ctx, "k", "n")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Writes()).To(HaveLen(1))
		way.set(nil, false)
		Eventually(relay.DirectAvailable).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(changes).To(Equal([]bool{false, true}))
	})

	It("hands on what the store says through another instance", func(ctx SpecContext) {
		way.set(objects.ErrRefused, false)
		_, err := relay.Get(ctx, "k", "none")
		Expect(err).To(MatchError(objects.ErrNotFound))
		_, err = relay.Put(ctx, "k", "n", 7, "v")
		Expect(err).To(MatchError(objects.ErrConflict))
		Expect(objects.OutcomeOf(err)).To(Equal(objects.Conflict))
	})

	It("leaves a write that may have taken effect to its caller, which settles it the other way", func(ctx SpecContext) {
		way.set(nil, true)
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(objects.OutcomeOf(err)).To(Equal(objects.Unknown))
		Expect(peerWay.count()).To(BeZero())
		Expect(objects.PutUntilDefinitive(ctx, relay, "k", "n", 0, "v").Outcome).To(Equal(objects.Done))
	})

	It("reads another way when the direct one is silent", func(ctx SpecContext) {
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(err).NotTo(HaveOccurred())
		way.set(nil, true)
		_, err = relay.Get(ctx, "k", "n")
		Expect(err).NotTo(HaveOccurred())
	})

	It("does not take a watch that the store cut for a lost way", func(ctx SpecContext) {
		_, err := relay.Watch(ctx, "k", 1, time.Millisecond)
		Expect(err).To(HaveOccurred())
		Consistently(relay.DirectAvailable, "200ms").Should(BeTrue())
	})

	It("ends a watch through another instance when the direct way is back", func(ctx SpecContext) {
		way.set(objects.ErrRefused, false)
		stuck := objects.NewRelay(way, func(ctx context.Context, _ objects.RelayCall) (objects.RelayReply, bool, error) {
			<-ctx.Done() // the other instance is cut off
			return objects.RelayReply{}, true, ctx.Err()
		}, nil)
		quick, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := stuck.Get(quick, "k", "n")
		Expect(err).To(HaveOccurred())
		done := make(chan error, 1)
		go func() {
			_, err := stuck.Watch(context.Background(), "k", 1, time.Hour)
			done <- err
		}()
		Consistently(done, "200ms").ShouldNot(Receive())
		way.set(nil, false)
		Eventually(done).WithTimeout(3 * time.Second).Should(Receive(HaveOccurred()))
	})

	It("recovers by itself, without a call of its users", func(ctx SpecContext) {
		way.set(objects.ErrRefused, false)
		peerWay.set(objects.ErrRefused, false)
		_, err := relay.Get(ctx, "k", "n")
		Expect(err).To(HaveOccurred())
		Expect(relay.DirectAvailable()).To(BeFalse())
		way.set(nil, false)
		Eventually(relay.DirectAvailable).WithTimeout(3 * time.Second).Should(BeTrue())
	})

	It("gives no false promise when nobody reaches the store", func(ctx SpecContext) {
		way.set(objects.ErrRefused, false)
		peerWay.set(objects.ErrRefused, false)
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(objects.OutcomeOf(err)).To(Equal(objects.NotDone))
		peerWay.set(errors.New("connection reset"), false)
		peerOf := objects.NewRelay(way, func(ctx context.Context, c objects.RelayCall) (objects.RelayReply, bool, error) {
			return objects.RelayReply{}, true, errors.New("connection reset")
		}, nil)
		_, err = peerOf.Put(ctx, "k", "n", 0, "v")
		Expect(objects.OutcomeOf(err)).To(Equal(objects.Unknown))
	})
})
