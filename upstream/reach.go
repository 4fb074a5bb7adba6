package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/internal/dial"
)

// reachTimeout bounds a check of Reach. A machine on a working path accepts or refuses a
// connection within a round trip.
const reachTimeout = 250 * time.Millisecond

// Reach opens a connection to an address and closes it. accepted reports whether a
// process listens there, and refused whether the machine says that none does; neither is
// true without a response in time.
func Reach(ctx context.Context, address string) (accepted, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	conn, err := dial.Func(reachTimeout, DeliveryTimeout)(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return true, false
	}
	return false, errors.Is(err, syscall.ECONNREFUSED)
}
