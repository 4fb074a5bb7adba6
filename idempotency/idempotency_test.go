package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/idempotency"
	"github.com/pomelocross/pomelocross/objects"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Idempotency")
}

var errUnreachable = errors.New("no connection")

// network passes calls between coordinators. It simulates connection failures between
// pairs of instances, stopped instances and lost replies.
type network struct {
	mu         sync.Mutex // guards all below
	peers      map[string]*idempotency.Coordinator
	stopped    map[string]chan struct{} // closed when the instance is stopped
	partitions map[[2]string]bool       // by caller and callee
	dropReply  func() bool              // reports whether a reply is lost; nil for never
}

// endpoint is the idempotency.Caller of one instance.
type endpoint struct {
	*network
	name string
}

func (e endpoint) Call(ctx context.Context, address, method string, args, reply any) error {
	peer, stopped, dropped := e.route(address)
	if peer == nil {
		return errUnreachable
	}
	done := make(chan error, 1)
	go func() { done <- invoke(peer.Holder(), method, args, reply) }()
	select {
	case err := <-done:
		if dropped {
			return errUnreachable
		}
		return err
	case <-stopped:
		return errUnreachable
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e endpoint) route(address string) (*idempotency.Coordinator, <-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isClosed(e.stopped[address]) || isClosed(e.stopped[e.name]) || e.partitions[[2]string{e.name, address}] {
		return nil, nil, false
	}
	return e.peers[address], e.stopped[address], e.dropReply != nil && e.dropReply()
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func invoke(holder *idempotency.Holder, method string, args, reply any) error {
	switch call := args.(type) {
	case idempotency.ClaimCall:
		return holder.Claim(call, reply.(*idempotency.ClaimReply))
	case idempotency.SettleCall:
		return holder.Settle(call, nil)
	case idempotency.AwaitCall:
		return holder.Await(call, reply.(*idempotency.AwaitReply))
	case idempotency.HandoverCall:
		return holder.Handover(call, nil)
	}
	return errors.New(method)
}

// cluster is a network of instances whose memberships contain each other.
type cluster struct {
	network
	members []objects.Member
}

func newCluster(names ...string) *cluster {
	c := &cluster{network: network{peers: map[string]*idempotency.Coordinator{}, stopped: map[string]chan struct{}{}, partitions: map[[2]string]bool{}}}
	for _, name := range names {
		c.members = append(c.members, objects.Member{Name: name, Peer: name, Domain: name[:1]})
		c.peers[name] = idempotency.New(endpoint{&c.network, name}, clockwork.NewRealClock(), 0, idempotency.DefaultLimits())
		c.stopped[name] = make(chan struct{})
	}
	c.observe(c.members, names...)
	return c
}

// observe sets the membership of the named observers.
func (c *cluster) observe(members []objects.Member, observers ...string) {
	for _, self := range c.members {
		for _, name := range observers {
			if self.Name == name {
				c.peers[name].Observe(self, members)
			}
		}
	}
}

// stop stops an instance, so that all calls to and from it fail.
func (c *cluster) stop(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isClosed(c.stopped[name]) {
		close(c.stopped[name])
	}
}

// without returns all members except the named ones.
func (c *cluster) without(names ...string) []objects.Member {
	var kept []objects.Member
	for _, m := range c.members {
		if !strings.Contains(strings.Join(names, " "), m.Name) {
			kept = append(kept, m)
		}
	}
	return kept
}

// send sends a request with key to an instance. If the request is executed, it
// increments runs and ends in state.
func (c *cluster) send(instance, key string, runs *int, state idempotency.State) (string, error) {
	response, err := c.peers[instance].Do(context.Background(), idempotency.Key{Team: "desk", Value: key}, idempotency.FingerprintOf("body"),
		func(context.Context) (idempotency.Answer, idempotency.State) {
			*runs++
			return idempotency.Answer{Body: []byte("by " + instance)}, state
		})
	return string(response.Body), err
}

var instanceNames = []string{"a1", "a2", "a3", "b1", "b2"}

var _ = Describe("A key", func() {
	var (
		c    *cluster
		runs int
	)
	BeforeEach(func() { c, runs = newCluster(instanceNames...), 0 })

	It("returns the first response to every retry at any instance", func() {
		for _, instance := range instanceNames {
			body, err := c.send(instance, "k", &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("by a1"))
		}
		Expect(runs).To(Equal(1))
	})

	It("can be reused after the outcome NotRun but not after Unknown", func() {
		_, err := c.send("a1", "k", &runs, idempotency.NotRun)
		Expect(err).To(MatchError(idempotency.ErrRunFailed))
		_, err = c.send("a2", "k", &runs, idempotency.Unknown)
		Expect(err).To(MatchError(idempotency.ErrRunFailed))
		_, err = c.send("b1", "k", &runs, idempotency.Done)
		Expect(err).To(MatchError(idempotency.ErrUnknown))
		Expect(runs).To(Equal(2))
	})

	It("is rejected for a different request and is separate for each team", func() {
		_, err := c.send("a1", "k", &runs, idempotency.Done)
		Expect(err).NotTo(HaveOccurred())
		do := func(team, body string) error {
			_, err := c.peers["b1"].Do(context.Background(), idempotency.Key{Team: team, Value: "k"}, idempotency.FingerprintOf(body),
				func(context.Context) (idempotency.Answer, idempotency.State) {
					return idempotency.Answer{}, idempotency.Done
				})
			return err
		}
		Expect(do("desk", "other body")).To(MatchError(idempotency.ErrMismatch))
		Expect(do("other", "other body")).To(Succeed())
	})

	It("returns ErrUnknown at any instance when all its holders have stopped", func() {
		for n := range 30 {
			key := fmt.Sprint(n)
			_, err := c.send("a1", key, &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
		}
		c.stop("a2")
		c.stop("a3")
		c.observe(c.without("a2", "a3"), "a1", "b1", "b2")
		known, unknown := 0, 0
		for n := range 30 {
			_, err := c.send("b2", fmt.Sprint(n), &runs, idempotency.Done)
			if err == nil {
				known++
				continue
			}
			Expect(err).To(MatchError(idempotency.ErrUnknown))
			unknown++
		}
		Expect(runs).To(Equal(30))
		Expect(known).NotTo(BeZero())
		Expect(unknown).NotTo(BeZero())
	})

	It("keeps its record when both its holders stop, one after the other", func() {
		for n := range 30 {
			_, err := c.send("b1", fmt.Sprint(n), &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.peers["a1"].Retire(context.Background(), c.without("a1"))).To(Succeed())
		c.stop("a1")
		c.observe(c.without("a1"), "a2", "a3", "b1", "b2")
		Expect(c.peers["a2"].Retire(context.Background(), c.without("a1", "a2"))).To(Succeed())
		c.stop("a2")
		c.observe(c.without("a1", "a2"), "a3", "b1", "b2")
		for n := range 40 { // the last ten are new
			_, err := c.send("b2", fmt.Sprint(n), &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(runs).To(Equal(40))
	})

	DescribeTable("runs at most once despite stopped instances, partitions, lost replies and differing memberships",
		func(seed uint64) {
			random := rand.New(rand.NewPCG(seed, seed))
			var mu sync.Mutex // guards random, counts and responses
			randIntN := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			counts, responses := map[string]int{}, map[string]string{}
			c.dropReply = func() bool { return randIntN(20) == 0 }
			var requests sync.WaitGroup
			for n := range 600 {
				instance, key := instanceNames[randIntN(len(instanceNames))], fmt.Sprint(n/8)
				requests.Go(func() {
					defer GinkgoRecover()
					response, err := c.peers[instance].Do(context.Background(), idempotency.Key{Value: key}, idempotency.Fingerprint{},
						func(context.Context) (idempotency.Answer, idempotency.State) {
							mu.Lock()
							defer mu.Unlock()
							counts[key]++
							return idempotency.Answer{Body: []byte(instance)}, idempotency.Done
						})
					mu.Lock()
					defer mu.Unlock()
					if err == nil && responses[key] == "" {
						responses[key] = string(response.Body)
					}
					if err == nil {
						Expect(string(response.Body)).To(Equal(responses[key]))
					}
				})
				c.injectFault(randIntN, n)
				runtime.Gosched()
			}
			requests.Wait()
			Expect(counts).NotTo(BeEmpty())
			for key, count := range counts {
				Expect(count).To(Equal(1), key)
			}
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
	)
})

// injectFault randomly adds or removes a partition or changes the membership of an
// instance. At request 400 it stops one instance.
func (c *cluster) injectFault(randIntN func(int) int, requestNumber int) {
	source, target := instanceNames[randIntN(len(instanceNames))], instanceNames[randIntN(len(instanceNames))]
	switch randIntN(12) {
	case 0:
		c.mu.Lock()
		c.partitions[[2]string{source, target}] = source != target
		c.mu.Unlock()
	case 1, 2:
		c.mu.Lock()
		delete(c.partitions, [2]string{source, target})
		c.mu.Unlock()
	case 3:
		c.observe(c.without(target), source)
	case 4:
		c.observe(c.members, source)
	}
	if requestNumber == 400 {
		c.stop("a1")
	}
}

var _ = Describe("A table", func() {
	It("rejects records when it is full and removes none before it expires", func() {
		limits := idempotency.Limits{MaxEntries: 3, MaxBytes: 1 << 20, MaxAnswerBytes: 4, SettledTTL: time.Minute, RunningTTL: time.Hour}
		table, now := idempotency.NewTable(limits), time.Unix(0, 0)
		for n := range 3 {
			_, _, ok := table.Claim(now, idempotency.Key{Value: fmt.Sprint(n)}, idempotency.Record{})
			Expect(ok).To(BeTrue())
		}
		_, _, ok := table.Claim(now, idempotency.Key{Value: "3"}, idempotency.Record{})
		Expect(ok).To(BeFalse())
		table.Settle(now, idempotency.Key{Value: "0"}, idempotency.Record{State: idempotency.Done, Answer: idempotency.Answer{Body: []byte("long answer")}, Kept: true})
		kept, _, _ := table.Lookup(now, idempotency.Key{Value: "0"})
		Expect(kept.Kept).To(BeFalse())
		_, _, ok = table.Claim(now.Add(limits.SettledTTL+1), idempotency.Key{Value: "3"}, idempotency.Record{})
		Expect(ok).To(BeTrue())
		_, _, ok = table.Claim(now.Add(limits.RunningTTL+limits.SettledTTL+2), idempotency.Key{Value: "4"}, idempotency.Record{})
		Expect(ok).To(BeTrue())
		Expect(table.Len()).To(Equal(1))
	})
})
