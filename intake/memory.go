// Package intake bounds what callers make a process hold: memory for what they have sent and for
// responses that they have not read, and connections.
package intake

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
)

// ErrNoRoom is the error of a request that can't be held because others take too much memory.
var ErrNoRoom = errors.New("requests that are being read take too much memory")

const (
	// freeBytes is the part of each claim that doesn't count: the head and body of most requests.
	freeBytes = 8 << 10
	// smallBytes is the largest claim that may use the reserve.
	smallBytes = 64 << 10
	// reserveDivisor is the divisor of the limit that gives the reserve for small claims.
	reserveDivisor = 8
	// largestDivisor is the divisor of what is left that remains free beside the largest claim.
	largestDivisor = 8
)

// Memory accounts for the memory that callers occupy, with a limit in bytes for all of them. It is
// safe for concurrent use.
//
// Load pattern: many callers send large heads or bodies, stop short of their end and keep their
// connections open. Each request is legal, but their sum exceeds the memory of the machine. The
// ones that make no progress are given up, and new ones that don't fit are rejected at once, while
// small requests still find room.
type Memory struct {
	stallTime time.Duration
	now       func() time.Time
	refusals  *Refusals

	mu     sync.Mutex // guards all below and the fields of each Claim
	limit  int
	used   int // sum of the counted bytes of claims
	claims map[*Claim]struct{}
}

// NewMemory returns a Memory with a limit in bytes. Callers that make no progress for stallTime may
// be given up.
func NewMemory(limit int, stallTime time.Duration, now func() time.Time, refusals *Refusals) *Memory {
	return &Memory{stallTime: stallTime, now: now, refusals: refusals, limit: limit, claims: map[*Claim]struct{}{}}
}

// SetLimit replaces the limit. It holds for what is claimed from then on.
func (m *Memory) SetLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// Used returns the number of counted bytes.
func (m *Memory) Used() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Open returns a claim without memory for a caller at an IP address, which must be closed. giveUp
// breaks off what the caller sends or receives; it is called at most once, in a goroutine of its own.
func (m *Memory) Open(address string, giveUp func()) *Claim {
	c := &Claim{memory: m, address: address, giveUp: giveUp}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.claims[c] = struct{}{}
	return c
}

// room returns the bytes that claims may use in sum, for a claim with a number of counted bytes.
func (m *Memory) room(counted int) int {
	if counted <= smallBytes {
		return m.limit
	}
	return m.limit - m.limit/reserveDivisor
}

// largest returns the most bytes that one claim counts. A single claim of any size is therefore
// accepted when there are no other large ones.
func (m *Memory) largest() int {
	room := m.room(smallBytes + 1)
	return room - room/largestDivisor
}

// Claim is the memory that the caller of one connection occupies. The methods of nil do nothing.
type Claim struct {
	memory   *Memory
	address  string
	giveUp   func()
	bytes    int
	held     int // bytes that their requests release
	counted  int
	waiting  int // number of reads and writes that wait for the caller
	writing  int // number of these that are writes
	progress progress
	period   int  // number of times that waiting began at 0
	gone     bool // given up or closed
	givenUp  bool
	cut      int // period in which the claim was given up
}

// Grow adds bytes to the claim, before the memory is allocated. It returns ErrNoRoom if there is no
// room, also after callers that make no progress have been given up.
func (c *Claim) Grow(bytes int) error {
	if c == nil {
		return nil
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.grow(bytes)
}

// growHeld is like Grow, for bytes that remain until they are released by releaseHeld.
func (c *Claim) growHeld(bytes int) error {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if err := c.grow(bytes); err != nil {
		return err
	}
	c.held += bytes
	return nil
}

// releaseHeld releases bytes of growHeld. Those of a claim that was given up or closed are released.
func (c *Claim) releaseHeld(bytes int) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !c.gone {
		c.held -= bytes
		m.set(c, -bytes, m.counted(c.bytes-bytes))
	}
}

// grow adds bytes. The caller holds the lock of the memory.
func (c *Claim) grow(bytes int) error {
	m := c.memory
	if c.gone {
		return ErrNoRoom
	}
	counted := m.counted(c.bytes + bytes)
	if need := m.need(c, counted); need > 0 {
		m.makeRoom(c, need, false)
		if m.need(c, counted) > 0 {
			m.refuse(ReasonMemory)
			return ErrNoRoom
		}
	}
	m.set(c, bytes, counted)
	return nil
}

// GrowResponse adds the bytes of a response that is going to be written. If there is no room, it
// gives up callers that make no progress, the largest first, also if they free too little. The
// response counts in any case, since it exists already.
func (c *Claim) GrowResponse(bytes int) {
	if c == nil {
		return
	}
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.gone {
		return
	}
	counted := m.counted(c.bytes + bytes)
	if need := m.need(c, counted); need > 0 {
		m.makeRoom(c, need, true)
	}
	m.set(c, bytes, counted)
}

// counted returns the counted part of a claim of a size in bytes.
func (m *Memory) counted(bytes int) int { return min(max(0, bytes-freeBytes), m.largest()) }

// need returns the bytes that others have to free before c may count a number of bytes. The caller
// holds mu.
func (m *Memory) need(c *Claim, counted int) int {
	if counted <= c.counted {
		return 0
	}
	return m.used + counted - c.counted - m.room(counted)
}

// set adds bytes to a claim, which then counts a number of bytes. The caller holds mu.
func (m *Memory) set(c *Claim, bytes, counted int) {
	c.bytes += bytes
	m.used += counted - c.counted
	c.counted = counted
}

// makeRoom gives callers that make no progress up so that need bytes become free for c. If they
// occupy less, none is given up for a request; for a response, which exists already, all of them
// are. The caller holds mu.
func (m *Memory) makeRoom(c *Claim, need int, response bool) {
	now := m.now()
	var candidates []candidate
	stalledBytes := 0
	for other := range m.claims {
		if other != c && other.counted > 0 && other.waiting > 0 && other.progress.stalled(now, m.stallTime) {
			stalledBytes += other.counted
			candidates = append(candidates, candidate{claim: other, bytes: other.counted, since: other.progress.began})
		}
	}
	if response {
		need = min(need, stalledBytes)
	}
	for _, victim := range choose(candidates, need) {
		v := victim.claim
		m.refuse(ReasonStalled)
		m.used -= v.counted
		v.bytes, v.held, v.counted = 0, 0, 0
		v.gone, v.givenUp, v.cut = true, true, v.period
		delete(m.claims, v)
		go v.giveUp()
	}
}

// refuse records a refusal. The caller holds mu.
func (m *Memory) refuse(reason Reason) {
	m.refusals.Refused(reason, func() []zap.Field {
		byAddress := map[string]int{}
		for c := range m.claims {
			byAddress[c.address] += c.counted
		}
		most := largest(byAddress)
		return []zap.Field{zap.String("address", most), zap.Int("bytes", byAddress[most]), zap.Int("used", m.used), zap.Int("limit", m.limit)}
	})
}

// Reset releases the memory of the claim, except what requests hold that still run.
func (c *Claim) Reset() {
	if c == nil {
		return
	}
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(c, c.held-c.bytes, m.counted(c.held))
}

// Close releases the memory of the claim, which can't grow any more.
func (c *Claim) Close() {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(c, -c.bytes, 0)
	c.held, c.gone = 0, true
	delete(m.claims, c)
}

// Wait marks the begin of a time in which the process waits for the caller to send, and returns a
// function that marks its end.
func (c *Claim) Wait() (end func()) { return c.wait(0) }

// WaitWrite is like Wait, for a caller that receives.
func (c *Claim) WaitWrite() (end func()) { return c.wait(1) }

func (c *Claim) wait(writes int) (end func()) {
	if c == nil {
		return func() {}
	}
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	c.begin(progress{began: m.now()})
	c.writing += writes
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		c.waiting--
		c.writing -= writes
	}
}

// begin begins a wait, with the progress so far if there is no other. The caller holds mu.
func (c *Claim) begin(p progress) {
	if c.waiting++; c.waiting == 1 {
		c.period++
		c.progress = p
	}
}

// pauses is a wait for the caller to send with pauses, in which it can't be given up. Its progress
// is measured over the time without them.
type pauses struct {
	claim    *Claim
	progress progress
	paused   time.Time
}

// pauses returns a wait that is paused.
func (c *Claim) pauses() *pauses {
	now := c.memory.now()
	return &pauses{claim: c, progress: progress{began: now}, paused: now}
}

func (p *pauses) resume() {
	m := p.claim.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	p.progress.began = p.progress.began.Add(m.now().Sub(p.paused))
	p.claim.begin(p.progress)
}

func (p *pauses) pause() {
	m := p.claim.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	p.claim.waiting--
	p.progress, p.paused = p.claim.progress, m.now()
}

// Progress records bytes that the caller has sent or received.
func (c *Claim) Progress(bytes int) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	c.progress.add(bytes, m.now(), m.stallTime)
}

// interrupt calls f if the process still waits for the caller as it did when the caller was given
// up; the wait doesn't end before f returns, which must not block. writing reports whether a write
// waits.
func (c *Claim) interrupt(f func(writing bool)) {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	if c.waiting > 0 && c.period == c.cut {
		f(c.writing > 0)
	}
}

// stalled reports whether the caller makes no progress.
func (c *Claim) stalled() bool {
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.waiting > 0 && c.progress.stalled(c.memory.now(), c.memory.stallTime)
}

// GivenUp reports whether the caller was given up for lack of memory.
func (c *Claim) GivenUp() bool {
	if c == nil {
		return false
	}
	c.memory.mu.Lock()
	defer c.memory.mu.Unlock()
	return c.givenUp
}
