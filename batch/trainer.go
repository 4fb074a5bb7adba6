package batch

import (
	"maps"
	"slices"
	"time"
)

// trainerKey identifies a trainer by the team and model of its batches.
type trainerKey struct{ team, model string }

// trainer returns the trainer of the batch. It uses the model of the items where the
// submission names none.
func (j *job) trainer() trainerKey {
	key := trainerKey{team: j.head.Team, model: j.sub.Model}
	if key.model == "" && len(j.sub.Items) > 0 {
		key.model = j.sub.Items[0].Model
	}
	return key
}

// trainer is what an owner knows about the steps of a trainer.
type trainer struct {
	last time.Time       // submission of the newest step
	gaps []time.Duration // between the submissions of recent steps, oldest first
	lag  time.Duration
}

const (
	// maxGaps is the number of gaps between steps that are kept. It outlasts the few steps
	// that a failure delays.
	maxGaps = 9
	// minGaps is the number of gaps from which the usual one is known.
	minGaps = 3
	// maxLag bounds how far a trainer counts as behind, and so how long work of other
	// trainers waits for it.
	maxLag = 4 * time.Second
	// trainerTTL is how long a trainer that submits nothing is remembered.
	trainerTTL = time.Minute
)

// submitted records the submission of a step. Steps that are older than the newest one have
// no effect.
//
// Load pattern: a trainer submits a step each 4 s, and the next one once its training on an
// earlier one is done. A step that ends late delays those that follow; a trainer that has
// time left catches up by shorter gaps.
func (t *trainer) submitted(at time.Time) {
	if t.last.IsZero() || at.Sub(t.last) > trainerTTL {
		*t = trainer{last: at}
		return
	}
	gap := at.Sub(t.last)
	if gap <= 0 {
		return
	}
	t.last = at
	if len(t.gaps) == maxGaps {
		t.gaps = slices.Delete(t.gaps, 0, 1)
	}
	t.gaps = append(t.gaps, gap)
	if len(t.gaps) >= minGaps {
		t.lag = min(maxLag, max(0, t.lag+gap-t.usualGap()))
	}
}

// usualGap returns the median of the recent gaps.
func (t *trainer) usualGap() time.Duration {
	sorted := slices.Sorted(slices.Values(t.gaps))
	return sorted[(len(sorted)-1)/2]
}

// trainers holds the trainers whose batches an owner has run lately.
type trainers map[trainerKey]*trainer

// submitted records the submission of a step of a trainer.
func (t trainers) submitted(key trainerKey, at time.Time) {
	maps.DeleteFunc(t, func(_ trainerKey, known *trainer) bool { return at.Sub(known.last) > trainerTTL })
	if t[key] == nil {
		t[key] = &trainer{}
	}
	t[key].submitted(at)
}

// lag returns by how much a trainer is behind its usual steps, as far as known.
func (t trainers) lag(key trainerKey) time.Duration {
	if known := t[key]; known != nil {
		return known.lag
	}
	return 0
}
