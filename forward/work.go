package forward

import (
	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/roster"
)

// costRequest returns what predicts the work of the request.
func (r Request) costRequest(kind cost.Kind, service string) cost.Request {
	return cost.Request{Kind: kind, Service: service, Route: r.Route.Name, Team: r.Team, Model: r.Model, Prompt: len(r.Body)}
}

func (p *plainRequest) costRequest() cost.Request {
	return p.request.costRequest(cost.Plain, p.service)
}

func (s *streamRequest) costRequest() cost.Request {
	return s.request.costRequest(cost.Stream, s.service)
}

// predictWork returns the predicted work of a request after a number of events.
func (f *Forwarder) predictWork(r cost.Request, events int) roster.Work {
	if f.Costs == nil || !f.Roster.PlacesByCompletion(r.Service, f.Clock.Now()) {
		return roster.Work{Kind: r.Kind}
	}
	return roster.Work{Kind: r.Kind, Estimate: f.Costs.Remaining(r, float64(events)), Typical: f.Costs.Typical(r)}
}

// observeWork records the work of a request with a complete response.
func (f *Forwarder) observeWork(r cost.Request, work float64) {
	if f.Costs != nil {
		f.Costs.Observe(r, work)
	}
}
