package instance

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/fleet"
	"github.com/pomelocross/pomelocross/internal/fenced"
	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/upstream"
)

// scales returns the scaling orders that are due under the domain's cost limits.
// There are none before the instance list was read, since they would be counted
// from nothing.
func (c *commander) scales(view *View, grant lease.Grant, now time.Time) []order {
	if !view.listed || now.Sub(c.scaled) < scaleInterval {
		return nil
	}
	c.scaled = now
	var orders []order
	for _, limit := range view.Contract.Bundle.CostLimits {
		if limit.Domain != c.instance.settings.Domain {
			continue
		}
		live := inDomain(view.Upstream.ByService(limit.Service), limit.Domain)
		demand := demandOf(view.Contract, limit.Service, c.instance.slotService.waiting(limit.Service, grant), live)
		counts, due := c.scaler(limit.Service).Next(limit, demand, live, now)
		if due {
			orders = append(orders, c.scale(limit, objects.CostDear, counts.Dear, grant), c.scale(limit, objects.CostCheap, counts.Cheap, grant))
		}
	}
	return orders
}

func (c *commander) scaler(service string) *fleet.Scaler {
	scaler := c.scalers[service]
	if scaler == nil {
		scaler = fleet.NewScaler(fleet.DefaultScaleLimits())
		c.scalers[service] = scaler
	}
	return scaler
}

func (c *commander) scale(limit contract.CostLimit, cost objects.CostClass, count int, grant lease.Grant) order {
	o := objects.ScaleOrder{
		Service: limit.Service, Domain: limit.Domain, Cost: cost, Count: count,
		Holder: c.instance.settings.Name, Epoch: grant.Epoch,
	}
	return order{
		record: lease.Order{Kind: orderScale, Target: limit.Service + " " + limit.Domain, Detail: fmt.Sprintf("%s %d", cost, count)},
		send: func(ctx context.Context, check fenced.Check) error {
			return c.instance.platform.ScaleFenced(ctx, o, c.instance.orderTimeout(), check)
		},
	}
}

// demandOf joins what waits with what the upstreams report.
func demandOf(s *contract.Snapshot, name string, waiting int, live []upstream.Upstream) fleet.Demand {
	service, _ := s.Service(name)
	demand := fleet.Demand{Waiting: waiting, Slots: service.Slots}
	for _, u := range live {
		demand.Waiting += u.Load.Waiting
		demand.Running += u.Load.Running
	}
	if needsDear(s, service) {
		demand.Interactive = demand.Total()
	}
	return demand
}

// needsDear reports whether the loss of an upstream of the service may harm a
// caller: a plain service's request that may not be repeated has no resume.
func needsDear(s *contract.Snapshot, service contract.Service) bool {
	if service.Kind != contract.KindPlain {
		return false
	}
	for _, r := range s.Bundle.Routes {
		if r.Service == service.Name && !r.Idempotent {
			return true
		}
	}
	return false
}
