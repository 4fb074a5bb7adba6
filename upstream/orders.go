package upstream

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/internal/fenced"
)

// ErrStaleEpoch means that an upstream refused an order because it has received one
// with a higher fencing epoch.
var ErrStaleEpoch = errors.New("upstream refused the order because its epoch is stale")

// Orderer sends fenced orders to engines.
type Orderer struct{ sender *fenced.Sender }

// NewOrderer returns an Orderer. The kernel drops bytes of an order that the engine
// has not acknowledged within lifetime.
func NewOrderer(lifetime time.Duration) *Orderer {
	return &Orderer{sender: fenced.NewSender(lifetime)}
}

// Load orders an engine to load a weight version, unless check fails before the
// order has been sent completely. fenced.ErrNotSent and ErrStaleEpoch mean that the
// engine did not accept the order.
func (o *Orderer) Load(ctx context.Context, address string, order LoadOrder, check fenced.Check) error {
	r, err := sling.New().Post("http://" + address + "/v1/orders").BodyJSON(order).Request()
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	status, err := o.sender.Send(ctx, r, check)
	if err != nil {
		return oops.In("upstream").With("step", "order", "peer", address).Wrap(err)
	}
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case fenced.StaleEpoch(status):
		return oops.In("upstream").With("step", "order", "peer", address).Wrap(ErrStaleEpoch)
	}
	return oops.In("upstream").With("step", "order", "peer", address).Errorf("status %d", status)
}
