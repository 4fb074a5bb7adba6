package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"sync"
	"syscall"

	"github.com/pomelocross/pomelocross/quarantine"
	"github.com/pomelocross/pomelocross/roster"
)

// Guard keeps the suspicions that requests crash the engines that run them.
type Guard interface {
	// Active reports whether there are any suspicions.
	Active() bool
	// Standing returns the standing of a request.
	Standing(d quarantine.Digest) quarantine.Standing
	// Crashed records that an upstream crashed while it ran a request; alone reports
	// whether the request was sent to it as a suspected one, apart from other suspects.
	// It may wait a short time until other instances can know.
	Crashed(r *Request, d quarantine.Digest, engine quarantine.Engine, alone bool)
	// Completed records that a request ran to its end.
	Completed(r *Request, d quarantine.Digest)
}

// standing returns the standing of a request. Requests without a digest are never
// suspected.
func (f *Forwarder) standing(r *Request) quarantine.Standing {
	if f.Guard == nil || r.Digest == nil || !f.Guard.Active() {
		return quarantine.Unsuspected
	}
	return f.Guard.Standing(r.Digest())
}

// completed records that a request ran to its end.
func (f *Forwarder) completed(r *Request) {
	if f.Guard != nil && r.Digest != nil && f.Guard.Active() {
		f.Guard.Completed(r, r.Digest())
	}
}

// brokeOff records that an attempt ended without a complete response. If the connection
// was closed and the upstream's process has ended, it crashed while it ran the request.
// After a reset of the connection alone, the upstream still accepts others. sent is the
// standing of the request when it was sent.
func (f *Forwarder) brokeOff(ctx context.Context, r *Request, to roster.Choice, sent quarantine.Standing, err error) {
	if f.Guard == nil || r.Digest == nil || !closedByPeer(err) || !f.Gone(context.WithoutCancel(ctx), to.Entry) {
		return
	}
	f.Guard.Crashed(r, r.Digest(), quarantine.Engine{ID: to.ID, Started: to.Started}, sent == quarantine.Suspected)
}

// closedByPeer reports whether err means that the other end closed the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isolation counts the suspected requests at each upstream.
type isolation struct {
	mu     sync.Mutex // guards counts
	counts map[string]int
}

// enter records that a suspected request is sent to an upstream. The returned function
// records its end.
func (i *isolation) enter(id string) (leave func()) {
	i.add(id, 1)
	return func() { i.add(id, -1) }
}

func (i *isolation) add(id string, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.counts == nil {
		i.counts = map[string]int{}
	}
	if i.counts[id] += n; i.counts[id] <= 0 {
		delete(i.counts, id)
	}
}

// with returns the upstreams of tried and those with a suspected request.
func (i *isolation) with(tried map[string]bool) (avoid map[string]bool, isolated bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.counts) == 0 {
		return tried, false
	}
	avoid = maps.Clone(tried)
	for id := range i.counts {
		avoid[id] = true
	}
	return avoid, true
}

// pick chooses an upstream, one without suspected requests if there is any.
//
// Load pattern: an engine runs as many requests as it has slots, and a suspected one
// among them may crash it. Many are suspected after a crash: other requests then wait at
// their upstreams rather than all at the few without suspects.
func (f *Forwarder) pick(need roster.Need) (roster.Choice, bool) {
	tried, now := need.Avoid, f.Clock.Now()
	avoid, isolated := f.isolated.with(tried)
	overflow := need.Overflow
	need.Avoid, need.Overflow = avoid, overflow && !isolated
	choice, ok := f.Roster.Pick(need, now)
	if !ok && isolated {
		need.Avoid, need.Overflow = tried, overflow
		return f.Roster.Pick(need, now)
	}
	return choice, ok
}

// begin counts a request at its chosen upstream and isolates it if it is suspected. The returned
// function ends this.
func (f *Forwarder) begin(choice roster.Choice, request string, standing quarantine.Standing) (end func()) {
	id := choice.ID
	f.Roster.Begin(id, request, roster.Memory{})
	if choice.Terms != nil {
		f.Roster.SetWork(id, request, choice.Work, f.Clock.Now())
	}
	if standing == quarantine.Unsuspected {
		return func() { f.Roster.End(id, request) }
	}
	leave := f.isolated.enter(id)
	return func() {
		leave()
		f.Roster.End(id, request)
	}
}
