package notice

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/platform"
)

func TestNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(10 * time.Second)
	RunSpecs(t, "Notice")
}

var errCut = errors.New("cut")

// network joins endpoints in one process. It counts what the calls would carry.
type network struct {
	delay time.Duration // one way

	mu        sync.Mutex // guards all below
	endpoints map[string]*member
	members   []platform.Member
	cut       map[[2]string]bool // from domain, to domain
	lose      int                // answers to lose, after the call took effect
	down      map[string]bool    // domains that do not reach the platform

	bytes, platformBytes, calls, reads, waiting atomic.Int64
	objects                                     store
}

type member struct {
	*Endpoint
	mu       sync.Mutex // guards news
	news     []Item
	revision atomic.Int64
	stop     context.CancelFunc
}

func (m *member) Check(item Item) error {
	if string(item.Value) == "damaged" {
		return errors.New("damaged")
	}
	return nil
}

func (m *member) News(item Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.news = append(m.news, item)
	m.revision.Store(item.Revision)
}

func (m *member) Membership(*domain.View) {}

// store is one watched kind with one object.
type store struct {
	mu      sync.Mutex // guards all below
	item    Item
	changed chan struct{}
}

func (n *network) put(revision int64, size int) {
	n.objects.mu.Lock()
	defer n.objects.mu.Unlock()
	n.objects.item = Item{Kind: "config", Name: "test", Revision: revision, Value: bytes.Repeat([]byte{'x'}, size)}
	close(n.objects.changed)
	n.objects.changed = make(chan struct{})
}

// access is one instance's way to the platform.
type access struct {
	platform.Store
	net    *network
	domain string
}

func (a access) read(after platform.Version) (platform.List, chan struct{}, error) {
	a.net.mu.Lock()
	down := a.net.down[a.domain]
	a.net.mu.Unlock()
	if down {
		return platform.List{}, nil, errCut
	}
	a.net.objects.mu.Lock()
	defer a.net.objects.mu.Unlock()
	item := a.net.objects.item
	list := platform.List{Version: platform.Version(item.Revision)}
	if list.Version > after {
		a.net.platformBytes.Add(int64(len(item.Value)))
		list.Objects = []platform.Object{{Kind: item.Kind, Name: item.Name, Version: list.Version, Value: item.Value}}
	}
	return list, a.net.objects.changed, nil
}

func (a access) List(context.Context, string) (platform.List, error) {
	a.net.reads.Add(1)
	list, _, err := a.read(0)
	return list, err
}

func (a access) Watch(ctx context.Context, _ string, after platform.Version, wait time.Duration) (platform.List, error) {
	a.net.reads.Add(1)
	list, changed, err := a.read(after)
	if err != nil || len(list.Objects) > 0 {
		return list, err
	}
	a.net.waiting.Add(1)
	defer a.net.waiting.Add(-1)
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	list, _, err = a.read(after)
	return list, err
}

// way is one instance's way to its peers.
type way struct {
	net    *network
	domain string
}

func (w way) Call(ctx context.Context, address, _ string, args, reply any) error {
	w.net.mu.Lock()
	to := w.net.endpoints[address]
	cut := to == nil || w.net.cut[[2]string{w.domain, to.Self.Domain}]
	lost := w.net.lose > 0
	if lost {
		w.net.lose--
	}
	w.net.mu.Unlock()
	if cut {
		return errCut
	}
	time.Sleep(w.net.delay)
	err := to.Exchange(args.(Message), reply.(*Message))
	time.Sleep(w.net.delay)
	w.net.calls.Add(1)
	w.net.bytes.Add(gobSize(args) + gobSize(reply))
	if lost {
		return errCut
	}
	return err
}

// gobSize is what a value adds to a connection that has carried its type before.
func gobSize(v any) int64 {
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	_ = encoder.Encode(v)
	first := b.Len()
	_ = encoder.Encode(v)
	return int64(b.Len() - first)
}

func decode(o platform.Object) (Item, bool) {
	return Item{Kind: o.Kind, Name: o.Name, Revision: int64(o.Version), Value: o.Value}, true
}

// newNetwork starts count endpoints spread over domains and returns them by place.
func newNetwork(ctx context.Context, count, domains int, delay time.Duration, timing Timing, always bool) (*network, []*member) {
	n := &network{delay: delay, endpoints: map[string]*member{}, cut: map[[2]string]bool{}, down: map[string]bool{}}
	n.objects.changed = make(chan struct{})
	for i := range count {
		n.members = append(n.members, platform.Member{
			Name: fmt.Sprintf("entry-%03d", i), Role: platform.RoleEntry, Domain: fmt.Sprintf("domain-%02d", i%domains),
			Region: "test", Address: fmt.Sprintf("10.0.0.%d:80", i), Peer: fmt.Sprintf("10.0.0.%d:82", i),
		})
	}
	var all []*member
	for _, self := range n.members {
		all = append(all, n.start(ctx, self, timing, always))
	}
	return n, all
}

func (n *network) start(ctx context.Context, self platform.Member, timing Timing, always bool) *member {
	ctx, stop := context.WithCancel(ctx)
	m := &member{stop: stop}
	m.Endpoint = NewEndpoint(Options{
		Self: self, Caller: way{n, self.Domain}, Store: access{net: n, domain: self.Domain}, Kinds: []string{"config"},
		Decode: decode, Sink: m, Clock: clockwork.NewRealClock(), Timing: timing, Limits: domain.DefaultLimits(), AlwaysWatch: always,
	})
	m.Members(n.members)
	n.mu.Lock()
	n.endpoints[self.Peer] = m
	n.mu.Unlock()
	go m.Run(ctx)
	return m
}

func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// fastTiming is the default, ten times as fast.
func fastTiming() Timing {
	t := DefaultTiming()
	for _, d := range []*time.Duration{&t.Round, &t.CallTimeout, &t.Wait, &t.Stale, &t.MinPause, &t.MaxPause, &t.MaxIdlePause} {
		*d /= 10
	}
	return t
}

func allAt(all []*member, revision int64) func() bool {
	return func() bool {
		for _, m := range all {
			if m.revision.Load() < revision {
				return false
			}
		}
		return true
	}
}

var _ = Describe("An endpoint", func() {
	var (
		ctx context.Context
		n   *network
		all []*member
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(cancel)
		n, all = newNetwork(ctx, 9, 3, 0, fastTiming(), false)
		n.put(1, 10)
		Eventually(allAt(all, 1)).Should(BeTrue())
	})

	It("hears through peers what a domain cut off from the platform is not told", func() {
		n.change(func() { n.down["domain-01"] = true })
		n.put(2, 10)
		Eventually(allAt(all, 2)).Should(BeTrue())
	})

	DescribeTable("hears over a cut that passes calls one way only", func(from, to string) {
		n.change(func() {
			n.down["domain-01"] = true
			n.cut[[2]string{from, to}] = true
			n.cut[[2]string{"domain-01", "domain-02"}] = true
			n.cut[[2]string{"domain-02", "domain-01"}] = true
		})
		n.put(2, 10)
		Eventually(allAt(all, 2)).Should(BeTrue())
		declared := []string{"domain-00", "domain-01", "domain-02"}
		Eventually(func() time.Duration { return time.Since(all[1].Trusted(declared)) }).Should(BeNumerically("<", time.Second))
		Consistently(func() time.Duration { return time.Since(all[1].Trusted(declared)) }, "1s").Should(BeNumerically("<", time.Second))
	},
		Entry("when it can call but not be called", "domain-00", "domain-01"),
		Entry("when it can be called but not call", "domain-01", "domain-00"),
	)

	It("sends news again when answers are lost, and tells each item once", func() {
		n.change(func() { n.lose = 8 })
		n.put(2, 10)
		Eventually(allAt(all, 2)).Should(BeTrue())
		for _, m := range all {
			Expect(m.news).To(HaveLen(2))
		}
	})

	It("never takes an older revision or a damaged value", func() {
		n.put(5, 10)
		Eventually(allAt(all, 5)).Should(BeTrue())
		var reply Message
		old := Message{From: n.members[3], Items: []Item{{Kind: "config", Name: "test", Revision: 4}, {Kind: "config", Name: "test", Revision: 9, Value: []byte("damaged")}}}
		Expect(all[0].Exchange(old, &reply)).To(Succeed())
		Expect(all[0].revision.Load()).To(Equal(int64(5)))
		Expect(reply.Items).To(HaveLen(1))
	})

	It("starts in an outage from what its peers know", func() {
		n.change(func() {
			for _, m := range n.members {
				n.down[m.Domain] = true
			}
		})
		late := platform.Member{Name: "late", Role: platform.RoleEntry, Domain: "domain-01", Peer: "10.0.0.99:82"}
		m := n.start(ctx, late, fastTiming(), false)
		Eventually(m.revision.Load).Should(Equal(int64(1)))
	})
})
