// Package engine is a small stand-in for a model engine. Its text depends only
// on prompt, seed and position, so that a resumed answer can be checked byte for
// byte.
package engine

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelocross/pomelocross/internal/standin/control"
	"github.com/pomelocross/pomelocross/internal/standin/hold"
	"github.com/pomelocross/pomelocross/internal/standin/weights"
	"github.com/pomelocross/pomelocross/upstream"
)

// Options describe an engine.
type Options struct {
	Name          string
	Model         string // served at the start; empty is not told
	WeightVersion int64
	TokenTime     time.Duration // between two tokens of one answer
	LoadTime      time.Duration // to load a weight version, after it was fetched
	// Weights is where versions are fetched from; nil fetches at once.
	Weights *weights.Store
	// Fences makes the engine refuse orders with an old epoch.
	Fences bool
}

// Faults are switched while the engine runs.
type Faults struct {
	// CutAfter ends each answer after this many tokens of it; 0 never does.
	CutAfter int `json:"cutAfter"`
	// Refuse answers new requests with status 503.
	Refuse bool `json:"refuse"`
	// Damage spoils each answer.
	Damage Damage `json:"damage"`
	// DamageAt is the position of the token that Damage strikes.
	DamageAt int `json:"damageAt"`
	// FailLoads makes weight loads end without effect.
	FailLoads bool `json:"failLoads"`
	// ClaimLoads makes orders be answered as done while nothing is loaded.
	ClaimLoads bool `json:"claimLoads"`
	// Leaving makes load reports say that the engine is being taken away.
	Leaving bool `json:"leaving"`
	// Slow multiplies the time between tokens; 0 and 1 change nothing.
	Slow int `json:"slow"`
}

// Received is one request the engine was sent.
type Received struct {
	ID            string      `json:"id"`
	Header        http.Header `json:"header"`
	Prompt        string      `json:"prompt"`
	ResumedTokens int         `json:"resumedTokens"`
	Tokens        int         `json:"tokens"` // generated here
	Whole         bool        `json:"whole"`
	// Cancelled says that the other side went before the answer was whole.
	Cancelled     bool   `json:"cancelled"`
	Query         string `json:"query,omitempty"`
	WeightVersion int64  `json:"weightVersion"` // when it began
}

// Record is what the engine was told, in order.
type Record struct {
	Requests []*Received          `json:"requests"`
	Orders   []upstream.LoadOrder `json:"orders"`
	// OrderTimes are when the orders of Orders were received.
	OrderTimes []time.Time `json:"orderTimes"`
}

// Server is the engine. It implements http.Handler.
type Server struct {
	options Options
	mux     *http.ServeMux
	// Holds stops single orders for tests.
	Holds hold.Set

	mu      sync.Mutex // guards all below
	model   string
	version int64
	loading int64
	next    string // model being loaded
	epoch   int64
	running int
	tokens  int64
	faults  Faults
	record  Record
}

// New returns an engine.
func New(o Options) *Server {
	s := &Server{options: o, mux: http.NewServeMux(), model: o.Model, version: o.WeightVersion}
	s.mux.HandleFunc("POST /v1/generate", s.generate)
	s.mux.HandleFunc("GET /v1/load", s.load)
	s.mux.HandleFunc("POST /v1/orders", s.order)
	s.mux.HandleFunc("PUT /faults", control.Switch(s.SetFaults))
	s.mux.HandleFunc("GET /record", control.Show(s.Record))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults switches faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record returns a copy of what was received.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := Record{Orders: append([]upstream.LoadOrder(nil), s.record.Orders...)}
	copied.OrderTimes = append(copied.OrderTimes, s.record.OrderTimes...)
	for _, r := range s.record.Requests {
		one := *r
		copied.Requests = append(copied.Requests, &one)
	}
	return copied
}

// Token returns the token at a position of the answer to prompt and seed.
func Token(prompt string, seed int64, position int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprint(prompt, seed, position))&0xffff)
}

// Text returns the first tokens of the answer to prompt and seed.
func Text(prompt string, seed int64, tokens int) string {
	var b strings.Builder
	for n := range tokens {
		b.WriteString(Token(prompt, seed, n))
	}
	return b.String()
}

func (s *Server) begin(r *http.Request, request upstream.CompletionRequest) (*Received, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return nil, false
	}
	received := &Received{ID: request.ID, Header: r.Header.Clone(), Prompt: promptOf(request), ResumedTokens: request.ResumedTokens, Query: r.URL.RawQuery, WeightVersion: s.version}
	s.record.Requests = append(s.record.Requests, received)
	s.running++
	return received, true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// count counts a token and returns the weight version that produced it.
func (s *Server) count(received *Received) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	received.Tokens++
	s.tokens++
	return s.version
}

func (s *Server) faultsNow() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) tokenTime() time.Duration {
	return s.options.TokenTime * time.Duration(max(1, s.faultsNow().Slow))
}
