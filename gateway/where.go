package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/cost"
	"github.com/pomelocross/pomelocross/roster"
	"github.com/pomelocross/pomelocross/telemetry"
)

// PathWhere is the path on the admin listener that says where a request would go.
const PathWhere = "/where"

// Where says where an instance would send a request now, and why.
type Where struct {
	Instance string `json:"instance"`
	Route    string `json:"route"`
	Config   int64  `json:"config"` // version of the configuration
	// Services has an explanation for each service of the route.
	Services []roster.Explanation `json:"services"`
}

// WhereBatch says where an instance would send the items of a batch that it runs.
type WhereBatch struct {
	Instance string      `json:"instance"`
	Batch    string      `json:"batch"`
	Items    []WhereItem `json:"items"` // waiting ones first, in the order in which they are sent
	// Omitted is the number of waiting items that are not in Items.
	Omitted int `json:"omitted,omitempty"`
}

// WhereItem is an item of a batch.
type WhereItem struct {
	batch.ItemPlan
	// Next is the engine to which a waiting item would go if it were the next one to be
	// sent; nil if no engine can take it or if it runs.
	Next *roster.Candidate `json:"next,omitempty"`
}

// maxExplainedItems limits the waiting items of a WhereBatch.
const maxExplainedItems = 50

// serveWhereBatch says where the items of a batch would go now. It sends none.
func (g *Gateway) serveWhereBatch(w http.ResponseWriter, id string) {
	plans, ok := g.runner.Plan(id)
	if !ok {
		http.Error(w, "this instance does not run the batch", http.StatusNotFound)
		return
	}
	where, explained := WhereBatch{Instance: g.settings.Name, Batch: id, Items: []WhereItem{}}, 0
	for _, plan := range plans {
		item := WhereItem{ItemPlan: plan}
		if plan.Upstream == "" {
			if explained == maxExplainedItems {
				where.Omitted++
				continue
			}
			explained++
			item.Next = g.roster.Explain(plan.Need, g.clock.Now()).Best()
		}
		where.Items = append(where.Items, item)
	}
	g.writeWhere(w, where)
}

// writeWhere sends an explanation.
func (g *Gateway) writeWhere(w http.ResponseWriter, where any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(where); err != nil {
		g.log.Info("explanation could not be sent", telemetry.Error(err))
	}
}

// serveWhere says where a request, or the items of a batch, would go now. It sends nothing.
func (g *Gateway) serveWhere(w http.ResponseWriter, r *http.Request) {
	config, query := g.catalog.Load(), r.URL.Query()
	if id := query.Get("batch"); id != "" {
		g.serveWhereBatch(w, id)
		return
	}
	if config == nil {
		http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
		return
	}
	route, ok := config.Match(query.Get("host"), query.Get("path"))
	if !ok {
		http.Error(w, "no route has this host and path", http.StatusNotFound)
		return
	}
	request := cost.Request{Kind: cost.Plain, Route: route.Name, Team: query.Get("team"), Model: query.Get("model")}
	if route.Kind == catalog.KindStream || route.Kind == catalog.KindRollout {
		request.Kind = cost.Stream
	}
	for name, field := range map[string]*int{"prompt": &request.Prompt, "hint": &request.Hint, "output": &request.Output} {
		if text := query.Get(name); text != "" {
			n, err := strconv.Atoi(text)
			if err != nil || n < 0 {
				http.Error(w, name+" must be a number of tokens", http.StatusBadRequest)
				return
			}
			*field = n
		}
	}
	where := Where{Instance: g.settings.Name, Route: route.Name, Config: config.Version}
	for _, share := range route.Shares {
		where.Services = append(where.Services, g.explain(request, route, config.Service(share.Service)))
	}
	g.writeWhere(w, where)
}

// explain returns where a request would go among the upstreams of a service.
func (g *Gateway) explain(r cost.Request, route catalog.Route, service catalog.Service) roster.Explanation {
	r.Service = service.Name
	need := roster.Need{
		Service: service.Name, Model: r.Model, Domain: g.settings.Domain, Overflow: route.Kind != catalog.KindRollout,
		Work: roster.Work{Kind: r.Kind, Estimate: g.costs.Remaining(r, 0), Typical: g.costs.Typical(r)},
	}
	if route.Kind == catalog.KindRollout {
		stated := batch.Item{Hint: r.Hint, Output: r.Output}
		need.Events = stated.StatedEvents()
		need.KVTokens = service.KVTokens
		need.Memory = roster.Memory{Held: r.Prompt, Growth: stated.Expected()}
	}
	return g.roster.Explain(need, g.clock.Now())
}
