package batch

import (
	"maps"
	"time"
)

// headNoticeTTL is how long a reported head of a batch that does not run here is kept. The
// batch may be about to be added with an older head.
const headNoticeTTL = 10 * time.Second

// headNotice is what was reported about the head of a batch that does not run here.
type headNotice struct {
	head  Stored // newest head read from the store; Version is 0 if there is none
	ended bool   // the end was reported without a head
	at    time.Time
}

// apply returns the newest known head, given one that was read earlier.
//
// Load pattern: an instance claims a batch and reads its results for some hundred
// milliseconds. Meanwhile the batch is ended or taken over.
func (n headNotice) apply(h Stored) Stored {
	if n.head.Version > h.Version {
		h = n.head
	}
	h.Ended = h.Ended || n.ended
	return h
}

// noteHead keeps a head of a batch that does not run here. The caller holds mu.
func (r *Runner) noteHead(h Stored) {
	n := r.headNotices[h.ID]
	if h.Version > n.head.Version {
		n.head = h
	}
	r.keepNotice(h.ID, n)
}

// noteEnd keeps the end of a batch that does not run here. The caller holds mu.
func (r *Runner) noteEnd(id string) {
	n := r.headNotices[id]
	n.ended = true
	r.keepNotice(id, n)
}

// keepNotice stores a notice and drops expired ones. The caller holds mu.
func (r *Runner) keepNotice(id string, n headNotice) {
	n.at = r.Clock.Now()
	maps.DeleteFunc(r.headNotices, func(_ string, n headNotice) bool { return r.Clock.Since(n.at) > headNoticeTTL })
	r.headNotices[id] = n
}
