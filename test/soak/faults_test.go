package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// fault harms the world for a while and heals it again.
type fault struct {
	name string
	do   func(w *world, r *rand.Rand, last time.Duration)
}

var faultKinds = []fault{
	{"kill a gateway", func(w *world, r *rand.Rand, last time.Duration) {
		g := w.gateways[r.IntN(len(w.gateways))]
		g.end(syscall.SIGKILL)
		time.Sleep(last)
		g.start()
	}},
	{"stop a gateway", func(w *world, r *rand.Rand, last time.Duration) {
		g := w.gateways[r.IntN(len(w.gateways))]
		g.end(syscall.SIGTERM)
		time.Sleep(last / 4)
		g.start()
	}},
	{"pause a gateway", func(w *world, r *rand.Rand, last time.Duration) {
		g := w.gateways[r.IntN(len(w.gateways))]
		g.signal(syscall.SIGSTOP)
		time.Sleep(last)
		g.signal(syscall.SIGCONT)
	}},
	{"harm a way to the store", func(w *world, r *rand.Rand, last time.Duration) {
		harm(w, w.gateways[r.IntN(len(w.gateways))].store, mode(1+r.IntN(int(modes)-1)), last)
	}},
	{"harm a way to an upstream", func(w *world, r *rand.Rand, last time.Duration) {
		harm(w, w.paths[r.IntN(len(w.paths))], mode(1+r.IntN(int(modes)-1)), last)
	}},
	{"harm the store", func(w *world, r *rand.Rand, last time.Duration) {
		kind, share := standin.Fault(1+r.IntN(int(standin.LateWrite))), r.Float64()
		w.note("  the store: fault %d for %.2f of the calls", kind, share)
		w.setStoreFault(func(call *http.Request) standin.Fault {
			write := call.Method != http.MethodGet
			if (kind == standin.ReplyLost || kind == standin.LateWrite) && !write || rand.Float64() > share {
				return standin.None
			}
			return kind
		})
		time.Sleep(last)
		w.setStoreFault(nil)
	}},
	{"forget the store's history", func(w *world, _ *rand.Rand, _ time.Duration) { w.store.Compact() }},
	{"change the configuration", func(w *world, _ *rand.Rand, _ time.Duration) { w.configure() }},
}

func harm(w *world, p *proxy, m mode, last time.Duration) {
	w.note("  %s is %s", p.to, m)
	p.set(m)
	time.Sleep(last)
	p.set(pass)
}

// Bounds of the time between faults and of their lengths, in milliseconds; several
// overlap.
const (
	leastGap, gapSpread   = 100, 900
	leastLast, lastSpread = 200, 2800
)

// trouble harms the world until stop is closed, then waits until all is healed. One
// gateway takes one signal at a time.
func trouble(w *world, stop <-chan struct{}) {
	var running sync.WaitGroup
	var signals sync.Mutex
	for {
		select {
		case <-stop:
			running.Wait()
			return
		case <-time.After(time.Duration(leastGap+w.random.IntN(gapSpread)) * time.Millisecond):
		}
		n := w.random.IntN(len(faultKinds))
		f, r := faultKinds[n], rand.New(rand.NewPCG(w.random.Uint64(), 1))
		last := time.Duration(leastLast+w.random.IntN(lastSpread)) * time.Millisecond
		running.Go(func() {
			if n < 3 {
				signals.Lock()
				defer signals.Unlock()
			}
			w.note("%s for %v", f.name, last)
			f.do(w, r, last)
			w.note("%s is over", f.name)
		})
	}
}
