package idempotency

import (
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/objects"
)

// awaitSlice bounds one call of Await.
const awaitSlice = 2 * time.Second

// Verdict is a holder's answer to a claim.
type Verdict int

// The verdicts.
const (
	Claimed Verdict = iota // recorded; was not known before
	Found                  // known already
	Full                   // not recorded: no room
	Young                  // not recorded: just started, knows too little
	Closed                 // not recorded: about to stop
)

// ClaimCall asks a holder to record a run.
type ClaimCall struct {
	Key    Key
	Record Record
}

// ClaimReply is the holder's answer.
type ClaimReply struct {
	Verdict Verdict
	Record  Record // when Found
	// Earlier are the key's holders under memberships that this holder saw before.
	Earlier [][]objects.Member
}

// SettleCall tells a holder what became of a run.
type SettleCall struct {
	Key    Key
	Record Record
}

// AwaitCall asks the runner what becomes of a run.
type AwaitCall struct{ Run RunID }

// AwaitReply is the runner's answer: Running after a while, NotRun when it is
// the process that would have run it and did not, Unknown when it is another.
type AwaitReply struct{ Record Record }

// HandoverCall carries the records of an instance that stops.
type HandoverCall struct {
	From    string
	Keys    []Key
	Records []Record // one for each key
	// Complete says that every record has reached its holders.
	Complete bool
}

// Holder keeps the records of one instance. Its exported methods are called by
// peers as net/rpc does.
type Holder struct {
	clock       clockwork.Clock
	incarnation string
	started     time.Time
	settle      time.Duration // after which the instance's knowledge counts

	mu      sync.Mutex // guards all below; never held during I/O
	held    *Table     // as a holder
	ran     *Table     // as the runner; outlives the holders' records
	history history
	closed  bool // records are being handed over; takes no new ones
	limits  Limits
}

func newHolder(clock clockwork.Clock, incarnation string, settle time.Duration, limits Limits) *Holder {
	return &Holder{
		clock: clock, incarnation: incarnation, started: clock.Now(), settle: settle, limits: limits,
		held: NewTable(limits), ran: NewTable(limits.doubled()),
	}
}

func (h *Holder) young() bool { return h.clock.Now().Sub(h.started) < h.settle }

// Claim records a run unless the key is known.
func (h *Holder) Claim(call ClaimCall, reply *ClaimReply) error {
	if h.young() {
		reply.Verdict = Young
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		reply.Verdict = Closed
		return nil
	}
	found, has, ok := h.held.Claim(h.clock.Now(), call.Key, call.Record)
	switch {
	case has && found.Run != call.Record.Run:
		reply.Verdict, reply.Record = Found, found
	case has, ok:
		reply.Verdict, reply.Earlier = Claimed, h.history.earlier(call.Key)
	default:
		reply.Verdict, reply.Earlier = Full, h.history.earlier(call.Key)
	}
	return nil
}

// Settle notes what became of a run.
func (h *Holder) Settle(call SettleCall, _ *struct{}) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held.Settle(h.clock.Now(), call.Key, call.Record)
	return nil
}

// Await waits a while for the end of a run of this instance.
func (h *Holder) Await(call AwaitCall, reply *AwaitReply) error {
	reply.Record.State = Unknown
	if call.Run.Incarnation != h.incarnation {
		return nil
	}
	record, changed, known := h.lookupRan(call.Run)
	if known && record.State == Running {
		select {
		case <-changed:
			record, _, known = h.lookupRan(call.Run)
		case <-h.clock.After(awaitSlice):
		}
	}
	if !known {
		record = Record{State: NotRun}
	}
	reply.Record = record
	return nil
}

func (h *Holder) lookupRan(run RunID) (Record, <-chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ran.Lookup(h.clock.Now(), ranKey(run))
}

// Handover takes the records of an instance that stops.
func (h *Holder) Handover(call HandoverCall, _ *struct{}) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for n, key := range call.Keys {
		h.held.Import(now, key, call.Records[n])
	}
	if call.Complete {
		h.history.retire(now, call.From)
	}
	return nil
}

// observe notes the membership.
func (h *Holder) observe(members []objects.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.history.observe(now, now.Add(-h.limits.Settled), members)
}

// begin notes a run of this instance before it is claimed anywhere.
func (h *Holder) begin(record Record) (ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _, ok = h.ran.Claim(h.clock.Now(), ranKey(record.Run), record)
	return ok
}

// end notes what became of a run of this instance.
func (h *Holder) end(record Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran.Settle(h.clock.Now(), ranKey(record.Run), record)
}

// ranKey is where a run of this process is found in its own table.
func ranKey(run RunID) Key { return Key{Value: strconv.FormatUint(run.Number, 10)} }

// holdersFor returns a key's holders now and under earlier memberships.
func (h *Holder) holdersFor(key Key) (current []objects.Member, earlier [][]objects.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history.current(key), h.history.earlier(key)
}
