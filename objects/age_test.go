package objects_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/objects"
)

// response is the scripted result of one call.
type response struct {
	list objects.List
	err  error
}

// sequenceStore returns its scripted responses in order, to lists and to watches. When
// it has none left, calls fail.
type sequenceStore struct {
	objects.Store
	lists, watches chan response
}

func newSequenceStore() *sequenceStore {
	return &sequenceStore{lists: make(chan response, 8), watches: make(chan response, 8)}
}

var errNoResponse = errors.New("no response")

func (s *sequenceStore) List(context.Context, string) (objects.List, error) {
	select {
	case r := <-s.lists:
		return r.list, r.err
	default:
		return objects.List{}, errNoResponse
	}
}

func (s *sequenceStore) Watch(ctx context.Context, _ string, _ objects.Version, _ time.Duration) (objects.List, error) {
	select {
	case r := <-s.watches:
		return r.list, r.err
	case <-ctx.Done():
		return objects.List{}, ctx.Err()
	}
}

func listOf(version objects.Version, all ...objects.Object) response {
	return response{list: objects.List{Version: version, Objects: all}}
}

func valueOf(name string, version objects.Version, value string) objects.Object {
	return objects.Object{Kind: "k", Name: name, Version: version, Value: json.RawMessage(value)}
}

var _ = Describe("A cache", func() {
	var (
		store *sequenceStore
		cache *objects.Cache
		now   atomic.Int64 // milliseconds
		calls atomic.Int32
	)
	BeforeEach(func() {
		now.Store(1000)
		calls.Store(0)
		store = newSequenceStore()
		cache = objects.NewCache(store, func() time.Time { return time.UnixMilli(now.Load()) })
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		store.lists <- listOf(5, valueOf("a", 3, `1`))
		go cache.Follow(ctx, objects.CacheKind{Kind: "k", Wait: time.Second, MaxAge: time.Second}, func(time.Time, error) { calls.Add(1) })
		Eventually(calls.Load).Should(Equal(int32(1)))
	})

	// A response that was delayed on the way to the source counted as current when it
	// arrived, and readers trusted the source for as long again.
	It("counts the age of a late response from the time for which it was requested", func() {
		time.Sleep(20 * time.Millisecond) // the watch has been sent
		now.Store(3500)                   // 1.5 s after the end of its wait
		store.watches <- listOf(6)
		Eventually(calls.Load).Should(Equal(int32(2)))
		_, err := cache.List("k")
		Expect(err).To(MatchError(objects.ErrRefused))
	})

	// The news that its changes are lost made a source count as current.
	It("is not current because the store has lost the history of the kind", func() {
		time.Sleep(20 * time.Millisecond)
		now.Store(1900)
		store.watches <- response{err: objects.ErrGap}
		Eventually(calls.Load).Should(BeNumerically(">=", 3), "the list that follows fails too")
		now.Store(2100)
		_, err := cache.List("k")
		Expect(err).To(MatchError(objects.ErrRefused))
	})
})

var _ = Describe("A follower", func() {
	// After a gap, an instance listed the kind at a source that was behind the last one,
	// and sent requests to an upstream that it knew to have left.
	It("does not go back to an older list after a gap", func(ctx SpecContext) {
		store := newSequenceStore()
		var mu sync.Mutex
		var seen []objects.Object
		followCtx, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		store.lists <- listOf(5, valueOf("a", 3, `"ready"`), valueOf("b", 4, `"ready"`))
		removed := valueOf("b", 8, "")
		removed.Deleted = true
		store.watches <- listOf(8, valueOf("a", 7, `"leaving"`), removed)
		store.watches <- response{err: objects.ErrGap}
		store.lists <- listOf(5, valueOf("a", 3, `"ready"`), valueOf("b", 4, `"ready"`))
		store.lists <- listOf(9, valueOf("a", 7, `"leaving"`), valueOf("c", 9, `"ready"`))
		go objects.FollowWith(followCtx, store, "k", objects.FollowOptions{Wait: time.Second, MaxPause: 10 * time.Millisecond}, func(o objects.Object) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, o)
		})
		names := func() (list []string) {
			mu.Lock()
			defer mu.Unlock()
			for _, o := range seen {
				list = append(list, o.Name+string(o.Value))
			}
			return list
		}
		Eventually(names).WithTimeout(5 * time.Second).Should(Equal([]string{`a"ready"`, `b"ready"`, `a"leaving"`, `b`, `c"ready"`}))
	})
})
