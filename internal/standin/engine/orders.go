package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/internal/standin/control"
	"github.com/pomelocross/pomelocross/internal/standin/hold"
	"github.com/pomelocross/pomelocross/internal/standin/journal"
	"github.com/pomelocross/pomelocross/upstream"
)

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.Answer(w, upstream.Load{
		Running: s.running, Tokens: s.tokens, Model: s.model, WeightVersion: s.version,
		Loading: s.loading, FreeKV: 1, Leaving: s.faults.Leaving,
	})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	s.Holds.Wait(hold.Arrived, r)
	var order upstream.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.takeOrder(order) {
		http.Error(w, "old epoch", http.StatusConflict)
		return
	}
	s.Holds.Wait(hold.Answering, r)
	control.Answer(w, struct{}{})
}

// takeOrder records an order and begins to load, or reports false when the
// order's epoch is refused.
func (s *Server) takeOrder(order upstream.LoadOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Fences && order.Epoch < s.epoch {
		return false
	}
	s.epoch = max(s.epoch, order.Epoch)
	s.record.Orders = append(s.record.Orders, order)
	s.record.OrderTimes = append(s.record.OrderTimes, time.Now())
	if s.loading == 0 && !s.faults.ClaimLoads {
		s.loading, s.next = order.WeightVersion, order.Model
		go s.fetch()
	}
	return true
}

// fetch loads from the weight store, and then for the engine's own time.
func (s *Server) fetch() {
	_ = s.options.Weights.Fetch(context.Background()) // ends with the background only
	time.Sleep(s.options.LoadTime)
	s.finishLoad()
}

// Journal returns the orders that the engine received.
func (s *Server) Journal() []journal.Order {
	record := s.Record()
	orders := make([]journal.Order, len(record.Orders))
	for n, o := range record.Orders {
		orders[n] = journal.Order{
			At: record.OrderTimes[n], Holder: o.Holder, Epoch: o.Epoch,
			Detail: fmt.Sprint(s.options.Name, " loads ", o.Model, " ", o.WeightVersion),
		}
	}
	return orders
}

// Version returns the weight version that the engine runs.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Server) finishLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.FailLoads {
		s.model, s.version = s.next, s.loading
	}
	s.loading = 0
}
