package batch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/forward"
	"github.com/pomelocross/pomelocross/internal/memstore"
	"github.com/pomelocross/pomelocross/roster"
)

func valid(signature string) forward.Response {
	return forward.Response{FinalStatus: forward.FinalStatus{Status: http.StatusOK}, Header: http.Header{}, Signature: signature, Tally: forward.Tally{Sent: 1}}
}

func failed(times int) forward.Response {
	return forward.Response{FinalStatus: forward.FinalStatus{Status: http.StatusInternalServerError}, Header: http.Header{}, Tally: forward.Tally{Sent: times, Failed: times}}
}

var _ = Describe("Reward calls", func() {
	It("of groups that lack the fewest results start first", func() {
		now := time.Now()
		list := []RewardCandidate{
			{GroupOpen: 1, Due: now, Since: now},
			{Required: true, GroupOpen: 3, Due: now, Since: now},
			{Required: true, GroupOpen: 1, Due: now.Add(4 * time.Second), Since: now},
			{Required: true, GroupOpen: 1, Due: now, Since: now.Add(time.Millisecond)},
			{Required: true, GroupOpen: 1, Due: now, Since: now},
		}
		want := []RewardCandidate{list[4], list[3], list[2], list[1], list[0]}
		slices.SortStableFunc(list, CompareRewards)
		Expect(list).To(Equal(want))
	})

	// Load pattern: the steps of three trainers, 128 items each, end at once. Each owner
	// sees the load of the others only after its first responses. The reward service has
	// 15 upstreams with 6 slots; an order desk must find a free slot at any time.
	It("of three owners in a clump leave slots for single requests, and are done in time", func() {
		const upstreams, slots, owners, items = 15, 6, 3, 128
		const work, due = 200 * time.Millisecond, 1500 * time.Millisecond
		capacity := RewardCapacity(upstreams * slots)
		Expect(owners * capacity).To(BeNumerically("<=", upstreams*(slots-rewardReservedSlots)))
		Expect(time.Duration((items+capacity-1)/capacity) * work).To(BeNumerically("<=", due))
	})

	It("are not sent to an upstream whose last free slot they would take", func() {
		r, now := roster.New(), time.Now()
		r.Put(roster.Entry{ID: "u", Service: "desk", Ready: true, Slots: 2})
		need := roster.Need{Service: "desk", ReservedSlots: rewardReservedSlots}
		_, ok := r.Pick(need, now)
		Expect(ok).To(BeTrue())
		r.Begin("u", "a", roster.Memory{})
		_, ok = r.Pick(need, now)
		Expect(ok).To(BeFalse())
		need.ReservedSlots = 0
		_, ok = r.Pick(need, now)
		Expect(ok).To(BeTrue())
	})

	DescribeTable("are judged by their response", func(r forward.Response, failures int, want rewardVerdict) {
		Expect(judgeReward(r, failures, 4)).To(Equal(want))
	},
		Entry("a valid response", valid("s"), 0, rewardValid),
		Entry("a valid response after errors", valid("s"), 4, rewardValid),
		Entry("a response without a signature", valid(""), 0, rewardRepeat),
		Entry("an error", failed(1), 3, rewardRepeat),
		Entry("the last allowed error", failed(1), 4, rewardFails),
		Entry("no response", forward.Response{FinalStatus: forward.FinalStatus{Status: 502}, Tally: forward.Tally{Sent: 4, MayHaveRun: true}}, 0, rewardRepeat),
	)

	It("are repeated at growing intervals, and soon if no slot was free", func() {
		Expect(rewardPause(1, true)).To(Equal(minRewardPause))
		Expect(rewardPause(3, true)).To(Equal(4 * minRewardPause))
		Expect(rewardPause(100, true)).To(Equal(maxRewardPause))
		Expect(rewardPause(100, false)).To(Equal(noSlotPause))
	})
})

// fakeRewards responds to reward calls as respond says.
type fakeRewards struct {
	respond func(ctx context.Context, call int) forward.Response

	mu    sync.Mutex // guards calls
	calls []forward.Request
}

func (f *fakeRewards) Do(ctx context.Context, r forward.Request) forward.Response {
	f.mu.Lock()
	f.calls = append(f.calls, r)
	n := len(f.calls)
	f.mu.Unlock()
	return f.respond(ctx, n)
}

func (f *fakeRewards) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// rewardedSubmission returns a batch of one item with a reward call.
func rewardedSubmission(id string) *Submission {
	s := submission(id, 1)
	s.Items[0].ID = "item" // the same in every batch, as in a resubmitted group
	s.Items[0].Reward = &RewardCall{ID: "reward", Host: "desk.example", Path: "/rate/1?a=b", Body: []byte("text")}
	return s
}

var _ = Describe("An item that awaits its reward", func() {
	var (
		store   *memstore.Store
		rewards *fakeRewards
		routes  []catalog.Route
		limits  Limits
	)
	text := Partial{Last: 1, Events: 2, Text: "a\nb", Versions: []int64{3}, Whole: true}

	newRunner := func(name string) *Runner {
		r := newIdleService(store, name).runner
		r.LimitsOf = func(Head) Limits { return limits }
		r.Rewards = rewards
		r.Catalog = func() *catalog.Catalog {
			return catalog.New(1, routes, []catalog.Service{{Name: "desk"}, {Name: "lm"}}, nil, catalog.Limits{})
		}
		r.Roster.Put(roster.Entry{ID: "u", Service: "desk", Ready: true, Slots: 8})
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go r.Run(ctx)
		return r
	}
	add := func(r *Runner, id string, partials map[string]Partial) {
		s := rewardedSubmission(id)
		h, created, err := r.Store.Create(context.Background(), s, Head{Owner: r.Name, Team: "t", Route: "lots", Submitted: time.Now().UnixMilli()})
		Expect(err).NotTo(HaveOccurred())
		Expect(created).To(BeTrue())
		r.Add(h, s, NewResultLog(1), partials, limits)
	}
	results := func(r *Runner, id string) []Result {
		page, err := r.Page(context.Background(), ReadArgs{ID: id, Team: "t"})
		Expect(err).NotTo(HaveOccurred())
		return page.Results
	}
	complete := []Result{{ID: "item", State: Complete, Text: "a\nb", Versions: []int64{3}, Reward: "s"}}

	BeforeEach(func() {
		store, limits = memstore.New(), Limits{Due: time.Second, MaxAge: time.Minute}
		rewards = &fakeRewards{respond: func(context.Context, int) forward.Response { return valid("s") }}
		routes = []catalog.Route{
			{Name: "lots", Host: "desk.example", Prefix: "/train/", Kind: catalog.KindRollout, Attempts: 3, Shares: []catalog.Share{{Service: "lm"}}},
			{Name: "rate", Host: "desk.example", Prefix: "/rate/", Kind: catalog.KindSafe, Attempts: 4, Timeout: time.Second, Shares: []catalog.Share{{Service: "desk"}}},
		}
	})

	// The runner knows no engine, so an item whose text was generated again would never
	// be listed.
	It("is listed with its reward and not generated again by the next owner", func() {
		r := newRunner("b")
		add(r, "l", map[string]Partial{"item": text})
		Eventually(func() []Result { return results(r, "l") }).WithTimeout(5 * time.Second).Should(Equal(complete))
		Expect(rewards.count()).To(Equal(1))
		sent := rewards.calls[0]
		Expect([]string{sent.ID, sent.Method, sent.Host, sent.Target, string(sent.Body), sent.Team, sent.Route.Name}).To(
			Equal([]string{"reward", "POST", "desk.example", "/rate/1?a=b", "text", "", "rate"}))
	})

	It("is listed after lost responses, refusals and error responses", func() {
		rewards.respond = func(_ context.Context, call int) forward.Response {
			switch call {
			case 1:
				return forward.Response{FinalStatus: forward.FinalStatus{Status: 503}}
			case 2:
				return forward.Response{FinalStatus: forward.FinalStatus{Status: 502}, Tally: forward.Tally{Sent: 4, MayHaveRun: true}}
			case 3:
				return failed(3)
			}
			return valid("s")
		}
		r := newRunner("a")
		add(r, "l", map[string]Partial{"item": text})
		Eventually(func() []Result { return results(r, "l") }).WithTimeout(5 * time.Second).Should(Equal(complete))
	})

	It("is abandoned when its call got as many error responses as allowed", func() {
		rewards.respond = func(context.Context, int) forward.Response { return failed(2) }
		r := newRunner("a")
		add(r, "l", map[string]Partial{"item": text})
		Eventually(func() []Result { return results(r, "l") }).WithTimeout(5 * time.Second).Should(Equal([]Result{{ID: "item", State: Dead}}))
		Expect(rewards.count()).To(Equal(2))
	})

	It("waits without a call while its call has no route", func() {
		all := routes
		routes = all[:1]
		r := newRunner("a")
		add(r, "l", map[string]Partial{"item": text})
		Consistently(rewards.count, "200ms").Should(BeZero())
		r.mu.Lock()
		routes = all
		r.mu.Unlock()
		Eventually(func() []Result { return results(r, "l") }).WithTimeout(5 * time.Second).Should(Equal(complete))
	})

	It("is not listed when its batch ends, and keeps its text for the next batch", func() {
		cancelled := make(chan struct{})
		rewards.respond = func(ctx context.Context, call int) forward.Response {
			if call > 1 {
				return valid("s")
			}
			<-ctx.Done()
			close(cancelled)
			return forward.Response{FinalStatus: forward.FinalStatus{Status: 504}, Tally: forward.Tally{Sent: 1, Open: 1}}
		}
		r := newRunner("a")
		add(r, "l", map[string]Partial{"item": text})
		Eventually(rewards.count).Should(Equal(1))
		r.MarkEnded("l")
		Eventually(cancelled).Should(BeClosed())
		Expect(results(r, "l")).To(BeEmpty())
		add(r, "m", nil)
		Eventually(func() []Result { return results(r, "m") }).WithTimeout(5 * time.Second).Should(Equal(complete))
	})

	It("has its text stored while the reward is late, and handed over when the instance stops", func(ctx SpecContext) {
		rewards.respond = func(ctx context.Context, _ int) forward.Response {
			<-ctx.Done()
			return forward.Response{FinalStatus: forward.FinalStatus{Status: 504}, Tally: forward.Tally{Sent: 1, Open: 1}}
		}
		r := newRunner("a")
		add(r, "l", map[string]Partial{"item": text})
		Eventually(rewards.count).Should(Equal(1))
		Expect(r.dueCheckpoints()).To(BeEmpty())
		r.mu.Lock()
		r.jobs["l"].items["item"].reward.since = time.Now().Add(-checkpointRewardWait)
		r.mu.Unlock()
		due := r.dueCheckpoints()
		Expect(due).To(HaveLen(1))
		Expect(due[0].texts).To(Equal(map[string]Partial{"item": text}))
		Expect(r.Stop(ctx)["l"].texts).To(Equal(map[string]Partial{"item": text}))
	})

	It("is abandoned when its batch is older than allowed", func() {
		routes = routes[:1]
		limits.MaxAge = 0
		r := newRunner("a")
		add(r, "l", map[string]Partial{"item": text})
		Eventually(func() []Result { return results(r, "l") }).WithTimeout(5 * time.Second).Should(Equal([]Result{{ID: "item", State: Dead}}))
	})
})
