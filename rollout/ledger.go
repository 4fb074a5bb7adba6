package rollout

import (
	"fmt"
	"slices"

	"github.com/pomelocross/pomelocross/objects"
)

// Limits of one run.
const (
	MaxStepSamples = 8192
	MaxOpenSteps   = 4
	// MaxBatchBytes bounds a batch of more than one sample or group.
	MaxBatchBytes = 4 << 20
	// maxVoided bounds how many voided batches a ledger remembers.
	maxVoided = 8
)

// Ledger is the stored truth of a run.
type Ledger struct {
	Run   string `json:"run"`
	Team  string `json:"team"`
	Model string `json:"model"`
	// MaxStaleness is how many weight versions a sample may lie behind the
	// trainer's.
	MaxStaleness int64 `json:"maxStaleness"`
	BatchSamples int   `json:"batchSamples"`

	Home  string `json:"home"`  // instance that serves the run; empty after a planned stop
	Epoch int64  `json:"epoch"` // rises with each claim
	// Beat rises while the home serves a trainer, so that others see it live.
	Beat   int64 `json:"beat"`
	Closed bool  `json:"closed,omitempty"`

	// WeightVersion is the trainer's newest.
	WeightVersion int64       `json:"weightVersion"`
	Steps         []StepState `json:"steps"` // open ones, oldest first
	LastStep      int64       `json:"lastStep"`
	// LastSpecHash lets a trainer repeat the request for its last step.
	LastSpecHash string `json:"lastSpecHash,omitempty"`
	// Batch is the last committed batch. It is settled once the trainer names
	// its number as consumed.
	Batch   BatchRef `json:"batch"`
	Settled bool     `json:"settled"`
	// Consumed is the number of the last batch the trainer has named so.
	Consumed int64 `json:"consumed"`
	// Voided are batches above Consumed that were taken back. A trainer may
	// still name one: its pull before that was late, not repeated.
	Voided []BatchRef `json:"voided,omitempty"`
	// Seq numbers the batch contents written under one epoch.
	Seq int64 `json:"seq"`
	// StepSeq numbers the specs of steps written under one epoch.
	StepSeq int64 `json:"stepSeq"`
	// Garbage are contents that nothing refers to any more.
	Garbage []Blob `json:"garbage,omitempty"`
}

// StepState is an open step.
type StepState struct {
	Step        int64  `json:"step"`
	Samples     int    `json:"samples"`
	WholeGroups bool   `json:"wholeGroups,omitempty"`
	Delivered   Bitset `json:"delivered"` // by sample number
	SpecHash    string `json:"specHash"`
	Spec        Blob   `json:"spec"`
}

// BatchRef names the content of a committed batch.
type BatchRef struct {
	Number  int64  `json:"number"`
	Step    int64  `json:"step"`
	Samples Bitset `json:"samples"` // by sample number
	// Oldest is the oldest weight version in the batch.
	Oldest  int64  `json:"oldest"`
	Hash    string `json:"hash"`
	Content Blob   `json:"content"`
}

// Blob names a value that is stored in parts, as an object's size is bounded.
type Blob struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Parts are the versions of the stored parts; 0 is not known. A blob
	// without parts is looked for until a part is missing.
	Parts []objects.Version `json:"parts,omitempty"`
}

// FreshFrom returns the oldest weight version that may be delivered now.
func (l *Ledger) FreshFrom() int64 { return l.WeightVersion - l.MaxStaleness }

// Step returns the open step with a number, or nil.
func (l *Ledger) Step(number int64) *StepState {
	for i := range l.Steps {
		if l.Steps[i].Step == number {
			return &l.Steps[i]
		}
	}
	return nil
}

// PullAction is what a trainer's word on its last batch calls for.
type PullAction int

// The actions of a pull.
const (
	PullNext    PullAction = iota // nothing is unsettled: fill the next batch
	PullSettle                    // the last batch was consumed
	PullRepeat                    // the last batch's answer was lost: hand it over again
	PullVoid                      // it was lost and is too old by now
	PullReclaim                   // a voided batch was consumed after all
	PullRefuse                    // the number fits nothing
)

// Decide returns what follows from consumed, the number of the last batch that
// the trainer has taken in.
func (l *Ledger) Decide(consumed int64) PullAction {
	switch {
	case !l.Settled && consumed == l.Batch.Number:
		return PullSettle
	case l.voided(consumed) >= 0:
		return PullReclaim
	case consumed != l.Consumed:
		return PullRefuse
	case l.Settled:
		return PullNext
	case l.Batch.Oldest < l.FreshFrom():
		return PullVoid
	}
	return PullRepeat
}

func (l *Ledger) voided(number int64) int {
	return slices.IndexFunc(l.Voided, func(b BatchRef) bool { return b.Number == number })
}

// Commit records a batch as handed over.
func (l *Ledger) Commit(ref BatchRef) {
	l.Step(ref.Step).Delivered.Add(ref.Samples)
	l.Batch, l.Settled = ref, false
}

// Void takes back the unsettled batch, so that its samples are generated anew.
// Its number is not used again.
func (l *Ledger) Void() {
	if step := l.Step(l.Batch.Step); step != nil {
		step.Delivered.Remove(l.Batch.Samples)
	}
	l.discard(l.Batch.Content)
	l.Batch.Content = Blob{}
	l.Voided = append(l.Voided, l.Batch)
	if len(l.Voided) > maxVoided {
		l.Voided = l.Voided[1:]
	}
	l.Settled = true
}

// Settle records that the trainer has consumed the last batch, and drops steps
// that are whole.
func (l *Ledger) Settle() {
	l.discard(l.Batch.Content)
	l.Batch.Content = Blob{}
	l.Settled, l.Consumed, l.Voided = true, l.Batch.Number, nil
	l.dropWhole()
}

// Reclaim records that the trainer has consumed a voided batch. What was
// committed since is taken back, as the trainer has not consumed it.
func (l *Ledger) Reclaim(number int64) {
	if !l.Settled {
		l.Void()
	}
	claimed := l.Voided[l.voided(number)]
	if step := l.Step(claimed.Step); step != nil {
		step.Delivered.Add(claimed.Samples)
	}
	l.Consumed = number
	l.Voided = slices.DeleteFunc(l.Voided, func(b BatchRef) bool { return b.Number <= number })
	l.dropWhole()
}

func (l *Ledger) dropWhole() {
	open := l.Steps[:0]
	for _, s := range l.Steps {
		if s.Delivered.Count() < s.Samples {
			open = append(open, s)
			continue
		}
		l.discard(s.Spec)
	}
	l.Steps = open
}

// refersTo reports whether the ledger needs a content.
func (l *Ledger) refersTo(b Blob) bool {
	if b.Kind == objects.KindBatch {
		return l.Batch.Content.Name == b.Name
	}
	return slices.ContainsFunc(l.Steps, func(s StepState) bool { return s.Spec.Name == b.Name })
}

func (l *Ledger) discard(b Blob) {
	if b.Name != "" {
		l.Garbage = append(l.Garbage, b)
	}
}

// Claim makes self the home. Contents that the last home may have written and
// not committed become garbage.
func (l *Ledger) Claim(self string) {
	for n := int64(1); l.Epoch > 0 && n <= maxOrphans; n++ {
		l.discard(Blob{Kind: objects.KindBatch, Name: l.contentName(l.Seq + n)})
		l.discard(Blob{Kind: kindStep, Name: l.contentName(l.StepSeq + n)})
	}
	l.Home, l.Seq, l.StepSeq = self, 0, 0
	l.Epoch++
}

func (l *Ledger) contentName(seq int64) string { return fmt.Sprintf("%s-%d-%d", l.Run, l.Epoch, seq) }

// Close ends the run and gives up all that it has stored.
func (l *Ledger) Close() {
	l.Closed = true
	l.discard(l.Batch.Content)
	for _, s := range l.Steps {
		l.discard(s.Spec)
	}
	l.Batch.Content, l.Steps, l.Settled = Blob{}, nil, true
}

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	copied := *l
	copied.Steps = slices.Clone(l.Steps)
	for i := range copied.Steps {
		copied.Steps[i].Delivered = copied.Steps[i].Delivered.clone()
	}
	copied.Voided = slices.Clone(l.Voided)
	copied.Garbage = slices.Clone(l.Garbage)
	return &copied
}
