package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// fault disturbs the deployment for a while and then restores it.
type fault struct {
	name   string
	inject func(d *deployment, r *rand.Rand, duration time.Duration)
}

var faultKinds = []fault{
	{"kill a gateway", func(d *deployment, r *rand.Rand, duration time.Duration) {
		g := d.gateways[r.IntN(len(d.gateways))]
		g.terminate(syscall.SIGKILL)
		time.Sleep(duration)
		g.start()
	}},
	{"stop a gateway", func(d *deployment, r *rand.Rand, duration time.Duration) {
		g := d.gateways[r.IntN(len(d.gateways))]
		g.terminate(syscall.SIGTERM)
		time.Sleep(duration / 4)
		g.start()
	}},
	{"pause a gateway", func(d *deployment, r *rand.Rand, duration time.Duration) {
		g := d.gateways[r.IntN(len(d.gateways))]
		g.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		g.signal(syscall.SIGCONT)
	}},
	{"degrade a path to the store", func(d *deployment, r *rand.Rand, duration time.Duration) {
		degrade(d, d.gateways[r.IntN(len(d.gateways))].storeProxy, mode(1+r.IntN(int(modeCount)-1)), duration)
	}},
	{"degrade a path to an upstream", func(d *deployment, r *rand.Rand, duration time.Duration) {
		degrade(d, d.upstreamProxies[r.IntN(len(d.upstreamProxies))], mode(1+r.IntN(int(modeCount)-1)), duration)
	}},
	{"inject store faults", func(d *deployment, r *rand.Rand, duration time.Duration) {
		kind, probability := standin.Fault(1+r.IntN(int(standin.LateWrite))), r.Float64()
		d.logf("  store: fault %d with probability %.2f per call", kind, probability)
		d.setStoreFault(func(call *http.Request) standin.Fault {
			write := call.Method != http.MethodGet
			if (kind == standin.ReplyLost || kind == standin.LateWrite) && !write || rand.Float64() > probability {
				return standin.None
			}
			return kind
		})
		time.Sleep(duration)
		d.setStoreFault(nil)
	}},
	{"an upstream leaves", func(d *deployment, r *rand.Rand, duration time.Duration) {
		all := slices.Concat(d.services, d.engines)
		leaveAndRestart(d, all[r.IntN(len(all))], duration)
	}},
	{"compact the store's history", func(d *deployment, _ *rand.Rand, _ time.Duration) { d.store.Compact() }},
	{"change the configuration", func(d *deployment, _ *rand.Rand, _ time.Duration) { d.writeConfig() }},
}

// degrade sets the mode of a proxy for a duration.
func degrade(d *deployment, p *proxy, m mode, duration time.Duration) {
	d.logf("  path to %s: %s", p.target, m)
	p.setMode(m)
	time.Sleep(duration)
	p.setMode(forwarding)
}

// Minimum and range of the time between the starts of two faults and of the duration
// of a fault, in milliseconds. Faults overlap.
const (
	minGapMs, gapRangeMs           = 100, 900
	minDurationMs, durationRangeMs = 200, 2800
)

// injectFaults injects random faults until stop is closed, then waits until all are
// over. Faults that signal a gateway, the first three of faultKinds, run one at a time.
func injectFaults(d *deployment, stop <-chan struct{}) {
	var running sync.WaitGroup
	var signals sync.Mutex
	for {
		select {
		case <-stop:
			running.Wait()
			return
		case <-time.After(time.Duration(minGapMs+d.rng.IntN(gapRangeMs)) * time.Millisecond):
		}
		n := d.rng.IntN(len(faultKinds))
		f, r := faultKinds[n], rand.New(rand.NewPCG(d.rng.Uint64(), 1))
		duration := time.Duration(minDurationMs+d.rng.IntN(durationRangeMs)) * time.Millisecond
		running.Go(func() {
			if n < 3 {
				signals.Lock()
				defer signals.Unlock()
			}
			d.logf("start: %s for %v", f.name, duration)
			f.inject(d, r, duration)
			d.logf("end: %s", f.name)
		})
	}
}
