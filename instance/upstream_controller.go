package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/internal/fenced"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	scaleInterval  = 2 * time.Second
	noticeInterval = time.Second
	// maxConcurrentOrders limits the orders of one intent that are in flight.
	maxConcurrentOrders = 64
)

// Kinds of orders in metrics and in recorded intents. An order is a command to an
// upstream or to the platform, and an intent is the record of orders that is
// written before they are sent.
const (
	orderIntent = "intent"
	orderLoad   = "load"
	orderScale  = "scale"
)

// upstreamController manages the upstreams of the instance's domain while the
// instance holds the domain's upstream role: it orders weight versions to be loaded
// and upstreams to be scaled. It is used by one goroutine only, except for the
// fields guarded by mu and the atomic ones.
type upstreamController struct {
	instance *Instance
	role     *lease.Keeper
	recorder *lease.Recorder
	orderer  *upstream.Orderer

	epoch          int64 // epoch to which the state of swappers and scalers belongs
	swappers       map[string]*fleet.Swapper
	scalers        map[string]*fleet.Scaler
	lastScaling    time.Time // time of the last scaling decision
	lastNotice     time.Time // time of the last notice to other domains
	noticeInFlight atomic.Bool

	mu           sync.Mutex // guards pendingUntil, which the sending goroutines write
	pendingUntil time.Time  // time until which an order of unknown outcome may still arrive
}

// order is an order with the function that sends it.
type order struct {
	record lease.Order
	send   func(context.Context, fenced.Check) error
}

func newUpstreamController(i *Instance) *upstreamController {
	return &upstreamController{
		instance: i, role: i.upstreamRole,
		recorder: lease.NewRecorder(i.upstreamRole, i.platform),
		orderer:  upstream.NewOrderer(i.orderTimeout()),
	}
}

// reconcile computes, records and sends the orders that are due. It ignores the
// cancellation of ctx, so that a planned stop does not cut off an order, but ends
// before the grant does.
func (c *upstreamController) reconcile(ctx context.Context, grant lease.Grant) {
	c.startEpoch(grant.Epoch)
	view, now := c.instance.view.Load(), c.instance.clock.Now()
	if view.Contract == nil {
		return
	}
	c.notifyDomains(ctx, view, now)
	orders := append(c.loadOrders(view, grant, now), c.scaleOrders(view, grant, now)...)
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.instance.orderTimeout())
	defer cancel()
	err := c.recorder.Record(ctx, grant, orderRecords(orders))
	c.instance.counters.countOrder(orderIntent, err)
	if err != nil {
		return
	}
	c.sendOrders(ctx, grant, orders)
}

// startEpoch discards the state of an earlier epoch when epoch is a new one.
func (c *upstreamController) startEpoch(epoch int64) {
	if c.epoch == epoch {
		return
	}
	c.epoch, c.lastScaling, c.lastNotice = epoch, time.Time{}, time.Time{}
	c.swappers, c.scalers = map[string]*fleet.Swapper{}, map[string]*fleet.Scaler{}
	c.instance.log.Info("acquired the upstream role", zap.Int64("epoch", epoch))
}

// loadOrders returns the orders to load weight versions that are due.
func (c *upstreamController) loadOrders(view *View, grant lease.Grant, now time.Time) []order {
	var orders []order
	for _, service := range view.Contract.Bundle.Services {
		if service.Model == "" {
			continue
		}
		swapper := c.swappers[service.Name]
		if swapper == nil {
			swapper = fleet.NewSwapper(fleet.DefaultSwapLimits())
			c.swappers[service.Name] = swapper
		}
		engines := inDomain(view.Upstream.ByService(service.Name), c.instance.settings.Domain)
		for _, swap := range swapper.Next(engines, service.Model, view.WeightVersions[service.Model], now) {
			orders = append(orders, c.newLoadOrder(swap, grant))
		}
	}
	return orders
}

func (c *upstreamController) newLoadOrder(swap fleet.Swap, grant lease.Grant) order {
	o := upstream.LoadOrder{
		Model: swap.Model, WeightVersion: swap.WeightVersion,
		Holder: c.instance.settings.Name, Epoch: grant.Epoch,
	}
	return order{
		record: lease.Order{Kind: orderLoad, Target: swap.Upstream, Detail: fmt.Sprintf("%s %d", swap.Model, swap.WeightVersion)},
		send: func(ctx context.Context, check fenced.Check) error {
			return c.orderer.Load(ctx, swap.Address, o, check)
		},
	}
}

// sendOrders sends the recorded orders concurrently and waits for their outcomes.
func (c *upstreamController) sendOrders(ctx context.Context, grant lease.Grant, orders []order) {
	check := func() error { return c.role.Check(grant.Epoch, c.instance.orderMargin()) }
	var sends errgroup.Group
	sends.SetLimit(maxConcurrentOrders)
	for _, o := range orders {
		sends.Go(func() error {
			c.orderDone(o, o.send(ctx, check))
			return nil
		})
	}
	_ = sends.Wait() // errors are handled by orderDone
}

// orderDone counts an order. If its outcome is unknown, it extends pendingUntil.
func (c *upstreamController) orderDone(o order, err error) {
	c.instance.counters.countOrder(o.record.Kind, err)
	if orderOutcome(err) != objects.Unknown.String() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingUntil = c.instance.clock.Now().Add(c.instance.orderTimeout())
}

// noOrderPending reports whether, as of now, no order of unknown outcome can still
// arrive.
func (c *upstreamController) noOrderPending(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.After(c.pendingUntil)
}

// orderOutcome returns the outcome label of an order or of the record of an intent.
func orderOutcome(err error) string {
	switch {
	case errors.Is(err, fenced.ErrNotSent), errors.Is(err, lease.ErrSuperseded):
		return "not sent"
	case errors.Is(err, upstream.ErrStaleEpoch):
		return "refused"
	}
	return objects.OutcomeOf(err).String()
}

func orderRecords(orders []order) []lease.Order {
	list := make([]lease.Order, len(orders))
	for n, o := range orders {
		list[n] = o.record
	}
	return list
}

func inDomain(all []upstream.Upstream, domain string) []upstream.Upstream {
	var found []upstream.Upstream
	for _, u := range all {
		if u.Domain == domain {
			found = append(found, u)
		}
	}
	return found
}
