// Package weights is a small stand-in for the rate-limited weight store from
// which engines load versions.
package weights

import (
	"context"

	"golang.org/x/time/rate"
)

// parts is how many pieces a version is fetched in, so that loads at the same
// time share the store's rate.
const parts = 20

// Store carries a bounded number of whole versions a second. It is safe for
// concurrent use. The nil Store carries any number.
type Store struct{ limiter *rate.Limiter }

// New returns a store that carries perSecond versions a second.
func New(perSecond float64) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond*parts), parts)}
}

// Fetch waits until one version has been carried or ctx ends.
func (s *Store) Fetch(ctx context.Context) error {
	if s == nil {
		return nil
	}
	for range parts {
		if err := s.limiter.Wait(ctx); err != nil {
			return err
		}
	}
	return nil
}
