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

// maxConcurrentBroadcasts limits the calls in flight that send readings to peers.
const maxConcurrentBroadcasts = 64

// loadTimeout limits the request for the load of an upstream, and the call that
// sends a batch of readings to a peer.
const loadTimeout = 2 * time.Second

// loadPoller reads the loads of the upstreams of the domain that are assigned to
// this instance. Requests run concurrently, so an upstream that does not respond
// does not delay the others. A loadPoller is used by one goroutine only.
type loadPoller struct {
	instance   *Instance
	pending    map[string]bool // upstreams with an outstanding request
	loads      map[string]upstream.Load
	readings   chan loadReading
	broadcasts chan struct{} // semaphore for calls to peers

	view    *domain.View // from which members was computed
	members []objects.Member
}

// loadReading is the result of reading one upstream's load.
type loadReading struct {
	name string
	load upstream.Load
	err  error
}

// pollLoads reads the loads of the upstreams assigned to this instance at each
// LoadInterval and sends them to its peers.
func (i *Instance) pollLoads(ctx context.Context) {
	p := &loadPoller{
		instance: i, pending: map[string]bool{}, loads: map[string]upstream.Load{},
		readings: make(chan loadReading), broadcasts: make(chan struct{}, maxConcurrentBroadcasts),
	}
	for ctx.Err() == nil {
		p.startReads(ctx)
		p.collect(ctx, i.settings.LoadInterval)
	}
}

// startReads starts a request to every assigned upstream without an outstanding
// one, and drops the loads of upstreams that are no longer assigned.
func (p *loadPoller) startReads(ctx context.Context) {
	listed := map[string]bool{}
	for _, m := range p.assigned() {
		listed[m.Name] = true
		if !p.pending[m.Name] {
			p.pending[m.Name] = true
			go p.read(ctx, m)
		}
	}
	maps.DeleteFunc(p.loads, func(name string, _ upstream.Load) bool { return !listed[name] })
}

// assigned returns the upstreams of the domain whose load this instance reads.
func (p *loadPoller) assigned() []objects.Member {
	view, config := p.instance.view.Load().Domain, p.instance.settings
	if view == p.view {
		return p.members
	}
	var upstreams []objects.Member
	for _, m := range view.Upstreams() {
		if m.Domain == config.Domain {
			upstreams = append(upstreams, m)
		}
	}
	p.view, p.members = view, probe.Assigned(config.Name, view.Peers(config.Domain), upstreams)
	return p.members
}

func (p *loadPoller) read(ctx context.Context, m objects.Member) {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := p.instance.client.ReportedLoad(callCtx, m.Address)
	select {
	case p.readings <- loadReading{m.Name, load, err}:
	case <-ctx.Done():
	}
}

// collect receives readings for one interval. It publishes them once: when no
// request is outstanding, or after half of the interval, by which time all but slow
// upstreams have responded.
func (p *loadPoller) collect(ctx context.Context, interval time.Duration) {
	publish, end := time.NewTimer(interval/2), time.NewTimer(interval)
	defer publish.Stop()
	defer end.Stop()
	published := false
	for {
		select {
		case r := <-p.readings:
			p.record(r)
			if len(p.pending) == 0 && !published {
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

func (p *loadPoller) record(r loadReading) {
	delete(p.pending, r.name)
	if r.err != nil {
		delete(p.loads, r.name)
		return
	}
	p.loads[r.name] = r.load
}

// publish stores the known loads in the load table, sends the loads of the table to
// the control goroutine, and sends peers the readings that the table returns for them.
func (p *loadPoller) publish(ctx context.Context) {
	now := p.instance.clock.Now()
	readings := p.instance.loads.UpdateOwn(maps.Clone(p.loads), now)
	if loads := p.instance.loads.Loads(now); len(loads) > 0 {
		p.instance.sendEvent(ctx, loadsEvent{loads})
	}
	if len(readings) > 0 {
		p.broadcast(ctx, probe.Batch{Readings: readings})
	}
}

// broadcast sends a batch to the domain's other instances. Errors are ignored: a
// peer that was not reached gets the readings when they are repeated. The same
// applies to peers that are skipped at maxConcurrentBroadcasts.
func (p *loadPoller) broadcast(ctx context.Context, batch probe.Batch) {
	for _, peer := range p.instance.view.Load().Domain.Peers(p.instance.settings.Domain) {
		if peer.Name == p.instance.settings.Name {
			continue
		}
		select {
		case p.broadcasts <- struct{}{}:
		default:
			return
		}
		go func() {
			defer func() { <-p.broadcasts }()
			callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			_ = p.instance.dialer.Call(callCtx, peer.Peer, "Probe.Take", batch, &probe.BatchReply{})
		}()
	}
}

// ProbeService is the RPC service that receives the load readings of peers.
type ProbeService struct{ instance *Instance }

// Take stores a peer's readings in the load table. They reach the control goroutine
// with the instance's own next readings, or at once if a weight version or a
// leaving state has changed.
func (s *ProbeService) Take(batch probe.Batch, _ *probe.BatchReply) error {
	now := s.instance.clock.Now()
	if !s.instance.loads.Merge(batch, now) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	s.instance.sendEvent(ctx, loadsEvent{s.instance.loads.Loads(now)})
	return nil
}
