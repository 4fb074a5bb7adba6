package queue

import (
	"container/heap"
	"container/list"
)

// Item is a request in the scheduler, waiting or running.
type Item struct {
	ticket      Ticket
	constraints constraints
	class       *classQueue
	team        *teamQueue
	flow        *flow
	element     *list.Element // in flow; nil once granted or removed
	sequence    int64         // order of arrival
	placement   placement
}

// flow holds a team's waiting requests with equal constraints in order of arrival.
type flow struct {
	constraints constraints
	waiting     list.List // of *Item
}

// head returns the first item. A flow is never empty.
func (f *flow) head() *Item { return f.waiting.Front().Value.(*Item) }

// teamQueue holds a team's requests of one class. virtualTime is the service the
// team has received in the class: tokens divided by weight.
type teamQueue struct {
	name        string
	weight      int
	virtualTime float64
	flows       []*flow // without empty flows
	waiting     int
	waitingCost int64 // of waiting requests, in tokens
	running     int
	index       int // in classQueue.heap; -1 if nothing waits
}

// earliest returns the placeable item that arrived first among the heads of all
// flows, or nil.
func (t *teamQueue) earliest(placeable func(*Item) bool) *Item {
	var best *Item
	for _, f := range t.flows {
		item := f.head()
		if (best == nil || item.sequence < best.sequence) && placeable(item) {
			best = item
		}
	}
	return best
}

// flowOf returns the flow for constraints and creates it if needed.
func (t *teamQueue) flowOf(want constraints) *flow {
	for _, f := range t.flows {
		if f.constraints == want {
			return f
		}
	}
	f := &flow{constraints: want}
	t.flows = append(t.flows, f)
	return f
}

// classQueue holds the requests of one class. Teams are served in order of virtual
// time.
type classQueue struct {
	minShare     float64 // added to deficit per token granted to more urgent classes
	deficit      float64 // tokens by which the class is behind its minimum share
	virtualTime  float64 // largest virtual time of a served team
	teams        map[string]*teamQueue
	heap         teamHeap     // teams with waiting requests
	waitingCost  int64        // of waiting requests, in tokens
	activeWeight int          // sum over teams with waiting requests
	skipped      []*teamQueue // reused by next
}

// team returns the queue of the ticket's team and creates it if needed. A team
// without waiting requests starts at the current virtual time or later, so that idle
// time earns no credit.
func (c *classQueue) team(ticket *Ticket) *teamQueue {
	t := c.teams[ticket.Team]
	if t == nil {
		t = &teamQueue{name: ticket.Team, virtualTime: c.virtualTime, index: -1}
		c.teams[ticket.Team] = t
	}
	if t.waiting == 0 {
		t.weight = max(ticket.Weight, 1)
		t.virtualTime = max(t.virtualTime, c.virtualTime)
	}
	return t
}

func (c *classQueue) push(item *Item) {
	t := item.team
	f := t.flowOf(item.constraints)
	item.flow, item.element = f, f.waiting.PushBack(item)
	t.waiting++
	t.waitingCost += item.ticket.Cost
	c.waitingCost += item.ticket.Cost
	if t.index < 0 {
		c.activeWeight += t.weight
		heap.Push(&c.heap, t)
	}
}

// remove removes a waiting item.
func (c *classQueue) remove(item *Item) {
	t := item.team
	item.flow.waiting.Remove(item.element)
	item.element = nil
	if item.flow.waiting.Len() == 0 {
		t.dropFlow(item.flow)
	}
	t.waiting--
	t.waitingCost -= item.ticket.Cost
	c.waitingCost -= item.ticket.Cost
	if t.waiting > 0 {
		return
	}
	c.activeWeight -= t.weight
	if t.index >= 0 {
		heap.Remove(&c.heap, t.index)
	}
	if c.waitingCost == 0 {
		c.deficit = 0
	}
}

func (t *teamQueue) dropFlow(f *flow) {
	for i := range t.flows {
		if t.flows[i] == f {
			t.flows[i] = t.flows[len(t.flows)-1]
			t.flows = t.flows[:len(t.flows)-1]
			return
		}
	}
}

// next returns the item to serve next, or nil if none is placeable.
func (c *classQueue) next(placeable func(*Item) bool) *Item {
	var found *Item
	for found == nil && len(c.heap) > 0 {
		t := c.heap[0]
		found = t.earliest(placeable)
		if found == nil {
			heap.Pop(&c.heap)
			c.skipped = append(c.skipped, t)
		}
	}
	for _, t := range c.skipped {
		heap.Push(&c.heap, t)
	}
	c.skipped = c.skipped[:0]
	return found
}

// charge adds tokens to the virtual time of the item's team.
func (c *classQueue) charge(item *Item, tokens int64) {
	item.team.virtualTime += item.ticket.weightedCost(tokens)
	if item.team.index >= 0 {
		heap.Fix(&c.heap, item.team.index)
	}
}

// dropIfIdle deletes the state of a team without waiting and running requests, to
// free memory. A team ahead of the class's virtual time is kept, since a new state
// would start at that time and erase the excess service the team has received. The
// excess doesn't matter while nothing waits in the class.
func (c *classQueue) dropIfIdle(t *teamQueue) {
	if t.waiting > 0 || t.running > 0 {
		return
	}
	nothingWaits := c.waitingCost == 0 && len(c.heap) == 0
	if nothingWaits || t.virtualTime <= c.virtualTime {
		delete(c.teams, t.name)
	}
}

// dropIdleTeams deletes idle teams that the class's virtual time has caught up with.
func (c *classQueue) dropIdleTeams() {
	for _, t := range c.teams {
		c.dropIfIdle(t)
	}
}

// teamHeap orders teams by virtual time, then by name.
type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	return h[i].name < h[j].name
}

func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	t.index = -1
	*h = old[:len(old)-1]
	return t
}
