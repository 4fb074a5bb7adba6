// Package network simulates a network of notice endpoints in one process: a
// platform with one object, and delayed calls between instances. Tests can inject
// network partitions and lost replies. It counts the bytes that the calls would
// transfer.
package network

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/notice"
	"github.com/pomelocross/pomelocross/objects"
)

// ErrCut is the error of calls that do not reach their target or whose reply is lost.
var ErrCut = errors.New("call was not delivered or its reply was lost")

// Damaged is a value that instances reject as invalid.
const Damaged = "damaged"

// Link is one direction of traffic between two failure domains.
type Link struct{ From, To string }

// Faults are the injected faults. They can be changed while the network runs.
type Faults struct {
	Cut         map[Link]bool   // links that deliver no calls
	Down        map[string]bool // failure domains that cannot reach the platform
	LoseAnswers int             // number of calls between instances that take effect but return an error
}

// Network connects the instances with each other and with the platform.
type Network struct {
	// Entries are the members on the instance list.
	Entries []objects.Member
	// Delay is the one-way delay of a call between instances.
	Delay time.Duration
	// Bytes counts the bytes transferred between instances and PlatformBytes those
	// of the object values read from the platform. Reads counts the calls to the
	// platform, and Waiting those that are blocked in a watch now.
	Bytes, PlatformBytes, Reads, Waiting atomic.Int64

	mu        sync.Mutex // guards both below
	instances map[string]*Instance
	faults    Faults

	objects store
}

// New returns a network with count instances on its list, spread evenly over the
// given number of failure domains. It starts none of them.
func New(count, domains int, delay time.Duration) *Network {
	n := &Network{Delay: delay, instances: map[string]*Instance{}, objects: store{changed: make(chan struct{})}}
	for i := range count {
		n.Entries = append(n.Entries, Entry(i, i%domains))
	}
	return n
}

// Entry returns the instance list entry of the instance with a number in the failure
// domain with a number.
func Entry(number, domain int) objects.Member {
	return objects.Member{
		Name: fmt.Sprintf("entry-%03d", number), Role: objects.RoleEntry, Domain: fmt.Sprintf("domain-%02d", domain), Region: "test",
		Address: fmt.Sprintf("10.0.0.%d:80", number), Peer: fmt.Sprintf("10.0.0.%d:82", number),
	}
}

// SetFaults replaces the faults.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// Instance is an endpoint that records the items it received.
type Instance struct {
	*notice.Endpoint
	// Revision is the latest revision received.
	Revision atomic.Int64

	mu       sync.Mutex // guards received
	received []notice.Item
	stop     context.CancelFunc
}

// Check implements notice.Sink.
func (i *Instance) Check(item notice.Item) error {
	if string(item.Value) == Damaged {
		return errors.New("value is damaged")
	}
	return nil
}

// Deliver implements notice.Sink.
func (i *Instance) Deliver(item notice.Item) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.received = append(i.received, item)
	i.Revision.Store(item.Revision)
}

// Membership implements notice.Sink.
func (i *Instance) Membership(*domain.View) {}

// Received returns the items received so far.
func (i *Instance) Received() []notice.Item {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]notice.Item(nil), i.received...)
}

// Start runs an instance until ctx ends or Kill is called. With alwaysWatch set,
// it always watches the platform.
func (n *Network) Start(ctx context.Context, self objects.Member, timing notice.Timing, alwaysWatch bool) *Instance {
	ctx, stop := context.WithCancel(ctx)
	instance := &Instance{stop: stop}
	instance.Endpoint = notice.NewEndpoint(notice.Options{
		Self: self, Caller: peerCaller{n, self.Domain}, Store: platformStore{net: n, domain: self.Domain}, Kinds: []string{objects.KindConfig},
		Decode: decode, Sink: instance, Clock: clockwork.NewRealClock(), Timing: timing, Limits: domain.DefaultLimits(), AlwaysWatch: alwaysWatch,
	})
	instance.Members(n.Entries)
	n.mu.Lock()
	n.instances[self.Peer] = instance
	n.mu.Unlock()
	go instance.Run(ctx)
	return instance
}

// StartAll starts all instances on the list.
func (n *Network) StartAll(ctx context.Context, timing notice.Timing, alwaysWatch bool) []*Instance {
	all := make([]*Instance, len(n.Entries))
	for i, self := range n.Entries {
		all[i] = n.Start(ctx, self, timing, alwaysWatch)
	}
	return all
}

// Kill stops an instance without informing the others.
func (n *Network) Kill(instance *Instance) {
	instance.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.instances, instance.Self.Peer)
}

func decode(o objects.Object) (notice.Item, bool) {
	return notice.Item{Kind: o.Kind, Name: o.Name, Revision: int64(o.Version), Value: o.Value}, true
}

// peerCaller calls peers from one failure domain.
type peerCaller struct {
	net    *Network
	domain string
}

// Call implements notice.Caller.
func (c peerCaller) Call(_ context.Context, address, _ string, args, reply any) error {
	to, lost := c.net.reach(c.domain, address)
	if to == nil {
		return ErrCut
	}
	time.Sleep(c.net.Delay)
	err := to.Exchange(args.(notice.Message), reply.(*notice.Message))
	time.Sleep(c.net.Delay)
	c.net.Bytes.Add(encodedSize(args) + encodedSize(reply))
	if lost {
		return ErrCut
	}
	return err
}

// reach returns the instance at an address, or nil if it cannot be reached, and
// whether its reply will be lost.
func (n *Network) reach(from, address string) (to *Instance, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to = n.instances[address]
	if to == nil || n.faults.Cut[Link{from, to.Self.Domain}] {
		return nil, false
	}
	lost = n.faults.LoseAnswers > 0
	if lost {
		n.faults.LoseAnswers--
	}
	return to, lost
}

// Put replaces the platform's object by a value of size bytes.
func (n *Network) Put(revision int64, size int) {
	n.objects.put(notice.Item{Kind: objects.KindConfig, Name: "test", Revision: revision, Value: bytes.Repeat([]byte{'x'}, size)})
}
