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

// faultyStore passes calls to a store, with faults that a test injects. Watches always
// fail.
type faultyStore struct {
	objects.Store

	mu    sync.Mutex // guards the fields below
	err   error      // returned instead of calling the store
	hang  bool       // calls block until their context ends
	calls int
}

func (s *faultyStore) injectFault(ctx context.Context) error {
	s.mu.Lock()
	err, hang := s.err, s.hang
	s.calls++
	s.mu.Unlock()
	if hang {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (s *faultyStore) setFault(err error, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err, s.hang = err, hang
}

func (s *faultyStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *faultyStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := s.injectFault(ctx); err != nil {
		return objects.Object{}, err
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *faultyStore) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	if err := s.injectFault(ctx); err != nil {
		return objects.Object{}, err
	}
	return s.Store.Put(ctx, kind, name, expect, value)
}

func (s *faultyStore) Watch(ctx context.Context, kind string, after objects.Version, wait time.Duration) (objects.List, error) {
	return objects.List{}, errors.New("watch interrupted")
}

var _ = Describe("Relay", func() {
	var (
		store              *memstore.Store
		direct, peerDirect *faultyStore
		relay, peer        *objects.Relay
		directChanges      []bool
		toPeer             objects.RelayFunc
	)

	BeforeEach(func() {
		store, directChanges = memstore.New(), nil
		direct, peerDirect = &faultyStore{Store: store}, &faultyStore{Store: store}
		peer = objects.NewRelay(peerDirect, nil, nil)
		toPeer = func(ctx context.Context, c objects.RelayCall) (objects.RelayReply, bool, error) {
			return peer.Serve(ctx, c), true, nil
		}
		relay = objects.NewRelay(direct, toPeer, func(direct bool, _ error) { directChanges = append(directChanges, direct) })
	})

	It("calls the store directly while that works", func(ctx SpecContext) {
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(err).NotTo(HaveOccurred())
		Expect(peerDirect.callCount()).To(BeZero())
	})

	It("relays calls when the store refuses this instance, and returns to direct access", func(ctx SpecContext) {
		direct.setFault(objects.ErrRefused, false)
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(err).NotTo(HaveOccurred())
		_, err = relay.Get(ctx, "k", "n")
		Expect(err).NotTo(HaveOccurred())
		Expect(store.Writes()).To(HaveLen(1))
		direct.setFault(nil, false)
		Eventually(relay.DirectAvailable).WithTimeout(3 * time.Second).Should(BeTrue())
		Expect(directChanges).To(Equal([]bool{false, true}))
	})

	It("returns the store's errors through another instance", func(ctx SpecContext) {
		direct.setFault(objects.ErrRefused, false)
		_, err := relay.Get(ctx, "k", "none")
		Expect(err).To(MatchError(objects.ErrNotFound))
		_, err = relay.Put(ctx, "k", "n", 7, "v")
		Expect(err).To(MatchError(objects.ErrConflict))
		Expect(objects.OutcomeOf(err)).To(Equal(objects.Conflict))
	})

	It("does not relay a write that may have taken effect; a repeated write is relayed", func(ctx SpecContext) {
		direct.setFault(nil, true)
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(objects.OutcomeOf(err)).To(Equal(objects.Unknown))
		Expect(peerDirect.callCount()).To(BeZero())
		Expect(objects.PutUntilDefinitive(ctx, relay, "k", "n", 0, "v").Outcome).To(Equal(objects.Done))
	})

	It("relays a read when the store does not respond directly", func(ctx SpecContext) {
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(err).NotTo(HaveOccurred())
		direct.setFault(nil, true)
		_, err = relay.Get(ctx, "k", "n")
		Expect(err).NotTo(HaveOccurred())
	})

	// An owner whose reads end sooner than the relay's timeout was never relayed.
	It("relays the calls of a caller whose time ends before the store responds directly", func(ctx SpecContext) {
		relay := objects.NewRelay(direct, toPeer, nil) // its probes may outlast the spec
		direct.setFault(nil, true)
		Eventually(func() error {
			limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			_, err := relay.Get(limited, "k", "none")
			return err
		}).WithTimeout(4 * time.Second).Should(MatchError(objects.ErrNotFound))
	})

	It("keeps direct access when a caller's time was short", func(ctx SpecContext) {
		relay := objects.NewRelay(direct, toPeer, nil)
		limited, cancel := context.WithDeadline(ctx, time.Now())
		defer cancel()
		_, err := relay.Get(limited, "k", "none")
		Expect(err).To(HaveOccurred())
		Consistently(relay.DirectAvailable, "200ms").Should(BeTrue())
	})

	It("keeps direct access when the store interrupts a watch", func(ctx SpecContext) {
		_, err := relay.Watch(ctx, "k", 1, time.Millisecond)
		Expect(err).To(HaveOccurred())
		Consistently(relay.DirectAvailable, "200ms").Should(BeTrue())
	})

	It("cancels a relayed watch when direct access is restored", func(ctx SpecContext) {
		direct.setFault(objects.ErrRefused, false)
		stuckRelay := objects.NewRelay(direct, func(ctx context.Context, _ objects.RelayCall) (objects.RelayReply, bool, error) {
			<-ctx.Done() // the other instance does not respond
			return objects.RelayReply{}, true, ctx.Err()
		}, nil)
		limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := stuckRelay.Get(limited, "k", "n")
		Expect(err).To(HaveOccurred())
		done := make(chan error, 1)
		go func() {
			_, err := stuckRelay.Watch(context.Background(), "k", 1, time.Hour)
			done <- err
		}()
		Consistently(done, "200ms").ShouldNot(Receive())
		direct.setFault(nil, false)
		Eventually(done).WithTimeout(3 * time.Second).Should(Receive(HaveOccurred()))
	})

	It("restores direct access by probing, without further calls", func(ctx SpecContext) {
		direct.setFault(objects.ErrRefused, false)
		peerDirect.setFault(objects.ErrRefused, false)
		_, err := relay.Get(ctx, "k", "n")
		Expect(err).To(HaveOccurred())
		Expect(relay.DirectAvailable()).To(BeFalse())
		direct.setFault(nil, false)
		Eventually(relay.DirectAvailable).WithTimeout(3 * time.Second).Should(BeTrue())
	})

	It("returns NotDone or Unknown for a write when no instance reaches the store", func(ctx SpecContext) {
		direct.setFault(objects.ErrRefused, false)
		peerDirect.setFault(objects.ErrRefused, false)
		_, err := relay.Put(ctx, "k", "n", 0, "v")
		Expect(objects.OutcomeOf(err)).To(Equal(objects.NotDone))
		peerDirect.setFault(errors.New("connection reset"), false)
		brokenPeerRelay := objects.NewRelay(direct, func(ctx context.Context, c objects.RelayCall) (objects.RelayReply, bool, error) {
			return objects.RelayReply{}, true, errors.New("connection reset")
		}, nil)
		_, err = brokenPeerRelay.Put(ctx, "k", "n", 0, "v")
		Expect(objects.OutcomeOf(err)).To(Equal(objects.Unknown))
	})
})
