package instance

import (
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/internal/httpjson"
)

// Status is what an instance says of itself.
type Status struct {
	Instance string            `json:"instance"`
	Domain   string            `json:"domain"`
	Region   string            `json:"region"`
	Revision contract.Revision `json:"revision"` // 0 when no configuration is in force
	Draining bool              `json:"draining"`
	Entries  int               `json:"entries"` // instances it knows of, itself included
	// WordAge is the age of the platform's last word; empty when never heard.
	WordAge   string           `json:"wordAge,omitempty"`
	Isolated  bool             `json:"isolated"`
	Refused   []string         `json:"refused,omitempty"`   // services refused for isolation
	Suspected []string         `json:"suspected,omitempty"` // instances that this one misses
	Roles     []string         `json:"roles"`
	Weights   map[string]int64 `json:"weights"`
	Queues    map[string]int   `json:"queues"` // waiting requests by service
	Runs      []string         `json:"runs"`   // runs that have their home here
}

func (i *Instance) status() Status {
	view := i.view.Load()
	s := Status{
		Instance: i.settings.Name, Domain: i.settings.Domain, Region: i.settings.Region,
		Draining: i.draining.Load(), Entries: len(view.Domain.Entries()), Weights: view.Weights, Queues: map[string]int{}, Runs: i.homeNames(),
	}
	if _, held := i.upstreamRole.Grant(0); held {
		s.Roles = append(s.Roles, "upstreams-"+i.settings.Domain)
	}
	if _, held := i.billingRole.Grant(0); held {
		s.Roles = append(s.Roles, "billing")
	}
	if age := i.notices.SyncAge(); age >= 0 {
		s.WordAge = age.Truncate(time.Millisecond).String()
	}
	for _, m := range view.Domain.All() {
		if view.Domain.Liveness(m.Name) != domain.Alive {
			s.Suspected = append(s.Suspected, m.Name)
		}
	}
	if view.Contract == nil {
		return s
	}
	s.Revision = view.Contract.Revision
	_, s.Isolated = i.isolation(view)
	for _, service := range view.Contract.Bundle.Services {
		if i.refusesIsolated(view, service) {
			s.Refused = append(s.Refused, service.Name)
		}
		if q := i.queues.of(service.Name); q != nil {
			s.Queues[service.Name] = q.Depth()
		}
	}
	return s
}

func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", i.metrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if i.draining.Load() || i.view.Load().Contract == nil {
			httpjson.Write(w, http.StatusServiceUnavailable, i.status())
			return
		}
		httpjson.Write(w, http.StatusOK, i.status())
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, i.status())
	})
	mux.HandleFunc("GET /status/all", func(w http.ResponseWriter, r *http.Request) {
		httpjson.Write(w, http.StatusOK, i.allStatus(r.Context()))
	})
	mux.HandleFunc("GET /explain", i.serveExplanation)
	return mux
}
