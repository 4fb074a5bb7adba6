package slots

import (
	"maps"
	"time"
)

// Member is an instance's side: which shares it may use now. It does no I/O and
// is not safe for concurrent use.
type Member struct {
	timing  Timing
	sent    time.Time // of the last report that was answered, or the start
	applied int64
	granted Shares // nil before the first answer
}

// NewMember returns a member that was started at now. It uses nothing until it
// has heard from a holder or has been silent for FallbackAfter.
func NewMember(timing Timing, now time.Time) *Member { return &Member{timing: timing, sent: now} }

// Applied returns the number of the answer in use.
func (m *Member) Applied() int64 { return m.applied }

// Answered takes in the answer to a report sent at sent. An answer that took
// longer than CallTimeout is not used.
func (m *Member) HandleAnswer(a Answer, sent, now time.Time) {
	if now.Sub(sent) > m.timing.CallTimeout || sent.Before(m.sent) {
		return
	}
	granted := a.Shares
	if a.Base != 0 {
		if a.Base != m.applied {
			return // it changes an answer that is not in use
		}
		granted = maps.Clone(m.granted)
		maps.Copy(granted, a.Shares)
	}
	m.sent, m.applied, m.granted = sent, a.Number, granted
}

// Shares returns what the member may use at now; fixed is its fixed share. It
// reports true while a grant is valid.
func (m *Member) Shares(now time.Time, fixed Shares) (Shares, bool) {
	silent := now.Sub(m.sent)
	if silent < m.timing.Term && m.granted != nil {
		return m.granted, true
	}
	if silent >= m.timing.FallbackAfter() {
		return fixed, false
	}
	return least(m.granted, fixed), false
}

func least(a, b Shares) Shares {
	both := make(Shares, len(a))
	for name, n := range a {
		both[name] = min(n, b[name])
	}
	return both
}
