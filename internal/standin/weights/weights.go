// Package weights is a small test stand-in for the rate-limited store from which
// engines load weight versions.
package weights

import (
	"context"

	"golang.org/x/time/rate"
)

// chunksPerVersion is the number of chunks in which a version is fetched, so that
// concurrent loads share the store's bandwidth.
const chunksPerVersion = 20

// Store serves a limited number of whole versions per second. It is safe for
// concurrent use. A nil *Store has no limit.
type Store struct{ limiter *rate.Limiter }

// New returns a store that serves perSecond versions per second.
func New(perSecond float64) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond*chunksPerVersion), chunksPerVersion)}
}

// Fetch blocks until one version has been transferred or ctx ends.
func (s *Store) Fetch(ctx context.Context) error {
	if s == nil {
		return nil
	}
	for range chunksPerVersion {
		if err := s.limiter.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}
