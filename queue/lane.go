package queue

import (
	"container/heap"
	"container/list"
)

// Item is a request that waits or runs.
type Item struct {
	ticket  Ticket
	need    need
	lane    *lane
	account *account
	flow    *flow
	element *list.Element // in flow; nil once granted or gone
	number  int64         // order of arrival
	run     running
}

// flow holds a team's waiting requests with equal needs in order of arrival.
type flow struct {
	need    need
	waiting list.List // of *Item
}

// head returns the flow's first entry; the flow is never empty.
func (f *flow) head() *Item { return f.waiting.Front().Value.(*Item) }

// account is a team's use of one class. Pass is the virtual time up to which the
// team has been served: tokens divided by weight.
type account struct {
	team    string
	weight  int
	pass    float64
	flows   []*flow // none is empty
	waiting int
	cost    int64 // of waiting requests, in tokens
	running int
	index   int // in the lane's heap; -1 when nothing waits
}

// first returns the earliest entry whose need may be placed.
func (a *account) first(placeable func(*Item) bool) *Item {
	var best *Item
	for _, f := range a.flows {
		e := f.head()
		if (best == nil || e.number < best.number) && placeable(e) {
			best = e
		}
	}
	return best
}

func (a *account) flowOf(n need) *flow {
	for _, f := range a.flows {
		if f.need == n {
			return f
		}
	}
	f := &flow{need: n}
	a.flows = append(a.flows, f)
	return f
}

// lane holds the requests of one class. Teams are served in order of pass.
type lane struct {
	floor    float64 // part of what more urgent classes are granted that is owed to this one
	owed     float64 // tokens
	virtual  float64 // pass of the team served last
	accounts map[string]*account
	heap     accountHeap // accounts with waiting requests
	cost     int64       // of waiting requests, in tokens
	weights  int         // of accounts with waiting requests
	skipped  []*account  // scratch of pick
}

// account returns the team's account. A team that comes back starts at the
// present virtual time: it gains nothing from having been away.
func (l *lane) account(t *Ticket) *account {
	a := l.accounts[t.Team]
	if a == nil {
		a = &account{team: t.Team, pass: l.virtual, index: -1}
		l.accounts[t.Team] = a
	}
	if a.waiting == 0 {
		a.weight = max(t.Weight, 1)
		a.pass = max(a.pass, l.virtual)
	}
	return a
}

func (l *lane) push(e *Item) {
	a := e.account
	f := a.flowOf(e.need)
	e.flow, e.element = f, f.waiting.PushBack(e)
	a.waiting++
	a.cost += e.ticket.Cost
	l.cost += e.ticket.Cost
	if a.index < 0 {
		l.weights += a.weight
		heap.Push(&l.heap, a)
	}
}

// remove takes a waiting entry out.
func (l *lane) remove(e *Item) {
	a := e.account
	e.flow.waiting.Remove(e.element)
	e.element = nil
	if e.flow.waiting.Len() == 0 {
		a.dropFlow(e.flow)
	}
	a.waiting--
	a.cost -= e.ticket.Cost
	l.cost -= e.ticket.Cost
	if a.waiting > 0 {
		return
	}
	l.weights -= a.weight
	if a.index >= 0 {
		heap.Remove(&l.heap, a.index)
	}
	if l.cost == 0 {
		l.owed = 0
	}
}

func (a *account) dropFlow(f *flow) {
	for i := range a.flows {
		if a.flows[i] == f {
			a.flows[i] = a.flows[len(a.flows)-1]
			a.flows = a.flows[:len(a.flows)-1]
			return
		}
	}
}

// pick returns the entry to serve next, or nil when none can be placed.
func (l *lane) pick(placeable func(*Item) bool) *Item {
	var found *Item
	for found == nil && len(l.heap) > 0 {
		a := l.heap[0]
		found = a.first(placeable)
		if found == nil {
			heap.Pop(&l.heap)
			l.skipped = append(l.skipped, a)
		}
	}
	for _, a := range l.skipped {
		heap.Push(&l.heap, a)
	}
	l.skipped = l.skipped[:0]
	return found
}

// charge counts tokens against the entry's team.
func (l *lane) charge(e *Item, tokens int64) {
	e.account.pass += e.ticket.weighed(tokens)
	if e.account.index >= 0 {
		heap.Fix(&l.heap, e.account.index)
	}
}

// forget drops accounts that hold nothing and have no debt, so that departed
// teams take no memory. When the lane is at rest all debts are void.
func (l *lane) forget(a *account) {
	if a.waiting > 0 || a.running > 0 {
		return
	}
	atRest := l.cost == 0 && len(l.heap) == 0
	if atRest || a.pass <= l.virtual {
		delete(l.accounts, a.team)
	}
}

// sweep drops idle accounts whose debt has been overtaken.
func (l *lane) sweep() {
	for _, a := range l.accounts {
		l.forget(a)
	}
}

// accountHeap orders accounts by pass, then by team name.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].pass != h[j].pass {
		return h[i].pass < h[j].pass
	}
	return h[i].team < h[j].team
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.index = len(*h)
	*h = append(*h, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	a.index = -1
	*h = old[:len(old)-1]
	return a
}
