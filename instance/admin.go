package instance

import (
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/internal/httpjson"
)

// Status is the state that an instance reports about itself. It is served as
// JSON on the admin listener and exchanged between instances.
type Status struct {
	Instance string            `json:"instance"`
	Domain   string            `json:"domain"`
	Region   string            `json:"region"`
	Revision contract.Revision `json:"revision"` // 0 without a configuration in force
	Draining bool              `json:"draining"`
	Entries  int               `json:"entries"` // number of known instances, including this one
	// WordAge is the time since the last message from the platform, received
	// directly or through a peer, as a Go duration in whole milliseconds. It is
	// empty before the first message.
	WordAge   string           `json:"wordAge,omitempty"`
	Isolated  bool             `json:"isolated"`
	Refused   []string         `json:"refused,omitempty"`   // services that reject requests because of isolation
	Suspected []string         `json:"suspected,omitempty"` // instances that are suspected or dead
	Roles     []string         `json:"roles"`
	Weights   map[string]int64 `json:"weights"`
	Queues    map[string]int   `json:"queues"` // number of waiting requests by service
	Runs      []string         `json:"runs"`   // rollout runs owned by this instance
}

func (i *Instance) status() Status {
	view := i.view.Load()
	s := Status{
		Instance: i.settings.Name, Domain: i.settings.Domain, Region: i.settings.Region,
		Draining: i.draining.Load(), Entries: len(view.Domain.Entries()), Weights: view.WeightVersions, Queues: map[string]int{}, Runs: i.localRuns(),
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
		if i.rejectsWhileIsolated(view, service) {
			s.Refused = append(s.Refused, service.Name)
		}
		if q := i.queues.get(service.Name); q != nil {
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
