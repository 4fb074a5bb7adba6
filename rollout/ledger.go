package rollout

import (
	"fmt"
	"slices"

	"github.com/pomelocross/pomelocross/objects"
)

// Limits of one run.
const (
	MaxStepSamples = 8192 // samples of one step
	MaxOpenSteps   = 4
	// MaxBatchBytes limits the samples of a batch, in bytes of JSON. A single sample
	// or whole group may exceed it.
	MaxBatchBytes = 4 << 20
	// maxVoided limits how many voided batches a ledger keeps; the oldest are dropped.
	maxVoided = 8
)

// Ledger is the persistent state of a run. It is stored as JSON in one platform
// object and replaced by compare-and-swap on the version of that object.
type Ledger struct {
	Run   string `json:"run"`
	Team  string `json:"team"`
	Model string `json:"model"`
	// MaxStaleness is how many weight versions a sample may be older than the
	// trainer's newest one.
	MaxStaleness int64 `json:"maxStaleness"`
	BatchSamples int   `json:"batchSamples"`

	Home  string `json:"home"`  // name of the instance that serves the run; empty after Release
	Epoch int64  `json:"epoch"` // incremented by each claim
	// Heartbeat is incremented regularly while the home serves a trainer, so that
	// other instances can see that the home is live.
	Heartbeat int64 `json:"beat"`
	Closed    bool  `json:"closed,omitempty"`

	// WeightVersion is the trainer's newest weight version.
	WeightVersion int64       `json:"weightVersion"`
	Steps         []StepState `json:"steps"` // open steps, oldest first
	LastStep      int64       `json:"lastStep"`
	// LastSpecHash identifies the content of the last step, so that a trainer can
	// repeat the request that started it.
	LastSpecHash string `json:"lastSpecHash,omitempty"`
	// Batch is the last committed batch. It is settled once the trainer has
	// reported it as consumed or it was voided.
	Batch   BatchRef `json:"batch"`
	Settled bool     `json:"settled"`
	// Consumed is the number of the last batch that the trainer has reported as consumed.
	Consumed int64 `json:"consumed"`
	// Voided are batches with numbers above Consumed that were voided. The trainer may
	// still report one as consumed: its response was not lost after all, and the pull
	// that seemed to repeat the request was an older, delayed one.
	Voided []BatchRef `json:"voided,omitempty"`
	// Seq is the last sequence number in the blob name of a batch in this epoch.
	Seq int64 `json:"seq"`
	// StepSeq is the last sequence number in the blob name of a step spec in this epoch.
	StepSeq int64 `json:"stepSeq"`
	// Garbage lists stored blobs that are no longer referenced and can be deleted.
	Garbage []Blob `json:"garbage,omitempty"`
}

// StepState is the persistent state of an open step.
type StepState struct {
	Step        int64  `json:"step"`
	Samples     int    `json:"samples"`
	WholeGroups bool   `json:"wholeGroups,omitempty"`
	Delivered   Bitset `json:"delivered"` // by sample number
	SpecHash    string `json:"specHash"`
	Spec        Blob   `json:"spec"`
}

// BatchRef identifies a committed batch and its stored content.
type BatchRef struct {
	Number  int64  `json:"number"`
	Step    int64  `json:"step"`
	Samples Bitset `json:"samples"` // by sample number
	// Oldest is the oldest weight version that generated a token of the batch.
	Oldest  int64  `json:"oldest"`
	Hash    string `json:"hash"` // of the content, SHA-256 in hex
	Content Blob   `json:"content"`
}

// Blob identifies a value that is stored in parts, because the size of a platform
// object is limited.
type Blob struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Parts are the object versions of the stored parts; 0 means unknown. If Parts is
	// empty, their number is unknown too and deletion goes on until one is missing.
	Parts []objects.Version `json:"parts,omitempty"`
}

// MinWeightVersion returns the oldest weight version that may be delivered now.
func (l *Ledger) MinWeightVersion() int64 { return l.WeightVersion - l.MaxStaleness }

// Step returns the open step with the given number, or nil.
func (l *Ledger) Step(number int64) *StepState {
	for i := range l.Steps {
		if l.Steps[i].Step == number {
			return &l.Steps[i]
		}
	}
	return nil
}

// PullAction is what to do with the last batch when a trainer pulls.
type PullAction int

// Pull actions. Each pull contains the number of the last batch that the trainer has
// consumed.
const (
	PullNext    PullAction = iota // the last batch is settled: fill the next one
	PullSettle                    // the last batch was consumed
	PullRepeat                    // the response with the last batch was lost: deliver it again
	PullVoid                      // the response was lost and the batch is now stale: void it
	PullReclaim                   // a voided batch was consumed: count it as delivered again
	PullReject                    // the number is not acceptable: return an OrderError
)

// Decide returns the action for a pull with consumed, the number of the last batch
// that the trainer has consumed.
func (l *Ledger) Decide(consumed int64) PullAction {
	switch {
	case !l.Settled && consumed == l.Batch.Number:
		return PullSettle
	case l.voidedIndex(consumed) >= 0:
		return PullReclaim
	case consumed != l.Consumed:
		return PullReject
	case l.Settled:
		return PullNext
	case l.Batch.Oldest < l.MinWeightVersion():
		return PullVoid
	}
	return PullRepeat
}

// voidedIndex returns the index in Voided of the batch with the given number, or -1.
func (l *Ledger) voidedIndex(number int64) int {
	return slices.IndexFunc(l.Voided, func(b BatchRef) bool { return b.Number == number })
}

// Commit records a batch and marks its samples as delivered. The batch stays
// unsettled until the trainer reports it as consumed.
func (l *Ledger) Commit(ref BatchRef) {
	l.Step(ref.Step).Delivered.Add(ref.Samples)
	l.Batch, l.Settled = ref, false
}

// Void withdraws the unsettled batch, so that its samples are generated again. Its
// number is not reused.
func (l *Ledger) Void() {
	if step := l.Step(l.Batch.Step); step != nil {
		step.Delivered.Remove(l.Batch.Samples)
	}
	l.addGarbage(l.Batch.Content)
	l.Batch.Content = Blob{}
	l.Voided = append(l.Voided, l.Batch)
	if len(l.Voided) > maxVoided {
		l.Voided = l.Voided[1:]
	}
	l.Settled = true
}

// Settle records that the trainer has consumed the last batch and removes the steps
// whose samples are all delivered.
func (l *Ledger) Settle() {
	l.addGarbage(l.Batch.Content)
	l.Batch.Content = Blob{}
	l.Settled, l.Consumed, l.Voided = true, l.Batch.Number, nil
	l.dropDeliveredSteps()
}

// Reclaim records that the trainer has consumed a voided batch. Batches committed
// since then are voided, because the trainer has not consumed them.
func (l *Ledger) Reclaim(number int64) {
	if !l.Settled {
		l.Void()
	}
	batch := l.Voided[l.voidedIndex(number)]
	if step := l.Step(batch.Step); step != nil {
		step.Delivered.Add(batch.Samples)
	}
	l.Consumed = number
	l.Voided = slices.DeleteFunc(l.Voided, func(b BatchRef) bool { return b.Number <= number })
	l.dropDeliveredSteps()
}

// dropDeliveredSteps removes the steps whose samples are all delivered.
func (l *Ledger) dropDeliveredSteps() {
	open := l.Steps[:0]
	for _, s := range l.Steps {
		if s.Delivered.Count() < s.Samples {
			open = append(open, s)
			continue
		}
		l.addGarbage(s.Spec)
	}
	l.Steps = open
}

// references reports whether the ledger still needs a blob.
func (l *Ledger) references(b Blob) bool {
	if b.Kind == objects.KindBatch {
		return l.Batch.Content.Name == b.Name
	}
	return slices.ContainsFunc(l.Steps, func(s StepState) bool { return s.Spec.Name == b.Name })
}

func (l *Ledger) addGarbage(b Blob) {
	if b.Name != "" {
		l.Garbage = append(l.Garbage, b)
	}
}

// Claim makes the instance self the home. Blobs that the previous home may have
// written without committing them become garbage.
func (l *Ledger) Claim(self string) {
	for n := int64(1); l.Epoch > 0 && n <= maxOrphans; n++ {
		l.addGarbage(Blob{Kind: objects.KindBatch, Name: l.blobName(l.Seq + n)})
		l.addGarbage(Blob{Kind: kindStep, Name: l.blobName(l.StepSeq + n)})
	}
	l.Home, l.Seq, l.StepSeq = self, 0, 0
	l.Epoch++
}

func (l *Ledger) blobName(seq int64) string { return fmt.Sprintf("%s-%d-%d", l.Run, l.Epoch, seq) }

// Close ends the run and turns all its stored blobs into garbage.
func (l *Ledger) Close() {
	l.Closed = true
	l.addGarbage(l.Batch.Content)
	for _, s := range l.Steps {
		l.addGarbage(s.Spec)
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
