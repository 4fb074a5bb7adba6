package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/internal/dial"
)

// goneTimeout bounds the check of Gone. A machine without the process refuses a
// connection within a round trip.
const goneTimeout = 250 * time.Millisecond

// Gone reports whether no process listens at an address any more: the machine refuses
// connections to it. It returns false if this cannot be told in time.
func Gone(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, goneTimeout)
	defer cancel()
	conn, err := dial.Func(goneTimeout, unackedTimeout)(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
