// Package limit enforces the tokens per minute of teams. A team's rate is divided
// among the declared failure domains, and in each domain among its instances, so
// that domains partitioned from each other can't use the same tokens twice.
package limit

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// burstWindow is the time over which unused tokens accumulate.
	burstWindow = 10 * time.Second
	// increaseDelay is how long a larger share must persist before it applies. By
	// then, an instance removed from the list has stopped using its share.
	increaseDelay = 30 * time.Second

	// ewmaWeight is the weight of the newest request in the moving average of used
	// tokens.
	ewmaWeight = 0.1

	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// Limiter enforces one instance's shares of the rates of all teams. It is safe for
// concurrent use.
type Limiter struct {
	clock clockwork.Clock

	mu    sync.Mutex // guards teams
	teams map[string]*team
}

// team is the state of one team at this instance.
type team struct {
	bucket *rate.Limiter
	// meanTokens is the moving average of the tokens that a request really used. It
	// estimates later requests better than the maximum that the caller allows.
	meanTokens float64
	// pendingTokens is the sum of the expected tokens of running requests.
	pendingTokens float64
	// increaseSince is when a larger share was first seen; zero if no increase is
	// pending.
	increaseSince time.Time
}

// New returns a limiter without limits.
func New(clock clockwork.Clock) *Limiter {
	return &Limiter{clock: clock, teams: map[string]*team{}}
}

// Share defines a team's rate at one instance.
type Share struct {
	TokensPerMinute int64 // of the whole team
	Domains         int   // number of declared failure domains
	Instances       int   // number of instances listed in this domain
}

// tokensPerSecond returns the rate of this instance.
func (s Share) tokensPerSecond() rate.Limit {
	parts := max(1, s.Domains) * max(1, s.Instances)
	return rate.Limit(float64(s.TokensPerMinute) / time.Minute.Seconds() / float64(parts))
}

// Set replaces the shares by team; teams without a share are unlimited. A smaller
// share applies at once, a larger one after increaseDelay.
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
			l.setRate(name, share.tokensPerSecond(), now)
		}
	}
}

func (l *Limiter) setRate(name string, perSecond rate.Limit, now time.Time) {
	t := l.teams[name]
	if t == nil {
		l.teams[name] = &team{bucket: rate.NewLimiter(perSecond, burstFor(perSecond))}
		return
	}
	if perSecond > t.bucket.Limit() {
		if t.increaseSince.IsZero() {
			t.increaseSince = now
		}
		if now.Sub(t.increaseSince) < increaseDelay {
			return
		}
	}
	t.increaseSince = time.Time{}
	t.bucket.SetLimitAt(now, perSecond)
	t.bucket.SetBurstAt(now, burstFor(perSecond))
}

// burstFor returns the size of the token bucket for a rate.
func burstFor(perSecond rate.Limit) int {
	return max(1, int(float64(perSecond)*burstWindow.Seconds()))
}

// Admission is an admitted request. Done must be called exactly once.
type Admission struct {
	limiter        *Limiter
	team           *team
	expectedTokens float64
}

// Admit admits a request if the team has tokens left after those expected for its
// running requests, which are estimated from earlier requests. Otherwise it returns
// nil and the time after which the team may retry.
func (l *Limiter) Admit(name string) (*Admission, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[name]
	if t == nil {
		return &Admission{}, 0
	}
	available := t.bucket.TokensAt(l.clock.Now()) - t.pendingTokens
	if available <= 0 {
		return nil, t.retryAfter(1 - available)
	}
	t.pendingTokens += t.meanTokens
	return &Admission{limiter: l, team: t, expectedTokens: t.meanTokens}, 0
}

// retryAfter returns how long it takes until the given tokens are available, between
// minRetryAfter and maxRetryAfter.
func (t *team) retryAfter(tokens float64) time.Duration {
	wait := time.Duration(tokens / float64(t.bucket.Limit()) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Done charges the tokens that the request really used. The balance of the bucket may
// become negative.
func (a *Admission) Done(actual int64) {
	if a.limiter == nil {
		return
	}
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.team.pendingTokens -= a.expectedTokens
	a.team.meanTokens += ewmaWeight * (float64(actual) - a.team.meanTokens)
	now := a.limiter.clock.Now()
	for actual > 0 {
		part := min(actual, int64(a.team.bucket.Burst())) // ReserveN rejects more than a burst
		a.team.bucket.ReserveN(now, int(part))
		actual -= part
	}
}
