package instance

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/slots"
	"github.com/pomelocross/pomelocross/upstream"
)

// A starting instance ended with a nil pointer: the pass that selects the domains to
// borrow from had loaded the view without a configuration, and the queues of the first
// configuration existed before it read them.
func TestLenderDomainsUsesViewOfQueues(t *testing.T) {
	self := objects.Member{Name: "entry-a", Domain: "mty-a"}
	remote := objects.Member{Name: "lm-1", Role: objects.RoleUpstream, Service: "lm-pool", Domain: "mty-b"}
	first := &View{
		Contract: &contract.Snapshot{Accepted: contract.Accepted{Bundle: contract.Bundle{
			Domains:  []contract.Domain{{Name: "mty-a"}, {Name: "mty-b"}},
			Services: []contract.Service{{Name: "lm-pool", Slots: 4}},
		}}},
		Domain:   domain.NewView(self, []objects.Member{remote}),
		Upstream: upstream.NewTable([]objects.Member{remote}, nil),
	}
	var view atomic.Pointer[View]
	view.Store(&View{Domain: domain.NewView(self, nil), Upstream: upstream.NewTable(nil, nil)})
	clock := clockwork.NewFakeClock()
	q := newQueues(clock, slots.TimingFor(time.Second))

	q.mu.Lock() // as held by update while it creates the queues
	lenders := make(chan []string)
	go func() { lenders <- q.lenderDomains(view.Load, "mty-a") }()
	time.Sleep(20 * time.Millisecond) // lets the pass reach the lock
	view.Store(first)
	q.ensure("lm-pool", clock.Now())
	q.mu.Unlock()
	if got := <-lenders; len(got) != 1 || got[0] != "mty-b" {
		t.Errorf("borrows from %v, want mty-b", got)
	}
}
