// Package rollout runs the samples of training steps and hands each to its
// trainer exactly once. What was handed over is kept in a ledger in the
// platform; samples still running live only in the run's home instance and are
// generated anew when that dies.
package rollout

import (
	"encoding/base64"
	"encoding/json"
	"errors"
)

// Limits of one run.
const (
	MaxStepSamples = 8192
	MaxOpenSteps   = 4
	// MaxBatchBytes keeps a batch within one platform object.
	MaxBatchBytes = 768 << 10
)

// Errors told to trainers.
var (
	ErrUnknownRun = errors.New("run does not exist")
	ErrOtherTeam  = errors.New("run belongs to another team")
	ErrOrder      = errors.New("batch numbers are out of order")
	ErrStepExists = errors.New("step exists with other content")
	ErrTooMany    = errors.New("too many open steps")
	ErrMoved      = errors.New("run is served by another instance")
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

	Home  string `json:"home"` // instance that serves the run
	Epoch int64  `json:"epoch"`

	// WeightVersion is the trainer's newest.
	WeightVersion int64       `json:"weightVersion"`
	Steps         []StepState `json:"steps"` // open ones, oldest first
	LastStep      int64       `json:"lastStep"`
	// Batch is the last committed batch. It is settled once the trainer names
	// its number as consumed.
	Batch   BatchRef `json:"batch"`
	Settled bool     `json:"settled"`
	// Consumed is the number of the last batch the trainer has named so.
	Consumed int64 `json:"consumed"`
}

// StepState is an open step.
type StepState struct {
	Step      int64  `json:"step"`
	Samples   int    `json:"samples"`
	Delivered Bitset `json:"delivered"` // by sample number
	SpecHash  string `json:"specHash"`
}

// BatchRef names the content of a committed batch.
type BatchRef struct {
	Number int64  `json:"number"`
	Object string `json:"object"`
	Hash   string `json:"hash"`
	// Oldest is the oldest weight version in the batch.
	Oldest int64 `json:"oldest"`
	// Samples are the sample numbers by step, kept to void the batch.
	Step    int64 `json:"step"`
	Samples []int `json:"samples"`
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

// Commit records a batch as handed over.
func (l *Ledger) Commit(ref BatchRef) {
	step := l.Step(ref.Step)
	for _, n := range ref.Samples {
		step.Delivered.Set(n, true)
	}
	l.Batch, l.Settled = ref, false
}

// Void takes back the unsettled batch, so that its samples are generated anew.
// Its number is not used again.
func (l *Ledger) Void() {
	if step := l.Step(l.Batch.Step); step != nil {
		for _, n := range l.Batch.Samples {
			step.Delivered.Set(n, false)
		}
	}
	l.Batch.Samples, l.Batch.Object, l.Batch.Hash = nil, "", ""
	l.Settled = true
}

// Settle records that the trainer has consumed the last batch, and drops steps
// that are whole.
func (l *Ledger) Settle() {
	l.Settled, l.Consumed = true, l.Batch.Number
	open := l.Steps[:0]
	for _, s := range l.Steps {
		if s.Delivered.Count() < s.Samples {
			open = append(open, s)
		}
	}
	l.Steps = open
}

// Clone returns a deep copy.
func (l *Ledger) Clone() *Ledger {
	copied := *l
	copied.Steps = make([]StepState, len(l.Steps))
	for i, s := range l.Steps {
		s.Delivered = append(Bitset(nil), s.Delivered...)
		copied.Steps[i] = s
	}
	copied.Batch.Samples = append([]int(nil), l.Batch.Samples...)
	return &copied
}

// Bitset is a set of small numbers, stored as base64.
type Bitset []byte

// Set puts n into the set or takes it out.
func (b *Bitset) Set(n int, in bool) {
	for len(*b) <= n/8 {
		*b = append(*b, 0)
	}
	if in {
		(*b)[n/8] |= 1 << (n % 8)
		return
	}
	(*b)[n/8] &^= 1 << (n % 8)
}

// Has reports whether n is in the set.
func (b Bitset) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// Count returns how many numbers are in the set.
func (b Bitset) Count() int {
	count := 0
	for n := range len(b) * 8 {
		if b.Has(n) {
			count++
		}
	}
	return count
}

// MarshalJSON implements json.Marshaler.
func (b Bitset) MarshalJSON() ([]byte, error) {
	return json.Marshal(base64.StdEncoding.EncodeToString(b))
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *Bitset) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	decoded, err := base64.StdEncoding.DecodeString(text)
	*b = decoded
	return err
}
