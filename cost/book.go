// Package cost learns how much work requests cause and predicts the work of further
// requests. It does no I/O and reads no clock. A Book is safe for concurrent use.
package cost

import (
	"math"
	"math/bits"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Kind is the unit in which the work of a request is counted.
type Kind byte

const (
	// Stream work is counted in events of the response.
	Stream Kind = iota
	// Plain work is counted in microseconds from sending to the complete response.
	Plain
)

// Request holds what is known of a request before it runs and may predict its work.
// Empty strings and zeros mean unknown.
type Request struct {
	Kind                        Kind
	Service, Route, Team, Model string
	Prompt                      int // size of the prompt in tokens
	Hint                        int // expected output in tokens as stated by the caller
	Output                      int // maximum output in tokens
}

// stated returns the output that the caller announced: the expected one, or the
// maximum without it.
func (r Request) stated() int {
	switch {
	case r.Hint > 0 && r.Output > 0:
		return min(r.Hint, r.Output)
	case r.Hint > 0:
		return r.Hint
	}
	return max(0, r.Output)
}

// levels is the number of keys under which a request is recorded.
const levels = 5

// keys returns the keys of a request, the narrowest first. Names are hashed, since
// callers choose some of them and may choose long ones.
func (r Request) keys() [levels]uint64 {
	size := string([]byte{byte(bits.Len(uint(max(0, r.Prompt))))})
	basis := r.basis()
	return [levels]uint64{
		r.key("size", r.Route, r.Team, r.Model, size, basis),
		r.key("team", r.Route, r.Team, r.Model, basis),
		r.key("model", r.Route, r.Model, basis),
		r.key("route", r.Route, basis),
		r.serviceKey(),
	}
}

// serviceKey returns the widest key of a request.
func (r Request) serviceKey() uint64 { return r.key("service", r.basis()) }

// basis distinguishes requests with an expected output from those with a maximum at most.
func (r Request) basis() string {
	if r.Hint > 0 {
		return "hint"
	}
	return "maximum"
}

func (r Request) key(level string, names ...string) uint64 {
	digest := xxhash.New()
	for _, name := range append([]string{string(rune(r.Kind)), level, r.Service}, names...) {
		_, _ = digest.WriteString(name) // never returns an error
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// levelNames are the names of the levels in Estimate.Level.
var levelNames = [levels]string{"prompt size", "team", "model", "route", "service"}

// Basis is the evidence that an estimate rests on.
type Basis string

const (
	Unknown   Basis = ""          // there is too little evidence
	Costs     Basis = "costs"     // the work of earlier requests
	Statement Basis = "statement" // the caller's statement, corrected by how far earlier ones were off
)

// Estimate is the predicted remaining work of a request, in the unit of its kind. All
// figures are zero if Basis is Unknown.
type Estimate struct {
	Mean, Low, High float64 // mean, 10th and 90th percentile
	Basis           Basis
	Level           string // the narrowest key with enough evidence
	Samples         int    // weight of the evidence under that key
}

// Known reports whether the estimate rests on evidence.
func (e Estimate) Known() bool { return e.Basis != Unknown }

const (
	// maxKeys bounds the memory of a Book to about 2.5 MB.
	maxKeys = 192
	// minSamples is the evidence from which a key is used in place of a wider one.
	minSamples = 20
	// minTail is the evidence of longer requests that a prediction of the rest requires.
	minTail = 3
)

// Book records what requests did cost.
type Book struct {
	mu       sync.Mutex
	sketches *simplelru.LRU[uint64, *sketch]
}

// NewBook returns an empty Book.
func NewBook() *Book {
	lru, err := simplelru.NewLRU[uint64, *sketch](maxKeys, nil)
	if err != nil {
		panic(err) // only for a size below one
	}
	return &Book{sketches: lru}
}

// Observe records the work of a request that is complete. Work that is not a positive
// finite number is ignored. Requests that were cancelled must not be recorded: their
// work is not known.
func (b *Book) Observe(r Request, work float64) {
	if !(work > 0) || math.IsInf(work, 1) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range r.keys() {
		s, ok := b.sketches.Get(key)
		if !ok {
			s = &sketch{}
			b.sketches.Add(key, s)
		}
		s.costs.add(work)
		if stated := r.stated(); stated > 0 {
			s.ratios.add(work / float64(stated) * ratioScale)
		}
	}
}

// Remaining predicts the work that a request still causes after it caused done. The
// narrowest key with enough evidence decides; a key under which too few requests were
// longer than done gives way to a wider one. An estimate without evidence is Unknown.
//
// Load pattern: the requests of a training step look alike, but a few cause ten times
// the work of most, and go on long after the work that their callers stated.
func (b *Book) Remaining(r Request, done float64) Estimate {
	if !(done > 0) || math.IsInf(done, 1) {
		done = 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for level, key := range r.keys() {
		s, ok := b.sketches.Get(key)
		if !ok {
			continue
		}
		if e := s.remaining(float64(r.stated()), done); e.Known() {
			e.Level = levelNames[level]
			return e
		}
	}
	return Estimate{}
}

// Typical returns the mean work of the requests of a service, all routes together; 0 if
// there is too little evidence.
func (b *Book) Typical(r Request) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.sketches.Get(r.serviceKey())
	if !ok {
		return 0
	}
	return s.remaining(0, 0).Mean
}

// Stats describes the memory of a Book.
type Stats struct {
	Keys  int
	Bytes int // of the sketches
}

// Stats returns the memory in use.
func (b *Book) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := Stats{Keys: b.sketches.Len()}
	for _, s := range b.sketches.Values() {
		stats.Bytes += s.costs.bytes() + s.ratios.bytes()
	}
	return stats
}
