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

// ErrOldEpoch is an upstream's refusal of an order with an old fencing number.
var ErrStaleEpoch = errors.New("upstream refuses the order's epoch")

// Orderer gives orders to engines.
type Orderer struct{ sender *fenced.Sender }

// NewOrderer returns an Orderer. Bytes of an order that an engine has not
// acknowledged after lifetime are dropped.
func NewOrderer(lifetime time.Duration) *Orderer {
	return &Orderer{sender: fenced.NewSender(lifetime)}
}

// Load tells an engine to load a weight version, unless check fails before the
// order has left. fenced.ErrNotSent and ErrOldEpoch mean that it was not taken.
func (o *Orderer) Load(ctx context.Context, address string, order LoadOrder, check fenced.Check) error {
	r, err := sling.New().Post("http://" + address + "/v1/orders").BodyJSON(order).Request()
	if err != nil {
		return oops.In("upstream").With("step", "build").Wrap(err)
	}
	answer, err := o.sender.Send(ctx, r, check)
	if err != nil {
		return oops.In("upstream").With("step", "order", "peer", address).Wrap(err)
	}
	defer fenced.Close(answer)
	switch {
	case answer.StatusCode < http.StatusMultipleChoices:
		return nil
	case fenced.StaleEpoch(answer):
		return oops.In("upstream").With("step", "order", "peer", address).Wrap(ErrStaleEpoch)
	}
	return oops.In("upstream").With("step", "order", "peer", address).Errorf("status %d", answer.StatusCode)
}
