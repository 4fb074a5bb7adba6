package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// cases are the scripts by name.
var cases = map[string]func(*lab) error{
	"refused": refusedAfterRun,
}

// beginDeployment starts a platform, engines and nodes in two zones.
func (l *lab) beginDeployment(config map[string]any, desks, engines int, prepare func(*server)) error {
	return l.beginDeploymentIn([]string{"mty-a", "mty-b"}, config, desks, engines, prepare)
}

// beginDeploymentIn is beginDeployment with other zones.
func (l *lab) beginDeploymentIn(zones []string, config map[string]any, desks, engines int, prepare func(*server)) error {
	if err := l.beginPlatform(config); err != nil {
		return err
	}
	for i := range desks + engines {
		s := newServer(l.record, fmt.Sprintf("i-desk-%d", i), "desk", zones[i%len(zones)], "")
		if i >= desks {
			s = newServer(l.record, fmt.Sprintf("i-lm-%d", i-desks), "lm", zones[i%len(zones)], model)
			s.pieces = func(id string) []string { return []string{id + " one", id + " two", id + " three"} }
		}
		prepare(s)
		if err := l.addServer(s); err != nil {
			return err
		}
	}
	l.heartbeats()
	return l.beginNodes(zones...)
}

// ran returns how often all servers began to work on a request.
func (l *lab) ran(id string) int {
	n := 0
	for _, s := range l.servers {
		n += s.ran(id)
	}
	return n
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// refusedAfterRun: one of eight servers fails two of five of its requests for 6 s, with a 503 of
// its own after it has begun to work on them.
func refusedAfterRun(l *lab) error {
	const failsFor = 6 * time.Second
	var failing atomic.Bool
	var begun atomic.Int64
	err := l.beginDeployment(baseConfig(), 8, 2, func(s *server) {
		if s.id != "i-desk-0" {
			return
		}
		s.fail = func(w http.ResponseWriter, _ *http.Request, id string) bool {
			if !failing.Load() || begun.Add(1)%5 >= 2 {
				return false
			}
			time.Sleep(s.pause)
			l.record.line("fails", s.id, id, "503 without X-Pomelocross-Not-Run")
			w.Header().Set("Content-Length", "8")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte("failing\n"))
			return true
		}
	})
	if err != nil {
		return err
	}
	if l.trouble {
		failing.Store(true)
		time.AfterFunc(failsFor, func() { failing.Store(false) })
	}
	var broken []string
	for n := range 200 {
		id := fmt.Sprintf("hold%012d", n)
		a := l.send(l.entries()[n%2], request{method: "POST", path: "/hold/" + id, id: id, body: []byte("hold one pin"), deadline: 4 * time.Second})
		if ran := l.ran(id); isPromise(a.status) && ran > 0 {
			broken = append(broken, id)
			l.record.line("broken", "REFUSED", id, fmt.Sprintf("answered %d, begun %d times", a.status, ran))
		}
		time.Sleep(20 * time.Millisecond)
	}
	if len(broken) > 0 {
		return brokenError(fmt.Sprintf("REFUSED: %d unsafe requests were answered with a promise and had run, first %s", len(broken), broken[0]))
	}
	return nil
}
