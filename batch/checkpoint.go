package batch

import (
	"context"
	"time"

	"github.com/pomelocross/pomelocross/telemetry"
	"go.uber.org/zap"
)

const (
	// checkpointInterval is how often texts of long items are stored. An owner that
	// is lost loses so much of them at most; each time is a priced write.
	checkpointInterval = 1500 * time.Millisecond
	// checkpointEvents is the length from which an item's text is worth storing:
	// making it again takes about as long as another owner needs to take over.
	checkpointEvents = 40
)

// Checkpoint stores the texts of long items that are running, until ctx ends, so
// that the next owner of a batch goes on where this one was lost.
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
			r.running.Go(func() { r.save(ctx, c) })
		}
	}
}

// checkpoint is the texts of one batch to be stored.
type checkpoint struct {
	job   *job
	texts map[string]Partial
}

// dueCheckpoints returns what is to be stored now.
func (r *Runner) dueCheckpoints() []checkpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []checkpoint
	now := r.Clock.Now()
	for _, j := range r.jobs {
		if r.stopping || !j.open() || now.Sub(j.savedAt) < checkpointInterval {
			continue
		}
		texts := map[string]Partial{}
		for id, s := range j.items {
			if s.events >= checkpointEvents {
				texts[id] = s.partial()
			}
		}
		if len(texts) > 0 {
			j.savedAt = now
			due = append(due, checkpoint{j, texts})
		}
	}
	return due
}

// save stores a checkpoint. A failure costs work at most, so it is not repeated.
func (r *Runner) save(ctx context.Context, c checkpoint) {
	r.mu.Lock()
	id, expect := c.job.head.ID, c.job.saved
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, checkpointInterval/2)
	defer cancel()
	version, err := r.Store.SaveProgress(ctx, id, expect, c.texts)
	if err != nil {
		r.Log.Info("texts of a batch were not stored", zap.String("batch", id), zap.Int("items", len(c.texts)), telemetry.Error(err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.job.saved = version
}
