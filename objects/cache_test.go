package objects_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/objects"
)

// script is a store whose list and watches a test plays.
type script struct {
	objects.Store
	first   objects.List
	watches chan objects.List
	calls   atomic.Int32
}

func (s *script) List(context.Context, string) (objects.List, error) { return s.first, nil }

func (s *script) Watch(ctx context.Context, kind string, after objects.Version, _ time.Duration) (objects.List, error) {
	if kind == "stuck" {
		<-ctx.Done()
		return objects.List{Version: after}, ctx.Err()
	}
	s.calls.Add(1)
	select {
	case l := <-s.watches:
		return l, nil
	case <-ctx.Done():
		return objects.List{Version: after}, ctx.Err()
	}
}

var _ = Describe("Cache", func() {
	object := func(name string, version objects.Version, value string) objects.Object {
		return objects.Object{Kind: "k", Name: name, Version: version, Value: json.RawMessage(value)}
	}
	var (
		store *script
		cache *objects.Cache
		now   atomic.Int64
	)

	BeforeEach(func() {
		now.Store(1000)
		store = &script{first: objects.List{Version: 5, Objects: []objects.Object{object("a", 3, `1`)}}, watches: make(chan objects.List)}
		cache = objects.NewCache(store, func() time.Time { return time.UnixMilli(now.Load()) })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		same := func(a, b objects.Object) bool { return string(a.Value) == string(b.Value) }
		go cache.Follow(ctx, objects.CacheKind{Kind: "k", Wait: time.Second, MaxAge: time.Second, Unchanged: same}, func(error) {})
		Eventually(func() error { _, err := cache.List("k"); return err }).Should(Succeed())
	})

	watch := func(after objects.Version) (objects.List, error) {
		return cache.Watch(context.Background(), "k", after, 0)
	}

	It("lists as of the store's version and hands on later changes", func() {
		l, err := cache.List("k")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Version).To(Equal(objects.Version(5)))
		store.watches <- objects.List{Version: 8, Objects: []objects.Object{object("b", 7, `2`)}}
		Eventually(func() int { l, _ := watch(5); return len(l.Objects) }).Should(Equal(1))
		l, err = watch(7)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Objects).To(BeEmpty())
		Expect(l.Version).To(Equal(objects.Version(8)))
	})

	It("keeps changes to itself that say nothing new", func() {
		store.watches <- objects.List{Version: 8, Objects: []objects.Object{object("a", 7, `1`)}}
		store.watches <- objects.List{Version: 9, Objects: []objects.Object{object("a", 9, `2`)}}
		Eventually(func() objects.Version { l, _ := watch(5); return l.Version }).Should(Equal(objects.Version(9)))
		l, _ := watch(5)
		Expect(l.Objects).To(Equal([]objects.Object{object("a", 9, `2`)}))
	})

	It("gives single objects, and says which may exist by now", func() {
		o, err := cache.Get("k", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(object("a", 3, `1`)))
		_, err = cache.Get("k", "b")
		Expect(err).To(MatchError(objects.ErrNotFound))
		now.Add(2000)
		_, err = cache.Get("k", "a")
		Expect(err).To(MatchError(objects.ErrRefused))
	})

	It("has readers wait for the first list", func(ctx SpecContext) {
		bounded, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		cache.WaitListed(bounded, "other")
		Expect(bounded.Err()).To(HaveOccurred(), "nobody follows it")
		go func() {
			time.Sleep(30 * time.Millisecond)
			cache.Follow(ctx, objects.CacheKind{Kind: "later", Wait: time.Second, MaxAge: time.Second}, func(error) {})
		}()
		cache.WaitListed(ctx, "later")
		_, err := cache.List("later")
		Expect(err).NotTo(HaveOccurred())
	})

	It("keeps what a new Follow knows when the one before ends after it has begun", func(ctx SpecContext) {
		before, end := context.WithCancel(ctx)
		kind := objects.CacheKind{Kind: "again", Wait: time.Second, MaxAge: time.Second}
		known := func() error { _, err := cache.List("again"); return err }
		ended := make(chan struct{})
		go func() { defer close(ended); cache.Follow(before, kind, func(error) {}) }()
		Eventually(known).Should(Succeed())
		go cache.Follow(ctx, kind, func(error) {})
		time.Sleep(50 * time.Millisecond)
		end()
		Eventually(ended).Should(BeClosed())
		Consistently(known, "100ms").Should(Succeed())
	})

	It("has a reader list again that is behind what it remembers", func() {
		_, err := watch(4)
		Expect(err).To(MatchError(objects.ErrGap))
	})

	It("answers nothing once the store has been silent, also to readers that wait", func() {
		done := make(chan error, 1)
		go func() {
			_, err := cache.Watch(context.Background(), "k", 5, time.Hour)
			done <- err
		}()
		Consistently(done, "300ms").ShouldNot(Receive())
		now.Add(2000)
		Eventually(done).Should(Receive(MatchError(objects.ErrRefused)))
		_, err := cache.List("k")
		Expect(errors.Is(err, objects.ErrRefused)).To(BeTrue())
	})

	It("does not take one kind for known because another is", func(ctx SpecContext) {
		go cache.Follow(ctx, objects.CacheKind{Kind: "stuck", Wait: time.Second, MaxAge: time.Second}, func(error) {})
		Eventually(func() error { _, err := cache.List("stuck"); return err }).Should(Succeed())
		now.Add(2000)
		store.watches <- objects.List{Version: 8}
		Eventually(func() error { _, err := cache.List("k"); return err }).Should(Succeed())
		_, err := cache.List("stuck")
		Expect(err).To(MatchError(objects.ErrRefused))
	})

	It("watches the store once for any number of readers", func() {
		for range 20 {
			_, err := watch(5)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(store.calls.Load()).To(Equal(int32(1)))
	})
})
