package batch

import (
	"context"

	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/objects"
)

// hookedStore is a store that calls onGet with the kind of each object before it is read.
type hookedStore struct {
	*memstore.Store
	onGet func(kind string)
}

func (s hookedStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	s.onGet(kind)
	return s.Store.Get(ctx, kind, name)
}
