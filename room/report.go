// Package room shares among the instances that run batches how much room they use at the
// upstreams and what waits for room. It does no I/O and reads no clock. Its state is soft: a
// missing report means that an instance decides by what it knows itself.
package room

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// Report is what an owner of batches reports to the other owners. An upstream that is not in
// it has no request of the owner.
type Report struct {
	From        string // name of the owner
	Peer        string // IP:port of the owner
	Incarnation string // unique to the process of the owner
	Sequence    int64  // increases with each report of an incarnation
	// Sent is the owner's clock when the report was made. Only differences to other reports
	// of the same incarnation have a meaning.
	Sent      time.Duration
	Upstreams []Usage
	Waiting   []Waiting
}

// Usage is what an owner uses at an incarnation of an upstream.
type Usage struct {
	Upstream uint32 // key of the incarnation, the same at all owners
	Requests int
}

// Waiting is the work of an owner that has found no room, by what it requires.
type Waiting struct {
	Service, Model string
	MinVersion     int64
	Items          int
	Tokens         int // expected number of tokens of all items
	Needed         int // number of items that trainers wait for
	// Slacks holds the slack of up to MaxSlacks of the needed items in milliseconds,
	// ascending, at even distances in the order of their slack.
	Slacks []int32
}

// SetSlacks sets the number of needed items and their slacks, given in ascending order.
func (w *Waiting) SetSlacks(slacks []time.Duration) {
	w.Needed = len(slacks)
	n := min(MaxSlacks, len(slacks))
	w.Slacks = make([]int32, n)
	for i := range n {
		w.Slacks[i] = int32(slacks[i*len(slacks)/n].Milliseconds())
	}
}

// Bounds of a report. They exceed what the engines of a large service hold.
const (
	maxUpstreams  = 512
	maxRequests   = 4096 // of an owner at an upstream
	maxWaiting    = 64   // requirements
	maxItems      = 1 << 20
	maxTokens     = 1 << 40
	MaxSlacks     = 16 // of a requirement
	maxNameLength = 256
)

var (
	errAnonymous = errors.New("report names no owner")
	errBounds    = errors.New("report has figures out of bounds")
)

// Check returns an error if the report has figures that no owner can have.
func (r *Report) Check() error {
	if r.From == "" || r.Incarnation == "" || len(r.From) > maxNameLength || len(r.Peer) > maxNameLength {
		return errAnonymous
	}
	if r.Sequence < 0 || len(r.Upstreams) > maxUpstreams || len(r.Waiting) > maxWaiting {
		return errBounds
	}
	for _, u := range r.Upstreams {
		if u.Requests < 0 || u.Requests > maxRequests {
			return errBounds
		}
	}
	for _, w := range r.Waiting {
		if w.Needed < len(w.Slacks) || w.Items < w.Needed || w.Items > maxItems || (w.Needed > 0) != (len(w.Slacks) > 0) || w.Tokens < 0 || w.Tokens > maxTokens || len(w.Slacks) > MaxSlacks {
			return errBounds
		}
	}
	return nil
}

// Sizes of the parts of an encoded report in bytes, rounded up.
const (
	reportBytes  = 160 // with the framing of the call and its reply
	usageBytes   = 12
	waitingBytes = 40
	slackBytes   = 4
)

// Size returns the approximate number of bytes that a report takes on the network.
func (r *Report) Size() int {
	size := reportBytes + usageBytes*len(r.Upstreams)
	for _, w := range r.Waiting {
		size += waitingBytes + len(w.Service) + len(w.Model) + slackBytes*len(w.Slacks)
	}
	return size
}

// Requests returns the number of the owner's requests at all upstreams.
func (r *Report) Requests() int {
	n := 0
	for _, u := range r.Upstreams {
		n += u.Requests
	}
	return n
}

// maxReportBytes bounds a report, so that an owner can send several of them a second.
const maxReportBytes = 2 << 10

// Limit removes upstreams until the report is within its bound. Those with the most requests
// are kept.
func (r *Report) Limit() {
	slices.SortFunc(r.Upstreams, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Upstream, b.Upstream))
	})
	for len(r.Upstreams) > 0 && r.Size() > maxReportBytes {
		r.Upstreams = r.Upstreams[:len(r.Upstreams)-1]
	}
	if len(r.Waiting) > maxWaiting {
		r.Waiting = r.Waiting[:maxWaiting]
	}
}
