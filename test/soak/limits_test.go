package soak

import (
	"fmt"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// Limits that upstreams name, in requests in a second from all gateways together, and the
// window over which they are judged.
const (
	engineLimit  = 2
	serviceLimit = 4
	limitWindow  = 4 * time.Second
)

// limitedUpstream is an upstream that names a limit in its responses.
type limitedUpstream struct {
	engine *standin.Engine
	proxy  *proxy
	rate   int
}

// limit makes an upstream behind a proxy name a limit.
func (d *deployment) limit(e *standin.Engine, p *proxy, rate int) {
	e.SetLimit(fmt.Sprint(rate))
	d.limited = append(d.limited, limitedUpstream{e, p, rate})
}

// startAllowance is the time after its start in which a gateway may send one request to an
// upstream before it knows of a limit.
const startAllowance = time.Second

// checkLimits checks that no upstream got more requests in a window than its limit allows and
// one for each gateway that started in it. Windows in which the path to the upstream was
// degraded are left out, since requests are held up there.
func checkLimits(d *deployment, obs *observations) {
	for _, l := range d.limited {
		allowed := l.rate * int(limitWindow/time.Second)
		arrivals, first, greatest, judged := l.engine.Arrivals(), 0, 0, 0
		for n, at := range arrivals {
			for at.Sub(arrivals[first]) >= limitWindow {
				first++
			}
			if l.proxy.degradedWithin(arrivals[first].Add(-limitWindow), at) {
				continue
			}
			judged++
			starts := d.beliefs.startsWithin(arrivals[first].Add(-startAllowance), at)
			greatest = max(greatest, n-first+1-starts)
		}
		d.logf("%s got up to %d requests in %v of %d allowed, without one for each start, %d of %d judged", l.engine.ID, greatest, limitWindow, allowed, judged, len(arrivals))
		if greatest > allowed {
			obs.violationf("%s got %d requests in %v, but its limit allows %d", l.engine.ID, greatest, limitWindow, allowed)
		}
	}
}
