package network

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/notice"
	"github.com/pomelocross/pomelocross/objects"
)

// store is one watched kind with one object.
type store struct {
	mu      sync.Mutex // guards all below
	item    notice.Item
	changed chan struct{} // closed and replaced at every write
}

func (s *store) put(item notice.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.item = item
	close(s.changed)
	s.changed = make(chan struct{})
}

// access is one domain's way to the platform.
type access struct {
	objects.Store
	net    *Network
	domain string
}

func (a access) read(after objects.Version) (objects.List, <-chan struct{}, error) {
	a.net.mu.Lock()
	down := a.net.faults.Down[a.domain]
	a.net.mu.Unlock()
	if down {
		return objects.List{}, nil, ErrCut
	}
	s := &a.net.objects
	s.mu.Lock()
	defer s.mu.Unlock()
	list := objects.List{Version: objects.Version(s.item.Revision)}
	if list.Version > after {
		a.net.PlatformBytes.Add(int64(len(s.item.Value)))
		list.Objects = []objects.Object{{Kind: s.item.Kind, Name: s.item.Name, Version: list.Version, Value: s.item.Value}}
	}
	return list, s.changed, nil
}

// List implements objects.Store.
func (a access) List(context.Context, string) (objects.List, error) {
	a.net.Reads.Add(1)
	list, _, err := a.read(0)
	return list, err
}

// Watch implements objects.Store.
func (a access) Watch(ctx context.Context, _ string, after objects.Version, wait time.Duration) (objects.List, error) {
	a.net.Reads.Add(1)
	list, changed, err := a.read(after)
	if err != nil || len(list.Objects) > 0 {
		return list, err
	}
	a.net.Waiting.Add(1)
	defer a.net.Waiting.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	list, _, err = a.read(after)
	return list, err
}

// encoded is what a value adds to a connection that has carried its type before.
func encoded(v any) int64 {
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	_ = encoder.Encode(v)
	first := b.Len()
	_ = encoder.Encode(v)
	return int64(b.Len() - first)
}
