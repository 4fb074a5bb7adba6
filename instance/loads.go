package instance

import (
	"context"
	"maps"
	"time"

	"github.com/pomelocross/pomelocross/platform"
	"github.com/pomelocross/pomelocross/upstream"
)

// loadTimeout is how long an upstream may take to report its load.
const loadTimeout = 2 * time.Second

// loadPoller reads the loads of the upstreams of the instance's domain. One
// that does not answer holds up nobody else's reading. One goroutine owns it.
type loadPoller struct {
	instance *Instance
	asked    map[string]bool // without an answer yet
	known    map[string]upstream.Load
	readings chan loadReading
}

// loadReading is one upstream's answer.
type loadReading struct {
	name string
	load upstream.Load
	err  error
}

// pollLoads asks the upstreams of the instance's own domain for their load.
func (i *Instance) pollLoads(ctx context.Context) {
	p := &loadPoller{
		instance: i, asked: map[string]bool{}, known: map[string]upstream.Load{},
		readings: make(chan loadReading),
	}
	for ctx.Err() == nil {
		p.ask(ctx)
		p.collect(ctx, i.settings.LoadInterval)
	}
}

// ask asks every upstream that owes no answer and forgets those not listed.
func (p *loadPoller) ask(ctx context.Context) {
	listed := map[string]bool{}
	for _, m := range p.instance.view.Load().Domain.Upstreams() {
		if m.Domain != p.instance.settings.Domain {
			continue
		}
		listed[m.Name] = true
		if !p.asked[m.Name] {
			p.asked[m.Name] = true
			go p.read(ctx, m)
		}
	}
	maps.DeleteFunc(p.known, func(name string, _ upstream.Load) bool { return !listed[name] })
}

func (p *loadPoller) read(ctx context.Context, m platform.Member) {
	limited, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := p.instance.client.ReportedLoad(limited, m.Address)
	select {
	case p.readings <- loadReading{m.Name, load, err}:
	case <-ctx.Done():
	}
}

// collect takes in answers for an interval. It publishes at half of it, which
// all but slow upstreams meet, or as soon as none owes an answer.
func (p *loadPoller) collect(ctx context.Context, interval time.Duration) {
	publish, end := time.NewTimer(interval/2), time.NewTimer(interval)
	defer publish.Stop()
	defer end.Stop()
	published := false
	for {
		select {
		case r := <-p.readings:
			p.take(r)
			if len(p.asked) == 0 && !published {
				published = true
				p.publish(ctx)
			}
		case <-publish.C:
			if !published {
				published = true
				p.publish(ctx)
			}
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *loadPoller) take(r loadReading) {
	delete(p.asked, r.name)
	if r.err != nil {
		delete(p.known, r.name)
		return
	}
	p.known[r.name] = r.load
}

// publish sends what is known to the control goroutine.
func (p *loadPoller) publish(ctx context.Context) {
	if len(p.known) > 0 {
		p.instance.send(ctx, loaded{maps.Clone(p.known)})
	}
}
