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

// scriptedStore returns a fixed list and the watch responses that a test sends.
type scriptedStore struct {
	objects.Store
	initial objects.List
	updates chan objects.List
	watches atomic.Int32 // number of watch calls
}

func (s *scriptedStore) List(context.Context, string) (objects.List, error) { return s.initial, nil }

func (s *scriptedStore) Watch(ctx context.Context, kind string, after objects.Version, _ time.Duration) (objects.List, error) {
	if kind == "stuck" {
		<-ctx.Done()
		return objects.List{Version: after}, ctx.Err()
	}
	s.watches.Add(1)
	select {
	case l := <-s.updates:
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
		store *scriptedStore
		cache *objects.Cache
		now   atomic.Int64
	)

	BeforeEach(func() {
		now.Store(1000)
		store = &scriptedStore{initial: objects.List{Version: 5, Objects: []objects.Object{object("a", 3, `1`)}}, updates: make(chan objects.List)}
		cache = objects.NewCache(store, func() time.Time { return time.UnixMilli(now.Load()) })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		content := func(o objects.Object) any {
			if string(o.Value) == `"invalid"` {
				return nil
			}
			return string(o.Value)
		}
		same := func(before, after any) bool { return before == after }
		go cache.Follow(ctx, objects.CacheKind{Kind: "k", Wait: time.Second, MaxAge: time.Second, Content: content, Same: same}, func(time.Time, error) {})
		Eventually(func() error { _, err := cache.List("k"); return err }).Should(Succeed())
	})

	watch := func(after objects.Version) (objects.List, error) {
		return cache.Watch(context.Background(), "k", after, 0)
	}

	It("lists at the store's version and returns later changes to watchers", func() {
		l, err := cache.List("k")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Version).To(Equal(objects.Version(5)))
		store.updates <- objects.List{Version: 8, Objects: []objects.Object{object("b", 7, `2`)}}
		// The change becomes visible before the version that it brings the cache to.
		Eventually(func() objects.Version { l, _ := watch(5); return l.Version }).Should(Equal(objects.Version(8)))
		l, err = watch(5)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Objects).To(HaveLen(1))
		l, err = watch(7)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Objects).To(BeEmpty())
		Expect(l.Version).To(Equal(objects.Version(8)))
	})

	It("does not return irrelevant changes", func() {
		store.updates <- objects.List{Version: 8, Objects: []objects.Object{object("a", 7, `1`)}}
		store.updates <- objects.List{Version: 9, Objects: []objects.Object{object("a", 9, `2`)}}
		Eventually(func() objects.Version { l, _ := watch(5); return l.Version }).Should(Equal(objects.Version(9)))
		l, _ := watch(5)
		Expect(l.Objects).To(Equal([]objects.Object{object("a", 9, `2`)}))
	})

	It("returns an object that is valid again, also if it is as before it was invalid", func() {
		store.updates <- objects.List{Version: 8, Objects: []objects.Object{object("a", 8, `"invalid"`)}}
		store.updates <- objects.List{Version: 9, Objects: []objects.Object{object("a", 9, `1`)}}
		Eventually(func() objects.Version { l, _ := watch(5); return l.Version }).Should(Equal(objects.Version(9)))
		l, _ := watch(5)
		Expect(l.Objects).To(Equal([]objects.Object{object("a", 8, `"invalid"`), object("a", 9, `1`)}))
	})

	It("returns single objects, and ErrRefused once its state is too old", func() {
		o, err := cache.Get("k", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(o).To(Equal(object("a", 3, `1`)))
		_, err = cache.Get("k", "b")
		Expect(err).To(MatchError(objects.ErrNotFound))
		now.Add(2000)
		_, err = cache.Get("k", "a")
		Expect(err).To(MatchError(objects.ErrRefused))
	})

	It("blocks WaitListed until the first list", func(ctx SpecContext) {
		limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		cache.WaitListed(limited, "other")
		Expect(limited.Err()).To(HaveOccurred(), "no Follow runs for this kind")
		go func() {
			time.Sleep(30 * time.Millisecond)
			cache.Follow(ctx, objects.CacheKind{Kind: "later", Wait: time.Second, MaxAge: time.Second}, func(time.Time, error) {})
		}()
		cache.WaitListed(ctx, "later")
		_, err := cache.List("later")
		Expect(err).NotTo(HaveOccurred())
	})

	It("keeps the state of a new Follow when the previous one ends after it started", func(ctx SpecContext) {
		firstCtx, endFirst := context.WithCancel(ctx)
		kind := objects.CacheKind{Kind: "again", Wait: time.Second, MaxAge: time.Second}
		isListed := func() error { _, err := cache.List("again"); return err }
		firstEnded := make(chan struct{})
		go func() { defer close(firstEnded); cache.Follow(firstCtx, kind, func(time.Time, error) {}) }()
		Eventually(isListed).Should(Succeed())
		go cache.Follow(ctx, kind, func(time.Time, error) {})
		time.Sleep(50 * time.Millisecond)
		endFirst()
		Eventually(firstEnded).Should(BeClosed())
		Consistently(isListed, "100ms").Should(Succeed())
	})

	It("returns ErrGap to a reader whose version is older than the kept changes", func() {
		_, err := watch(4)
		Expect(err).To(MatchError(objects.ErrGap))
	})

	It("returns ErrRefused for reads and pending watches once the store has stopped responding", func() {
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

	It("tracks the age of each kind separately", func(ctx SpecContext) {
		go cache.Follow(ctx, objects.CacheKind{Kind: "stuck", Wait: time.Second, MaxAge: time.Second}, func(time.Time, error) {})
		Eventually(func() error { _, err := cache.List("stuck"); return err }).Should(Succeed())
		now.Add(1500) // the response is half a second late, within the maximum age
		store.updates <- objects.List{Version: 8}
		Eventually(func() error { _, err := cache.List("k"); return err }).Should(Succeed())
		_, err := cache.List("stuck")
		Expect(err).To(MatchError(objects.ErrRefused))
	})

	It("watches the store once for any number of readers", func() {
		for range 20 {
			_, err := watch(5)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(store.watches.Load()).To(Equal(int32(1)))
	})
})
