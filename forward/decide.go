// Package forward passes single requests on to upstreams and returns the one
// whole answer. What it decides (whether to send again, to whom, when, and what
// the caller is told in the end) is in functions without I/O.
package forward

import (
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/catalog"
)

// Outcome is how one sending ended.
type Outcome int

// The outcomes, by what they say of the work.
const (
	// Answered means that a whole answer came which the caller may have.
	Answered Outcome = iota
	// NotSent means that no byte left.
	NotSent
	// Refused means that the upstream did not run the request and never will.
	Refused
	// Failed means that the upstream ran the request and answered a failure.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "not sent", "refused", "failed", "unknown"}[o]
}

// Tally is what is known of a request over its sendings.
type Tally struct {
	Sent       int  // sendings that may have reached an upstream
	Open       int  // sendings without an outcome
	MayHaveRun bool // some sending ran or may have
	Refused    int
}

// Note takes in the outcome of a sending.
func (t *Tally) Note(o Outcome) {
	t.Open--
	switch o {
	case NotSent:
		t.Sent--
	case Refused:
		t.Refused++
	default:
		t.MayHaveRun = true
	}
}

// MaySend reports whether a further sending is allowed. A request that must not
// run twice is sent again only while no sending is open and none may have run.
func MaySend(t Tally, r catalog.Route) bool {
	if t.Sent >= r.Attempts {
		return false
	}
	return r.Repeatable() || (t.Open == 0 && !t.MayHaveRun)
}

// Final is the answer to a request that no upstream answered.
type Final struct {
	Status int
	// RetryAfter is when to come back; zero for none.
	RetryAfter time.Duration
}

// GiveUp returns the answer to a request that is not sent again. 503 promises
// that it has not run and never will.
func GiveUp(t Tally, late bool, again time.Duration) Final {
	switch {
	case !t.MayHaveRun && t.Open == 0:
		return Final{Status: http.StatusServiceUnavailable, RetryAfter: again}
	case late:
		return Final{Status: http.StatusGatewayTimeout}
	}
	return Final{Status: http.StatusBadGateway}
}

// Hedge returns how long to wait for an answer before a second upstream is asked
// too, or false for never. Load pattern: one upstream of several is slow or
// silent while the others are idle; the goal leaves time for one more try.
func Hedge(t Tally, r catalog.Route, left time.Duration) (time.Duration, bool) {
	if !r.Repeatable() || t.Sent >= r.Attempts {
		return 0, false
	}
	wait := r.Goal * hedgePart / hedgeWhole
	if wait <= 0 {
		wait = defaultHedge
	}
	return wait, wait < left
}

const (
	// hedgePart of hedgeWhole is the part of a goal that the first upstream has
	// before the next is asked: work of usual length is done in it, and what is
	// left suffices for the work once more.
	hedgePart  = 11
	hedgeWhole = 20
	// defaultHedge stands in on routes without a goal.
	defaultHedge = time.Second
)

// answerMargin is the time kept to tell the caller before its patience ends.
const answerMargin = 60 * time.Millisecond

// Patience returns how long a request may be kept: the least of the caller's
// budget and the operator's timeout, less the time to say so.
func Patience(r catalog.Route, budget time.Duration) time.Duration {
	patience := r.Timeout
	if budget > 0 && (patience == 0 || budget < patience) {
		patience = budget
	}
	if patience == 0 {
		patience = defaultPatience
	}
	return max(patience-answerMargin, patience/2)
}

// defaultPatience bounds requests on routes without a timeout from callers
// without a budget.
const defaultPatience = 30 * time.Second
