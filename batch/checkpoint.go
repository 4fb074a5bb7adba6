package batch

import (
	"context"
	"time"

	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

const (
	// checkpointInterval is the time between two checkpoints of a batch. It bounds
	// the work lost when the owner crashes; each checkpoint is a billed write.
	checkpointInterval = 1500 * time.Millisecond
	// checkpointEvents is the number of events from which the text of an item is
	// stored. Generating a shorter text again takes no longer than the takeover of the
	// batch by another instance.
	checkpointEvents = 40
	// checkpointRewardWait is how long a complete text waits for its reward before it is
	// stored. A reward usually arrives within it, and results are not stored much sooner.
	checkpointRewardWait = time.Second
)

// Checkpoint periodically stores the texts of long unfinished items and of items whose reward is
// late, and how often items have failed, until ctx ends.
// If this instance crashes, the next owner of a batch resumes from these texts.
func (r *Runner) Checkpoint(ctx context.Context) {
	ticker := r.Clock.NewTicker(checkpointInterval / 3)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		for _, c := range r.dueCheckpoints() {
			r.startCheckpoint(ctx, c)
		}
	}
}

// startCheckpoint stores a checkpoint in a new goroutine, unless the runner is stopping:
// Stop waits for the attempts, and the handover stores newer texts.
func (r *Runner) startCheckpoint(ctx context.Context, c checkpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	r.attempts.Go(func() { r.saveCheckpoint(ctx, c) })
}

// checkpoint holds the texts of one batch that are to be stored.
type checkpoint struct {
	job   *job
	texts map[string]Partial
}

// dueCheckpoints returns the checkpoints that are due now.
func (r *Runner) dueCheckpoints() []checkpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []checkpoint
	now := r.Clock.Now()
	for _, j := range r.jobs {
		if r.stopping || !j.open() {
			continue
		}
		texts, changed, awaited := map[string]Partial{}, false, false
		for id, s := range j.items {
			late := s.events >= checkpointEvents || s.whole && now.Sub(s.reward.since) >= checkpointRewardWait
			if late || s.failures > 0 { // a checkpoint replaces the one before
				texts[id] = s.partial()
			}
			changed = changed || late || s.failures > s.savedFailures
			awaited = awaited || s.awaitsSave
		}
		if changed && (awaited || now.Sub(j.progressSavedAt) >= checkpointInterval) {
			j.progressSavedAt = now
			due = append(due, checkpoint{j, texts})
		}
	}
	return due
}

// saveCheckpoint stores a checkpoint. It does not retry, since a missing checkpoint
// only means that text is generated again. After an error the version of the stored texts
// is not known, since the write may have taken effect; the next checkpoint reads it.
func (r *Runner) saveCheckpoint(ctx context.Context, c checkpoint) {
	r.mu.Lock()
	id, expect := c.job.head.ID, c.job.progressVersion
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, checkpointInterval/2)
	defer cancel()
	version, err := r.Store.SaveProgress(ctx, id, expect, c.texts)
	if err != nil {
		r.Log.Info("batch checkpoint could not be stored; retrying at the next interval", zap.String("batch", id), zap.Int("items", len(c.texts)), telemetry.Error(err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.job.progressVersion = version // 0 after an error
	if err != nil {
		return
	}
	for id, saved := range c.texts {
		if s := c.job.items[id]; s != nil {
			s.savedFailures = saved.Failures
		}
	}
	r.Signal()
}
