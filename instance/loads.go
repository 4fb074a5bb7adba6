package instance

import (
	"context"
	"maps"
	"time"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/probe"
	"github.com/pomelocross/pomelocross/upstream"
)

// tellingAtOnce bounds the batches of readings that are on their way to peers.
const tellingAtOnce = 64

// loadTimeout is how long an upstream may take to report its load.
const loadTimeout = 2 * time.Second

// loadPoller reads the loads of this instance's part of the domain's upstreams. One
// that does not answer holds up nobody else's reading. One goroutine owns it.
type loadPoller struct {
	instance *Instance
	asked    map[string]bool // without an answer yet
	known    map[string]upstream.Load
	readings chan loadReading
	telling  chan struct{} // bounds batches on their way to peers

	view *domain.View // that mine is from
	mine []objects.Member
}

// loadReading is one upstream's answer.
type loadReading struct {
	name string
	load upstream.Load
	err  error
}

// pollLoads asks the instance's part of the domain's upstreams for their load
// and tells its peers.
func (i *Instance) pollLoads(ctx context.Context) {
	p := &loadPoller{
		instance: i, asked: map[string]bool{}, known: map[string]upstream.Load{},
		readings: make(chan loadReading), telling: make(chan struct{}, tellingAtOnce),
	}
	for ctx.Err() == nil {
		p.ask(ctx)
		p.collect(ctx, i.settings.LoadInterval)
	}
}

// ask asks every assigned upstream that owes no answer and forgets others.
func (p *loadPoller) ask(ctx context.Context) {
	listed := map[string]bool{}
	for _, m := range p.assigned() {
		listed[m.Name] = true
		if !p.asked[m.Name] {
			p.asked[m.Name] = true
			go p.read(ctx, m)
		}
	}
	maps.DeleteFunc(p.known, func(name string, _ upstream.Load) bool { return !listed[name] })
}

// assigned returns the upstreams of the domain that this instance asks.
func (p *loadPoller) assigned() []objects.Member {
	view, own := p.instance.view.Load().Domain, p.instance.settings
	if view == p.view {
		return p.mine
	}
	var upstreams []objects.Member
	for _, m := range view.Upstreams() {
		if m.Domain == own.Domain {
			upstreams = append(upstreams, m)
		}
	}
	p.view, p.mine = view, probe.Assigned(own.Name, view.Peers(own.Domain), upstreams)
	return p.mine
}

func (p *loadPoller) read(ctx context.Context, m objects.Member) {
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

// publish puts what is known on the board, sends the board to the control
// goroutine and tells peers what they must know.
func (p *loadPoller) publish(ctx context.Context) {
	now := p.instance.clock.Now()
	readings := p.instance.loads.UpdateOwn(maps.Clone(p.known), now)
	if loads := p.instance.loads.Loads(now); len(loads) > 0 {
		p.instance.send(ctx, loaded{loads})
	}
	if len(readings) > 0 {
		p.tell(ctx, probe.Batch{Readings: readings})
	}
}

// tell sends a batch to the domain's other instances. A peer that is not
// reached learns the readings with the next repetition.
func (p *loadPoller) tell(ctx context.Context, batch probe.Batch) {
	for _, peer := range p.instance.view.Load().Domain.Peers(p.instance.settings.Domain) {
		if peer.Name == p.instance.settings.Name {
			continue
		}
		select {
		case p.telling <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-p.telling }()
			limited, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			_ = p.instance.dialer.Call(limited, peer.Peer, "Probe.Take", batch, &probe.BatchReply{})
		}()
	}
}

// ProbeService takes peers' readings of upstreams.
type ProbeService struct{ instance *Instance }

// Take puts a peer's readings on the board. They reach the control goroutine
// with the instance's own next ones, and at once when weights or leaving change.
func (s *ProbeService) Take(batch probe.Batch, _ *probe.BatchReply) error {
	now := s.instance.clock.Now()
	if !s.instance.loads.Merge(batch, now) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	s.instance.send(ctx, loaded{s.instance.loads.Loads(now)})
	return nil
}
