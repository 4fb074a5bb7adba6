package batch

import (
	"context"

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
