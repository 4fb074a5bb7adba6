package batch

import (
	"time"

	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/upstream"
)

// trustLimit returns the age of a confirmed head from which no item of its batch is sent,
// given the time within which the end of a batch must stop its items. A request may reach
// its engine as late as upstream.DeliveryTimeout after it was written.
func trustLimit(endBound time.Duration) time.Duration { return endBound - upstream.DeliveryTimeout }

// confirm records that the head of the job was open and owned by this instance in the store
// at a time of the boot clock. It must be at most the start of the call that read or wrote
// the head.
func (j *job) confirm(at time.Time) {
	if at.After(j.confirmedAt) {
		j.confirmedAt = at
	}
}

// trusts reports whether the head of a job was confirmed recently enough to send its items.
func (r *Runner) trusts(j *job, now time.Time) bool {
	return r.EndBound == 0 || now.Sub(j.confirmedAt) < trustLimit(r.EndBound)
}

// logTrust logs once when the head of a job with work to send is not confirmed in time, and
// once when it is confirmed again. The caller holds mu.
func (r *Runner) logTrust(j *job, now time.Time) {
	switch trusted := r.trusts(j, now); {
	case !trusted && j.untrustedSince.IsZero():
		j.untrustedSince = now
		r.Log.Info("head of the batch was not confirmed in time", zap.String("batch", j.head.ID), zap.Duration("age", now.Sub(j.confirmedAt)))
	case trusted && !j.untrustedSince.IsZero():
		r.Log.Info("head of the batch is confirmed again", zap.String("batch", j.head.ID), zap.Duration("after", now.Sub(j.untrustedSince)))
		j.untrustedSince = time.Time{}
	}
}

// recordHeadAge records the age of a job's head at a sending. The caller holds mu.
func (r *Runner) recordHeadAge(j *job, now time.Time) {
	r.logTrust(j, now)
	if r.RecordHeadAge != nil {
		r.RecordHeadAge(now.Sub(j.confirmedAt))
	}
}
