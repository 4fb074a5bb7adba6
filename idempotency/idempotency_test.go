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

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Idempotency")
}

var errCut = errors.New("no connection")

// network passes calls between coordinators, and can cut pairs and kill ends.
type network struct {
	mu    sync.Mutex // guards all below
	peers map[string]*idempotency.Coordinator
	dead  map[string]chan struct{} // closed when dead
	cuts  map[[2]string]bool
	lose  func() bool // whether an answer is lost; nil for never
}

// from is the network as one instance sees it.
type from struct {
	*network
	name string
}

func (f from) Call(ctx context.Context, address, method string, args, reply any) error {
	peer, gone, lost := f.reach(address)
	if peer == nil {
		return errCut
	}
	done := make(chan error, 1)
	go func() { done <- invoke(peer.Holder(), method, args, reply) }()
	select {
	case err := <-done:
		if lost {
			return errCut
		}
		return err
	case <-gone:
		return errCut
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f from) reach(address string) (*idempotency.Coordinator, <-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if isClosed(f.dead[address]) || isClosed(f.dead[f.name]) || f.cuts[[2]string{f.name, address}] {
		return nil, nil, false
	}
	return f.peers[address], f.dead[address], f.lose != nil && f.lose()
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

// fleet is a network of instances that all see each other.
type fleet struct {
	network
	members []objects.Member
}

func newFleet(names ...string) *fleet {
	f := &fleet{network: network{peers: map[string]*idempotency.Coordinator{}, dead: map[string]chan struct{}{}, cuts: map[[2]string]bool{}}}
	for _, name := range names {
		f.members = append(f.members, objects.Member{Name: name, Peer: name, Domain: name[:1]})
		f.peers[name] = idempotency.New(from{&f.network, name}, clockwork.NewRealClock(), 0, idempotency.DefaultLimits())
		f.dead[name] = make(chan struct{})
	}
	f.observe(f.members, names...)
	return f
}

func (f *fleet) observe(members []objects.Member, by ...string) {
	for _, self := range f.members {
		for _, name := range by {
			if self.Name == name {
				f.peers[name].Observe(self, members)
			}
		}
	}
}

func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isClosed(f.dead[name]) {
		close(f.dead[name])
	}
}

// without returns the members but those named.
func (f *fleet) without(names ...string) []objects.Member {
	var kept []objects.Member
	for _, m := range f.members {
		if !strings.Contains(strings.Join(names, " "), m.Name) {
			kept = append(kept, m)
		}
	}
	return kept
}

// try sends a request with key through an instance, and counts its runs.
func (f *fleet) try(through, key string, runs *int, end idempotency.State) (string, error) {
	answer, err := f.peers[through].Do(context.Background(), idempotency.Key{Team: "desk", Value: key}, idempotency.FingerprintOf("body"),
		func(context.Context) (idempotency.Answer, idempotency.State) {
			*runs++
			return idempotency.Answer{Body: []byte("by " + through)}, end
		})
	return string(answer.Body), err
}

var names = []string{"a1", "a2", "a3", "b1", "b2"}

var _ = Describe("A key", func() {
	var (
		f    *fleet
		runs int
	)
	BeforeEach(func() { f, runs = newFleet(names...), 0 })

	It("gives every retry the first answer, through whichever instance", func() {
		for _, through := range names {
			body, err := f.try(through, "k", &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("by a1"))
		}
		Expect(runs).To(Equal(1))
	})

	It("is free again after a run that surely did not happen, and not after an unknown one", func() {
		_, err := f.try("a1", "k", &runs, idempotency.NotRun)
		Expect(err).To(MatchError(idempotency.ErrRunFailed))
		_, err = f.try("a2", "k", &runs, idempotency.Unknown)
		Expect(err).To(MatchError(idempotency.ErrRunFailed))
		_, err = f.try("b1", "k", &runs, idempotency.Done)
		Expect(err).To(MatchError(idempotency.ErrUnknown))
		Expect(runs).To(Equal(2))
	})

	It("is refused for another request and belongs to its team", func() {
		_, err := f.try("a1", "k", &runs, idempotency.Done)
		Expect(err).NotTo(HaveOccurred())
		do := func(team, body string) error {
			_, err := f.peers["b1"].Do(context.Background(), idempotency.Key{Team: team, Value: "k"}, idempotency.FingerprintOf(body),
				func(context.Context) (idempotency.Answer, idempotency.State) {
					return idempotency.Answer{}, idempotency.Done
				})
			return err
		}
		Expect(do("desk", "other body")).To(MatchError(idempotency.ErrMismatch))
		Expect(do("other", "other body")).To(Succeed())
	})

	It("is answered with outcome unknown when all its holders are gone, whoever is asked", func() {
		for n := range 30 {
			key := fmt.Sprint(n)
			_, err := f.try("a1", key, &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
		}
		f.kill("a2")
		f.kill("a3")
		f.observe(f.without("a2", "a3"), "a1", "b1", "b2")
		known, unknown := 0, 0
		for n := range 30 {
			_, err := f.try("b2", fmt.Sprint(n), &runs, idempotency.Done)
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

	It("outlives planned stops of both its holders one after the other", func() {
		for n := range 30 {
			_, err := f.try("b1", fmt.Sprint(n), &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.peers["a1"].Retire(context.Background(), f.without("a1"))).To(Succeed())
		f.kill("a1")
		f.observe(f.without("a1"), "a2", "a3", "b1", "b2")
		Expect(f.peers["a2"].Retire(context.Background(), f.without("a1", "a2"))).To(Succeed())
		f.kill("a2")
		f.observe(f.without("a1", "a2"), "a3", "b1", "b2")
		for n := range 40 { // the last ten are new
			_, err := f.try("b2", fmt.Sprint(n), &runs, idempotency.Done)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(runs).To(Equal(40))
	})

	DescribeTable("runs at most once under kills, cuts, lost answers and differing views",
		func(seed uint64) {
			random := rand.New(rand.NewPCG(seed, seed))
			var mu sync.Mutex // guards random, counts and answers
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			counts, answers := map[string]int{}, map[string]string{}
			f.lose = func() bool { return draw(20) == 0 }
			var trying sync.WaitGroup
			for n := range 600 {
				through, key := names[draw(len(names))], fmt.Sprint(n/8)
				trying.Go(func() {
					defer GinkgoRecover()
					answer, err := f.peers[through].Do(context.Background(), idempotency.Key{Value: key}, idempotency.Fingerprint{},
						func(context.Context) (idempotency.Answer, idempotency.State) {
							mu.Lock()
							defer mu.Unlock()
							counts[key]++
							return idempotency.Answer{Body: []byte(through)}, idempotency.Done
						})
					mu.Lock()
					defer mu.Unlock()
					if err == nil && answers[key] == "" {
						answers[key] = string(answer.Body)
					}
					if err == nil {
						Expect(string(answer.Body)).To(Equal(answers[key]))
					}
				})
				f.disturb(draw, n)
				runtime.Gosched()
			}
			trying.Wait()
			Expect(counts).NotTo(BeEmpty())
			for key, count := range counts {
				Expect(count).To(Equal(1), key)
			}
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)), Entry("seed 4", uint64(4)),
	)
})

// disturb cuts, heals, changes views and, late, kills one instance.
func (f *fleet) disturb(draw func(int) int, n int) {
	one, other := names[draw(len(names))], names[draw(len(names))]
	switch draw(12) {
	case 0:
		f.mu.Lock()
		f.cuts[[2]string{one, other}] = one != other
		f.mu.Unlock()
	case 1, 2:
		f.mu.Lock()
		delete(f.cuts, [2]string{one, other})
		f.mu.Unlock()
	case 3:
		f.observe(f.without(other), one)
	case 4:
		f.observe(f.members, one)
	}
	if n == 400 {
		f.kill("a1")
	}
}

var _ = Describe("A table", func() {
	It("takes no more when it is full and drops nothing before its time", func() {
		limits := idempotency.Limits{Entries: 3, Bytes: 1 << 20, AnswerBytes: 4, Settled: time.Minute, Running: time.Hour}
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
		_, _, ok = table.Claim(now.Add(limits.Settled+1), idempotency.Key{Value: "3"}, idempotency.Record{})
		Expect(ok).To(BeTrue())
		_, _, ok = table.Claim(now.Add(limits.Running+limits.Settled+2), idempotency.Key{Value: "4"}, idempotency.Record{})
		Expect(ok).To(BeTrue())
		Expect(table.Len()).To(Equal(1))
	})
})
