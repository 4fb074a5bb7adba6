package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/memstore"
)

var baseTime = time.Unix(1000, 0)

var _ = Describe("CompareCandidates", func() {
	required := Candidate{LatestStart: baseTime, Required: true}

	DescribeTable("orders the first before the second", func(a, b Candidate) {
		Expect(CompareCandidates(a, b)).To(BeNumerically("<", 0))
		Expect(CompareCandidates(b, a)).To(BeNumerically(">", 0))
	},
		Entry("required before not required, regardless of their latest start", Candidate{LatestStart: baseTime.Add(time.Hour), Required: true}, Candidate{LatestStart: baseTime}),
		Entry("the earlier latest start", required, Candidate{LatestStart: baseTime.Add(time.Second), Required: true, Resubmitted: true}),
		Entry("resubmitted", Candidate{LatestStart: baseTime, Required: true, Resubmitted: true}, required),
	)
})

var _ = Describe("The queue of a runner", func() {
	// Two steps arrive 1.9 s apart, as after an outage, and the items of the later step
	// need weights that few engines serve yet.
	It("orders long items of a later step before short ones and after long ones of an earlier step", func() {
		r := newIdleService(memstore.New(), "a").runner
		now := r.Clock.Now()
		add := func(id string, due time.Duration, lengths ...int) {
			s := submission(id, len(lengths))
			for n, tokens := range lengths {
				s.Items[n].Output, s.Items[n].Hint = 12675, tokens
			}
			s.Desired = len(lengths)
			j := newJob(Stored{ID: id}, s, NewResultLog(len(lengths)), func(*Item) *Partial { return nil }, Limits{Due: due, MaxAge: time.Minute}, now)
			r.jobs[id] = j
		}
		add("early", 5600*time.Millisecond, 640, 12675)
		add("late", 7500*time.Millisecond, 12675, 640)
		ids := make([]string, 0, 4)
		for _, q := range r.queue() {
			ids = append(ids, q.state.item.ID)
		}
		Expect(ids).To(Equal([]string{"early-1", "late-0", "early-0", "late-1"}))
	})
})

var _ = Describe("OrderGroups", func() {
	It("puts resubmitted groups first and the most expensive ones last", func() {
		groups := OrderGroups(BatchState{Groups: []GroupState{
			{Name: "long", MaxTokens: 900, TotalTokens: 900}, {Name: "short", MaxTokens: 100, TotalTokens: 300},
			{Name: "again", MaxTokens: 800, TotalTokens: 800, Resubmitted: true},
		}})
		names := make([]string, len(groups))
		for n, g := range groups {
			names[n] = g.Name
		}
		Expect(names).To(Equal([]string{"again", "short", "long"}))
	})
})

// simulateStep runs the items of a step in the given order on slots that run one item at
// a time. It returns the time at which the desired number of groups is complete.
func simulateStep(items []simItem, slots, desired int, compare func(a, b simItem) int) float64 {
	queue := slices.Clone(items)
	slices.SortStableFunc(queue, compare)
	free := make([]float64, slots)
	ends := map[int]float64{}
	for _, item := range queue {
		slices.Sort(free)
		free[0] += item.length
		ends[item.group] = math.Max(ends[item.group], free[0])
	}
	completed := make([]float64, 0, len(ends))
	for _, at := range ends {
		completed = append(completed, at)
	}
	slices.Sort(completed)
	return completed[desired-1]
}

type simItem struct {
	group  int
	length float64
	Candidate
}

// randomStep generates a step with the distribution that users specify: very different
// lengths, and hints that are correct at the median but often far off.
func randomStep(random *rand.Rand, groups, size int) []simItem {
	var items []simItem
	state := BatchState{Desired: groups * 9 / 10}
	for g := range groups {
		s := GroupState{Name: fmt.Sprint(g)}
		for range size {
			length := math.Exp(0.8 * random.NormFloat64())
			hint := int(1000 * length * math.Exp(0.5*random.NormFloat64()))
			items = append(items, simItem{group: g, length: length, Candidate: Candidate{LatestStart: baseTime.Add(-time.Duration(hint) * time.Millisecond)}})
			s.TotalTokens, s.MaxTokens = s.TotalTokens+hint, max(s.MaxTokens, hint)
		}
		state.Groups = append(state.Groups, s)
	}
	rank := map[string]int{}
	for n, g := range OrderGroups(state) {
		rank[g.Name] = n
	}
	for n := range items {
		items[n].Required = rank[fmt.Sprint(items[n].group)] < state.Desired
	}
	return items
}

var _ = Describe("The order of a step that exceeds the slots", func() {
	It("completes the desired groups earlier than arrival order and random order", func() {
		random := rand.New(rand.NewPCG(1, 1))
		var scheduled, arrival, shuffled float64
		for range 200 {
			items := randomStep(random, 20, 8)
			scheduled += simulateStep(items, 48, 18, func(a, b simItem) int { return CompareCandidates(a.Candidate, b.Candidate) })
			arrival += simulateStep(items, 48, 18, func(a, b simItem) int { return 0 })
			random.Shuffle(len(items), func(a, b int) { items[a], items[b] = items[b], items[a] })
			shuffled += simulateStep(items, 48, 18, func(a, b simItem) int { return 0 })
		}
		Expect(scheduled).To(BeNumerically("<", arrival))
		Expect(scheduled).To(BeNumerically("<", shuffled))
	})
})
