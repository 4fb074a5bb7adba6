// Package limit bounds the tokens that teams use in a minute. A team's rate is
// divided among the declared failure domains, and in each domain among its
// instances, so that domains that are cut off from each other can't spend the
// same tokens twice.
package limit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// burst is how long a team may save up.
	burst = 10 * time.Second
	// riseAfter is how long a larger share must stand before it is used, so that
	// an instance that is gone from the list has stopped for good.
	riseAfter = 30 * time.Second

	// smoothing is the part of a new length in the running mean.
	smoothing = 0.1

	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// Limiter holds one instance's shares of all teams' rates. It is safe for
// concurrent use.
type Limiter struct {
	clock clockwork.Clock

	mu    sync.Mutex // guards teams
	teams map[string]*team
}

// team is one team's use at this instance.
type team struct {
	limiter *rate.Limiter
	// mean is the running mean of the tokens that requests really used. What a
	// caller allows at most says little about it.
	mean float64
	// pending are the expected tokens of running requests.
	pending float64
	// risen is when a larger share was first seen; zero when none waits.
	risen time.Time
}

// New returns a limiter that bounds nobody.
func New(clock clockwork.Clock) *Limiter {
	return &Limiter{clock: clock, teams: map[string]*team{}}
}

// Share is a team's rate at one instance.
type Share struct {
	TokensPerMinute int64 // of the whole team
	Domains         int   // declared
	Instances       int   // listed in this domain
}

// perSecond returns the tokens a second that the instance may use.
func (s Share) perSecond() rate.Limit {
	parts := max(1, s.Domains) * max(1, s.Instances)
	return rate.Limit(float64(s.TokensPerMinute) / time.Minute.Seconds() / float64(parts))
}

// Set replaces the shares by team; other teams are unbounded. A smaller share
// holds at once, a larger one after riseAfter.
func (l *Limiter) Set(shares map[string]Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for name := range l.teams {
		if shares[name].TokensPerMinute <= 0 {
			delete(l.teams, name)
		}
	}
	for name, share := range shares {
		if share.TokensPerMinute > 0 {
			l.set(name, share.perSecond(), now)
		}
	}
}

func (l *Limiter) set(name string, perSecond rate.Limit, now time.Time) {
	t := l.teams[name]
	if t == nil {
		l.teams[name] = &team{limiter: rate.NewLimiter(perSecond, burstOf(perSecond))}
		return
	}
	if perSecond > t.limiter.Limit() {
		if t.risen.IsZero() {
			t.risen = now
		}
		if now.Sub(t.risen) < riseAfter {
			return
		}
	}
	t.risen = time.Time{}
	t.limiter.SetLimitAt(now, perSecond)
	t.limiter.SetBurstAt(now, burstOf(perSecond))
}

func burstOf(perSecond rate.Limit) int {
	return max(1, int(float64(perSecond)*burst.Seconds()))
}

// Use is a request that was let in. Done must be called exactly once.
type Admission struct {
	limiter  *Limiter
	team     *team
	expected float64
}

// Take lets a request in while the team has tokens left after its running
// requests, which count as long as its earlier ones were. Otherwise it returns
// when the team may come back.
func (l *Limiter) Admit(name string) (*Admission, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil {
		return &Admission{}, 0
	}
	left := t.limiter.TokensAt(l.clock.Now()) - t.pending
	if left <= 0 {
		return nil, t.retryAfter(1 - left)
	}
	t.pending += t.mean
	return &Admission{limiter: l, team: t, expected: t.mean}, 0
}

// retryAfter returns how long the given tokens take to come in.
func (t *team) retryAfter(tokens float64) time.Duration {
	wait := time.Duration(tokens / float64(t.limiter.Limit()) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Done charges the tokens that the request really used. The charge may leave a
// debt, which the following minutes pay.
func (u *Admission) Done(actual int64) {
	if u.limiter == nil {
		return
	}
	u.limiter.mu.Lock()
	defer u.limiter.mu.Unlock()
	u.team.pending -= u.expected
	u.team.mean += smoothing * (float64(actual) - u.team.mean)
	now := u.limiter.clock.Now()
	for actual > 0 {
		part := min(actual, int64(u.team.limiter.Burst()))
		u.team.limiter.ReserveN(now, int(part))
		actual -= part
	}
}
