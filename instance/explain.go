package instance

import (
	"fmt"
	"net/http"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/internal/httpjson"
)

// Values of Explanation.Verdict.
const (
	VerdictServed  = "would be served"
	VerdictRefused = "would be refused"
)

// Explanation tells whether an instance would serve a request now, and why.
type Explanation struct {
	Instance string            `json:"instance"`
	Revision contract.Revision `json:"revision"`
	Verdict  string            `json:"verdict"`
	Reasons  []string          `json:"reasons"`
}

func (e *Explanation) addReason(format string, args ...any) {
	e.Reasons = append(e.Reasons, fmt.Sprintf(format, args...))
}

func (e *Explanation) reject(format string, args ...any) {
	e.Verdict = VerdictRefused
	e.addReason(format, args...)
}

// explain evaluates a request by the ID of its key. It does not receive the secret
// part of the key and therefore cannot tell whether a caller has the right one.
func (i *Instance) explain(keyID, method, path string) Explanation {
	view := i.view.Load()
	e := Explanation{Instance: i.settings.Name, Verdict: VerdictServed, Reasons: []string{}}
	if i.draining.Load() {
		e.reject("the instance is draining")
	}
	if view.Contract == nil {
		e.reject("no configuration is in force")
		return e
	}
	e.Revision = view.Contract.Revision
	matched, ok := view.Contract.Match(method, path)
	if !ok {
		e.reject("no route takes %s %s", method, path)
		return e
	}
	e.addReason("route %s leads to service %s, class %s", matched.Name, matched.Service, matched.Class)
	i.explainKey(&e, view, matched, keyID)
	i.explainService(&e, view, matched.Service)
	return e
}

func (i *Instance) explainKey(e *Explanation, view *View, matched contract.Route, keyID string) {
	key, ok := view.Contract.Key(keyID)
	switch {
	case ok:
		e.addReason("key %s belongs to team %s", key.ID, key.Team)
	case matched.Open:
		e.addReason("the route is open and needs no key")
	case keyID == "":
		e.reject("the route needs a key")
	default:
		e.reject("key %s is not declared in revision %d", keyID, e.Revision)
	}
}

func (i *Instance) explainService(e *Explanation, view *View, name string) {
	service, _ := view.Contract.Service(name)
	if age, isolated := i.isolation(view); isolated {
		e.addReason("the instance is isolated: the platform was last heard %s ago", age)
		if !service.ServesIsolated(age) {
			e.reject("service %s takes no work in isolation for so long (whenIsolated: %s, isolatedFor: %s)", name, service.WhenIsolated, service.IsolatedFor.Std())
		}
	}
	available := 0
	for _, u := range view.Upstream.ByService(name) {
		if !u.Leaving {
			available++
		}
	}
	if available == 0 {
		e.reject("service %s has no upstream that stays", name)
		return
	}
	e.addReason("upstreams of service %s that stay: %d", name, available)
	if q := i.queues.get(name); q != nil {
		e.addReason("requests that wait here: %d", q.Depth())
	}
}

func (i *Instance) serveExplanation(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	httpjson.Write(w, http.StatusOK, i.explain(q.Get("key"), q.Get("method"), q.Get("path")))
}
