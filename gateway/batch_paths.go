package gateway

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/catalog"
	"github.com/pomelocross/pomelocross/platform"
)

// batchHosts holds the hosts whose routes for batches were removed, as long as batches of these
// routes can be read.
type batchHosts struct {
	mu    sync.Mutex // guards until
	until map[string]time.Time
}

// removed records that the routes of a configuration are replaced. Results of their batches are
// kept for retention.
func (b *batchHosts) removed(old *catalog.Catalog, retention time.Duration, now time.Time) {
	if old == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = map[string]time.Time{}
	}
	maps.DeleteFunc(b.until, func(_ string, until time.Time) bool { return now.After(until) })
	for host, maxAge := range old.BatchHosts() {
		b.until[host] = now.Add(maxAge + retention)
	}
}

// has reports whether a host had routes for batches that can still be read.
func (b *batchHosts) has(host string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[strings.ToLower(host)])
}

// serveCaller serves a request of a caller: a call of the batch interface, or a request on a route.
// Both are told apart by the path as it was sent, which is also what upstreams get.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	if call, ok := platform.ReadBatchCall(r.Method, pathOf(r)); ok && g.isBatchCall(r, call) {
		g.serveBatchCall(w, r, call)
		return
	}
	g.serveRouted(w, r)
}

// isBatchCall reports whether a request whose path is one of the batch interface belongs to it.
func (g *Gateway) isBatchCall(r *http.Request, call platform.BatchCall) bool {
	c, host := g.catalog.Load(), hostOf(r)
	if c == nil {
		return true // rejected like any other request
	}
	_, has := c.BatchHosts()[strings.ToLower(host)]
	return c.IsBatchPath(host, pathOf(r), call.Prefix, has || g.formerBatchHosts.has(host, g.clock.Now()))
}

// serveBatchCall serves a call of the batch interface.
func (g *Gateway) serveBatchCall(w http.ResponseWriter, r *http.Request, call platform.BatchCall) {
	team, rejected := g.batchTeam(r)
	if rejected != nil {
		g.reject(w, r, *rejected)
		return
	}
	switch call.Action {
	case platform.BatchResults:
		g.serveResults(w, r, team, call.Batch)
	case platform.BatchEnd:
		g.serveEnd(w, r, team, call.Batch)
	case platform.BatchBody:
		g.serveBody(w, r, team, call.Batch)
	}
}

// batchTeam authenticates a call of the batch interface.
func (g *Gateway) batchTeam(r *http.Request) (catalog.Team, *rejection) {
	c := g.catalog.Load()
	if c == nil {
		return catalog.Team{}, &rejectionNoConfig
	}
	if !g.keysConfirmed() {
		return catalog.Team{}, &rejectionUnconfirmed
	}
	team, known := c.Team(platform.ReadCaller(r.Header).Key)
	if !known {
		return catalog.Team{}, &rejection{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	return team, nil
}
