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

// store holds the single object of the platform.
type store struct {
	mu      sync.Mutex // guards all below
	item    notice.Item
	changed chan struct{} // closed and replaced on every write
}

func (s *store) put(item notice.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.item = item
	close(s.changed)
	s.changed = make(chan struct{})
}

// platformStore accesses the platform from one failure domain.
type platformStore struct {
	objects.Store
	net    *Network
	domain string
}

func (p platformStore) readObject(after objects.Version) (objects.List, <-chan struct{}, error) {
	p.net.mu.Lock()
	down := p.net.faults.Down[p.domain]
	p.net.mu.Unlock()
	if down {
		return objects.List{}, nil, ErrCut
	}
	s := &p.net.objects
	s.mu.Lock()
	defer s.mu.Unlock()
	list := objects.List{Version: objects.Version(s.item.Revision)}
	if list.Version > after {
		p.net.PlatformBytes.Add(int64(len(s.item.Value)))
		list.Objects = []objects.Object{{Kind: s.item.Kind, Name: s.item.Name, Version: list.Version, Value: s.item.Value}}
	}
	return list, s.changed, nil
}

// List implements objects.Store.
func (p platformStore) List(context.Context, string) (objects.List, error) {
	p.net.Reads.Add(1)
	list, _, err := p.readObject(0)
	return list, err
}

// Watch implements objects.Store.
func (p platformStore) Watch(ctx context.Context, _ string, after objects.Version, wait time.Duration) (objects.List, error) {
	p.net.Reads.Add(1)
	list, changed, err := p.readObject(after)
	if err != nil || len(list.Objects) > 0 {
		return list, err
	}
	p.net.Waiting.Add(1)
	defer p.net.Waiting.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	list, _, err = p.readObject(after)
	return list, err
}

// encodedSize returns the size of v in bytes on a gob connection that has already
// transmitted its type.
func encodedSize(v any) int64 {
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	_ = encoder.Encode(v)
	first := b.Len()
	_ = encoder.Encode(v)
	return int64(b.Len() - first)
}
