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

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	control.WriteJSON(w, upstream.Load{
		Running: s.running, Tokens: s.tokens, Model: s.model, WeightVersion: s.version,
		Loading: s.loadingVersion, FreeKV: 1, Leaving: s.faults.Leaving,
	})
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	s.Holds.Wait(hold.Arrived, r)
	var order upstream.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.acceptOrder(order) {
		http.Error(w, "old epoch", http.StatusConflict)
		return
	}
	s.Holds.Wait(hold.Answering, r)
	control.WriteJSON(w, struct{}{})
}

// acceptOrder records an order and starts the load. It returns false if the
// order's epoch is too old.
func (s *Server) acceptOrder(order upstream.LoadOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Fences && order.Epoch < s.epoch {
		return false
	}
	s.epoch = max(s.epoch, order.Epoch)
	s.record.Orders = append(s.record.Orders, order)
	s.record.OrderTimes = append(s.record.OrderTimes, time.Now())
	if s.loadingVersion == 0 && !s.faults.ClaimLoads {
		s.loadingVersion, s.loadingModel = order.WeightVersion, order.Model
		go s.loadWeights()
	}
	return true
}

// loadWeights fetches the version from the weight store and then waits for the
// load time.
func (s *Server) loadWeights() {
	_ = s.options.Weights.Fetch(context.Background()) // the background context never ends
	time.Sleep(s.options.LoadTime)
	s.finishLoad()
}

// Journal returns the load orders received.
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

// Version returns the current weight version.
func (s *Server) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Server) finishLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.FailLoads {
		s.model, s.version = s.loadingModel, s.loadingVersion
	}
	s.loadingVersion = 0
}
