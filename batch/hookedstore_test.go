package batch

import (
	"context"
	"time"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
)

// hookedStore is a store that calls onGet with the kind of each object before it is read; an
// error of onGet is the error of the read.
type hookedStore struct {
	*memstore.Store
	onGet func(kind string) error
}

func (s hookedStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := s.onGet(kind); err != nil {
		return objects.Object{}, err
	}
	return s.Store.Get(ctx, kind, name)
}

// rejectingStore is a store that rejects values of more than a number of bytes.
type rejectingStore struct {
	*memstore.Store
	limit int
}

func (s rejectingStore) Put(ctx context.Context, kind, name string, expect objects.Version, value any) (objects.Object, error) {
	if encodedSize(value) > s.limit {
		return objects.Object{}, objects.ErrRejected
	}
	return s.Store.Put(ctx, kind, name, expect, value)
}

// slowStore is a store whose reads of an object take a delay.
type slowStore struct {
	*memstore.Store
	delay time.Duration
}

func (s slowStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	select {
	case <-time.After(s.delay):
		return s.Store.Get(ctx, kind, name)
	case <-ctx.Done():
		return objects.Object{}, ctx.Err()
	}
}
