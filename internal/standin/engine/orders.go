package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/internal/standin/hold"
	"github.com/pomelocross/pomelocross/upstream"
)

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, upstream.Load{
		Running: s.running, Tokens: s.tokens, WeightVersion: s.version,
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
	writeJSON(w, struct{}{})
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
		s.loading = order.WeightVersion
		time.AfterFunc(s.options.LoadTime, s.finishLoad)
	}
	return true
}

func (s *Server) finishLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.FailLoads {
		s.version = s.loading
	}
	s.loading = 0
}
