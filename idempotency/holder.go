package idempotency

import (
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/objects"
)

// maxAwait is how long one call of Await waits for the end of a run.
const maxAwait = 2 * time.Second

// ClaimStatus is the result of a claim at one holder.
type ClaimStatus int

// The results of a claim.
const (
	Claimed   ClaimStatus = iota // recorded; the key had no record
	Found                        // the key already has a record
	TableFull                    // not recorded: the table is full
	Starting                     // not recorded: the holder is warming up and may miss earlier records
	Stopping                     // not recorded: the holder is handing over its records
)

// ClaimCall holds the arguments of Claim.
type ClaimCall struct {
	Key    Key
	Record Record
}

// ClaimReply is the result of Claim.
type ClaimReply struct {
	Verdict ClaimStatus
	Record  Record // the existing record; set if Verdict is Found
	// Earlier lists the sets of holders of the key under earlier memberships, as
	// far as this holder knows them.
	Earlier [][]objects.Member
}

// SettleCall holds the arguments of Settle.
type SettleCall struct {
	Key    Key
	Record Record
}

// AwaitCall holds the arguments of Await.
type AwaitCall struct{ Run RunID }

// AwaitReply is the result of Await. The state of the record is Running if the run
// did not end within maxAwait, NotRun if this process was to execute the run but has
// no record of it, and Unknown if the run belongs to another process.
type AwaitReply struct{ Record Record }

// HandoverCall transfers records of an instance that is stopping.
type HandoverCall struct {
	From    string // name of the stopping instance
	Keys    []Key
	Records []Record // one for each key
	// Complete is true if all records have been transferred to their new holders.
	Complete bool
}

// Holder stores the records of the keys that one instance holds. Peers call its
// exported methods through net/rpc.
type Holder struct {
	clock       clockwork.Clock
	incarnation string
	started     time.Time
	warmUp      time.Duration // time after the start during which it rejects claims

	mu        sync.Mutex // guards all below; never held during I/O
	records   *Table     // records that this instance holds
	localRuns *Table     // runs of this instance; kept longer than the holders' records
	history   membershipHistory
	stopping  bool // records are being handed over; claims are rejected
	limits    Limits
}

func newHolder(clock clockwork.Clock, incarnation string, warmUp time.Duration, limits Limits) *Holder {
	return &Holder{
		clock: clock, incarnation: incarnation, started: clock.Now(), warmUp: warmUp, limits: limits,
		records: NewTable(limits), localRuns: NewTable(limits.withDoubledTTLs()),
	}
}

// warmingUp reports whether the holder started too recently to accept claims.
func (h *Holder) warmingUp() bool { return h.clock.Now().Sub(h.started) < h.warmUp }

// Claim records a run unless the key already has a record of another run.
func (h *Holder) Claim(call ClaimCall, reply *ClaimReply) error {
	if h.warmingUp() {
		reply.Verdict = Starting
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		reply.Verdict = Stopping
		return nil
	}
	found, exists, added := h.records.Claim(h.clock.Now(), call.Key, call.Record)
	switch {
	case exists && found.Run != call.Record.Run:
		reply.Verdict, reply.Record = Found, found
	case exists, added:
		reply.Verdict, reply.Earlier = Claimed, h.history.earlier(call.Key)
	default:
		reply.Verdict, reply.Earlier = TableFull, h.history.earlier(call.Key)
	}
	return nil
}

// Settle records the outcome of a run.
func (h *Holder) Settle(call SettleCall, _ *struct{}) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records.Settle(h.clock.Now(), call.Key, call.Record)
	return nil
}

// Await waits up to maxAwait for the end of a run of this instance.
func (h *Holder) Await(call AwaitCall, reply *AwaitReply) error {
	reply.Record.State = Unknown
	if call.Run.Incarnation != h.incarnation {
		return nil
	}
	record, changed, known := h.lookupLocalRun(call.Run)
	if known && record.State == Running {
		select {
		case <-changed:
			record, _, known = h.lookupLocalRun(call.Run)
		case <-h.clock.After(maxAwait):
		}
	}
	if !known {
		record = Record{State: NotRun}
	}
	reply.Record = record
	return nil
}

func (h *Holder) lookupLocalRun(run RunID) (Record, <-chan struct{}, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.localRuns.Lookup(h.clock.Now(), localRunKey(run))
}

// Handover stores records of an instance that is stopping.
func (h *Holder) Handover(call HandoverCall, _ *struct{}) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for n, key := range call.Keys {
		h.records.Import(now, key, call.Records[n])
	}
	if call.Complete {
		h.history.recordHandover(now, call.From)
	}
	return nil
}

// observeMembers records the current membership.
func (h *Holder) observeMembers(members []objects.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.history.observe(now, now.Add(-h.limits.SettledTTL), members)
}

// beginRun records a run of this instance before its key is claimed at any holder. It
// returns false if the table is full.
func (h *Holder) beginRun(record Record) (added bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _, added = h.localRuns.Claim(h.clock.Now(), localRunKey(record.Run), record)
	return added
}

// endRun records the outcome of a run of this instance.
func (h *Holder) endRun(record Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.localRuns.Settle(h.clock.Now(), localRunKey(record.Run), record)
}

// localRunKey returns the key of a run in localRuns.
func localRunKey(run RunID) Key { return Key{Value: strconv.FormatUint(run.Number, 10)} }

// holdersFor returns the holders of key under the current and earlier memberships.
func (h *Holder) holdersFor(key Key) (current []objects.Member, earlier [][]objects.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.history.current(key), h.history.earlier(key)
}
