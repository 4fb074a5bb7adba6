package slots

import (
	"maps"
	"time"
)

// Member tracks which shares an instance may use for one service. It does no I/O
// and is not safe for concurrent use.
type Member struct {
	timing       Timing
	reportSentAt time.Time // last answered report, or the start
	applied      int64
	granted      Shares // nil until the first answer
}

// NewMember returns a member started at now. It may use no slots until it gets an
// answer from the role holder or FallbackAfter has passed without one.
func NewMember(timing Timing, now time.Time) *Member {
	return &Member{timing: timing, reportSentAt: now}
}

// Applied returns the number of the answer in use.
func (m *Member) Applied() int64 { return m.applied }

// HandleAnswer applies the answer to a report sent at sent. It ignores answers that
// took longer than CallTimeout and answers to reports older than the last answered
// one.
func (m *Member) HandleAnswer(a Answer, sent, now time.Time) {
	if now.Sub(sent) > m.timing.CallTimeout || sent.Before(m.reportSentAt) {
		return
	}
	granted := a.Shares
	if a.Base != 0 {
		if a.Base != m.applied {
			return // a delta to an answer that is not in use
		}
		granted = maps.Clone(m.granted)
		maps.Copy(granted, a.Shares)
	}
	m.reportSentAt, m.applied, m.granted = sent, a.Number, granted
}

// Shares returns the shares the member may use at now and whether they come from a
// valid grant; fixed is the member's fixed share.
func (m *Member) Shares(now time.Time, fixed Shares) (Shares, bool) {
	age := now.Sub(m.reportSentAt)
	if age < m.timing.Term && m.granted != nil {
		return m.granted, true
	}
	if age >= m.timing.FallbackAfter() {
		return fixed, false
	}
	return minShares(m.granted, fixed), false
}

// minShares returns the smaller of two shares for each engine in a.
func minShares(a, b Shares) Shares {
	smaller := make(Shares, len(a))
	for name, n := range a {
		smaller[name] = min(n, b[name])
	}
	return smaller
}
