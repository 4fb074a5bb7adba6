package objects_test

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/objects"
)

// cappedStore has one more change every interval and returns at most a megabyte of
// changes per watch. Only List and Watch are implemented.
type cappedStore struct {
	objects.Store
	started  time.Time
	interval time.Duration
	value    json.RawMessage

	mu      sync.Mutex // guards watches
	watches int
}

func (s *cappedStore) version() objects.Version {
	return objects.Version(time.Since(s.started) / s.interval)
}

func (s *cappedStore) List(context.Context, string) (objects.List, error) {
	return objects.List{Version: s.version()}, nil
}

func (s *cappedStore) Watch(_ context.Context, _ string, after objects.Version, _ time.Duration) (objects.List, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	const limit = 1 << 20
	l := objects.List{Version: after}
	for size := 0; l.Version < s.version() && size < limit; size += len(s.value) {
		l.Version++
		l.Objects = append(l.Objects, objects.Object{Name: "o", Version: l.Version, Value: s.value})
	}
	return l, nil
}

var _ = Describe("A follower that pauses between watches", func() {
	// Load pattern: 3,000 upstreams renew their registrations each 1.2 s, more than a
	// megabyte for each pause. The follower fell behind by seconds, and requests reached
	// upstreams that had left.
	It("keeps up with more changes than fit into a response", func(ctx SpecContext) {
		store := &cappedStore{started: time.Now(), interval: 400 * time.Microsecond, value: json.RawMessage(`"` + strings.Repeat("x", 8<<10) + `"`)}
		const pause = 200 * time.Millisecond // 4 MB of changes
		var mu sync.Mutex
		reached := objects.Version(0)
		followCtx, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		go objects.FollowWith(followCtx, store, "k", objects.FollowOptions{
			MaxPause: time.Second, Pause: func() time.Duration { return pause },
			OnProgress: func(v objects.Version) { mu.Lock(); defer mu.Unlock(); reached = v },
		}, func(objects.Object) {})
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		lag := time.Duration(store.version()-reached) * store.interval
		Expect(lag).To(BeNumerically("<", 3*pause))
		store.mu.Lock()
		defer store.mu.Unlock()
		Expect(store.watches).To(BeNumerically("<", 150), "it still pauses")
	})
})
