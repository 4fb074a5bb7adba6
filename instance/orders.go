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
	// ordersAtOnce bounds the orders of one intent that are on their way.
	ordersAtOnce = 64
)

// Kinds of order, as counted and recorded.
const (
	orderIntent = "intent"
	orderLoad   = "load"
	orderScale  = "scale"
)

// commander decides on the upstreams of the instance's domain and gives the
// orders while the domain's upstream role is held. One goroutine owns it.
type commander struct {
	instance *Instance
	role     *lease.Keeper
	recorder *lease.Recorder
	orderer  *upstream.Orderer

	epoch    int64 // under which the deciders have learned
	swappers map[string]*fleet.Swapper
	scalers  map[string]*fleet.Scaler
	scaled   time.Time // last scaling decision
	noticed  time.Time // last notice to other domains
	noticing atomic.Bool

	mu        sync.Mutex // guards unsettled, which senders write
	unsettled time.Time  // until when an order of unknown outcome may arrive
}

// order is one decision on its way.
type order struct {
	record lease.Order
	send   func(context.Context, fenced.Check) error
}

func newCommander(i *Instance) *commander {
	return &commander{
		instance: i, role: i.upstreamRole,
		recorder: lease.NewRecorder(i.upstreamRole, i.platform),
		orderer:  upstream.NewOrderer(i.orderTimeout()),
	}
}

// pass decides once and gives the orders. It ends within the grant even when
// ctx ends, so that a planned stop cuts off no order.
func (c *commander) pass(ctx context.Context, grant lease.Grant) {
	c.enter(grant.Epoch)
	view, now := c.instance.view.Load(), c.instance.clock.Now()
	if view.Contract == nil {
		return
	}
	c.notice(ctx, view, now)
	orders := append(c.swaps(view, grant, now), c.scales(view, grant, now)...)
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.instance.orderTimeout())
	defer cancel()
	err := c.recorder.Record(ctx, grant, records(orders))
	c.instance.counters.order(orderIntent, err)
	if err != nil {
		return
	}
	c.give(ctx, grant, orders)
}

// enter forgets what was learned under another epoch.
func (c *commander) enter(epoch int64) {
	if c.epoch == epoch {
		return
	}
	c.epoch, c.scaled, c.noticed = epoch, time.Time{}, time.Time{}
	c.swappers, c.scalers = map[string]*fleet.Swapper{}, map[string]*fleet.Scaler{}
	c.instance.log.Info("upstream role is held", zap.Int64("epoch", epoch))
}

func (c *commander) swaps(view *View, grant lease.Grant, now time.Time) []order {
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
		for _, swap := range swapper.Next(engines, service.Model, view.Weights[service.Model], now) {
			orders = append(orders, c.load(swap, grant))
		}
	}
	return orders
}

func (c *commander) load(swap fleet.Swap, grant lease.Grant) order {
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

// give sends the recorded orders at once and waits for their answers.
func (c *commander) give(ctx context.Context, grant lease.Grant, orders []order) {
	check := func() error { return c.role.Check(grant.Epoch, c.instance.orderSpare()) }
	var sending errgroup.Group
	sending.SetLimit(ordersAtOnce)
	for _, o := range orders {
		sending.Go(func() error {
			c.finished(o, o.send(ctx, check))
			return nil
		})
	}
	_ = sending.Wait() // senders report to finished
}

// finished counts an order and keeps in mind one that may still arrive.
func (c *commander) finished(o order, err error) {
	c.instance.counters.order(o.record.Kind, err)
	if outcomeOf(err) != objects.Unknown.String() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled = c.instance.clock.Now().Add(c.instance.orderTimeout())
}

// settled reports whether no order may still be on its way at now.
func (c *commander) settled(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.After(c.unsettled)
}

// outcomeOf names how an order, or its intent, ended.
func outcomeOf(err error) string {
	switch {
	case errors.Is(err, fenced.ErrNotSent), errors.Is(err, lease.ErrSuperseded):
		return "not sent"
	case errors.Is(err, upstream.ErrStaleEpoch):
		return "refused"
	}
	return objects.OutcomeOf(err).String()
}

func records(orders []order) []lease.Order {
	all := make([]lease.Order, len(orders))
	for n, o := range orders {
		all[n] = o.record
	}
	return all
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
