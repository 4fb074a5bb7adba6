//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// requester sends single requests and records their answers.
type requester struct {
	d  *deployment
	mu sync.Mutex // guards answers
	// answers holds the status of each request; 0 if its channel ended without an answer.
	answers map[string]int
	wrong   []string // requests whose answer is not theirs
}

// channel is a kept channel of a requester to an edge machine.
type channel struct {
	g *gateway
	c net.Conn
	r *bufio.Reader
}

func (c *channel) close() {
	if c.c != nil {
		c.c.Close()
		c.c = nil
	}
}

// send sends one request on the channel and waits for its answer.
func (q *requester) send(ch *channel, id, path string, budget time.Duration) {
	status := 0
	defer func() {
		q.mu.Lock()
		q.answers[id] = status
		q.mu.Unlock()
		q.d.rec.logf("requester: %s is answered %d by %s", id, status, ch.g.name)
	}()
	if ch.c == nil {
		c, err := net.DialTimeout("tcp", ch.g.front, time.Second)
		if err != nil {
			return
		}
		ch.c, ch.r = c, bufio.NewReader(c)
	}
	body := "kit " + id
	q.d.rec.logf("requester: sends %s to %s", id, ch.g.name)
	_ = ch.c.SetDeadline(time.Now().Add(budget))
	_, err := fmt.Fprintf(ch.c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, apiKey, id, budget.Milliseconds(), len(body), body)
	if err != nil {
		ch.close()
		return
	}
	resp, err := http.ReadResponse(ch.r, nil)
	if err != nil {
		ch.close()
		return
	}
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		ch.close()
		return
	}
	status = resp.StatusCode
	if status == http.StatusOK && string(answer) != "done "+id {
		q.mu.Lock()
		q.wrong = append(q.wrong, id)
		q.mu.Unlock()
	}
	if resp.Close {
		ch.close()
	}
}

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// newID returns a random ID.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// lateRefusal sends requests and streams that must not run twice to services whose engines are
// full at times, while some engines send a second copy of an answer, late.
func lateRefusal(d *deployment, trouble bool) []string {
	const (
		calm         = 4 * time.Second
		copying      = 5 * time.Second // for_s of the site's "extra late"
		share        = 0.03            // of an engine's answers, x of the same entry
		streamEvents = 4
	)
	d.startPlatform()
	var engines []*engine
	for n := range 4 {
		e := startEngine(&engine{id: fmt.Sprintf("i-desk%d", n), service: "refill-check", zone: []string{"mty-a", "mty-b"}[n%2], slots: 3, queue: 3, rec: d.rec})
		e.handle = func(c *engineConn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Pomelocross-Request-Id")
			time.Sleep(25 * time.Millisecond)
			return c.answer(id, http.StatusOK, seal(id), "done "+id)
		}
		engines = append(engines, e)
		d.register(e)
	}
	for n := range 4 {
		e := startEngine(&engine{id: fmt.Sprintf("i-llm%d", n), service: "lm-pool", zone: []string{"mty-a", "mty-b"}[n%2], slots: 2, queue: 1, models: []string{"m0"}, rec: d.rec})
		e.handle = func(c *engineConn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Pomelocross-Request-Id")
			if !c.streamHead(id) {
				return false
			}
			for k := 1; k <= streamEvents; k++ {
				time.Sleep(10 * time.Millisecond)
				if !c.event(id, k) {
					return false
				}
			}
			return c.streamEnd()
		}
		engines = append(engines, e)
		d.register(e)
	}
	d.writeConfig([]object{{"Name": "refill", "Host": host, "Prefix": "/refill/", "Type": "unsafe", "Service": "refill-check", "Attempts": 3, "TimeoutMs": 2000, "GoalMs": 150, "Prio": 2},
		{"Name": "draft", "Host": host, "Prefix": "/draft/", "Type": "stream", "Service": "lm-pool", "Attempts": 3, "TimeoutMs": 10000, "GoalMs": 500, "Prio": 0}},
		[]object{{"Name": "refill-check", "HealthPath": "/healthz", "MaxConns": 100}, llmService([]string{"m0"})})
	d.startGateways([]machine{{"edge-mty-a-1", "mty-a", false}, {"edge-mty-b-1", "mty-b", false}, {"storage-mty-a-1", "mty-a", true}})
	q := &requester{d: d, answers: map[string]int{}}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for n := range 24 { // a new channel for each stream
		g := d.edges()[n%2]
		wg.Go(func() {
			for {
				pause := time.Until(time.Now().Truncate(250 * time.Millisecond).Add(250 * time.Millisecond))
				if n%4 == 0 {
					pause = 20*time.Millisecond + rand.N(40*time.Millisecond)
				}
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				id := newID()
				status, _ := readStream(d, g, id, streamEvents)
				q.mu.Lock()
				q.answers[id] = status
				q.mu.Unlock()
			}
		})
	}
	for n := range 32 { // each requester keeps its channel
		ch := &channel{g: d.edges()[n%2]}
		wg.Go(func() {
			defer ch.close()
			for {
				// All requesters wake up twice a second, most of them at the same moment.
				pause := time.Until(time.Now().Truncate(250 * time.Millisecond).Add(250 * time.Millisecond))
				if n%4 == 0 {
					pause = 20*time.Millisecond + rand.N(40*time.Millisecond)
				}
				select {
				case <-stop:
					return
				case <-time.After(pause):
					q.send(ch, newID(), "/refill/order", 2*time.Second)
				}
			}
		})
	}
	time.Sleep(calm)
	troubled := []*engine{engines[0], engines[1], engines[4], engines[5]} // half of the engines of each service
	if trouble {
		for _, e := range troubled {
			e.withCopies(http.StatusServiceUnavailable, share)
		}
	}
	time.Sleep(copying)
	for _, e := range troubled {
		answers, extras := e.withoutCopies()
		d.rec.logf("engine %s: %d answers, %d of them sent twice", e.id, answers, extras)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	ran := map[string][]string{}
	for _, e := range engines {
		for _, r := range e.allRuns() {
			ran[r.id] = append(ran[r.id], r.engine)
		}
	}
	var breaches []string
	served := 0
	for id, status := range q.answers {
		if status == http.StatusOK {
			served++
		}
		if len(ran[id]) > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s, which is not idempotent, ran at %s; the requester got %d", id, strings.Join(ran[id], " and "), status))
		}
		if promises[status] && len(ran[id]) > 0 {
			breaches = append(breaches, fmt.Sprintf("REFUSED: %s was answered %d, though it ran at %s", id, status, strings.Join(ran[id], " and ")))
		}
	}
	for _, id := range q.wrong {
		breaches = append(breaches, "MIXED: "+id+" got an answer that is not its own")
	}
	d.rec.logf("%d requests, %d served", len(q.answers), served)
	if served < len(q.answers)/4 {
		panic("hardly anything was served")
	}
	return breaches
}

// stopEarly stops an edge machine as planned while streams run that end well inside the
// grace period.
func stopEarly(d *deployment, trouble bool) []string {
	const (
		grace     = graceS * time.Second
		lastSixth = grace * 5 / 6 // from then on, an engine at work excuses the cut
		events    = 60
	)
	d.startPlatform()
	var mu sync.Mutex
	endAt, passed := map[string]time.Time{}, map[string]time.Time{} // by request: when its engine ends the stream, and when it began
	dropped := map[string]time.Time{}
	for n := range 2 {
		e := startEngine(&engine{id: fmt.Sprintf("i-llm%d", n), service: "lm-pool", zone: "mty-a", slots: 12, queue: 36, models: []string{"m0"}, rec: d.rec})
		e.handle = func(c *engineConn, r *http.Request, body []byte) bool {
			id := r.Header.Get("X-Pomelocross-Request-Id")
			mu.Lock()
			end := endAt[id]
			passed[id] = time.Now()
			mu.Unlock()
			if !c.streamHead(id) {
				return false
			}
			pause := time.Until(end) / events
			for k := 1; k <= events; k++ {
				if k == events {
					pause = time.Until(end)
				}
				time.Sleep(pause)
				if !c.event(id, k) {
					mu.Lock()
					dropped[id] = time.Now()
					mu.Unlock()
					d.rec.logf("engine %s: the channel of %s has closed; drops it", e.id, id)
					return false
				}
			}
			d.rec.logf("engine %s: has finished %s", e.id, id)
			return c.streamEnd()
		}
		d.register(e)
	}
	d.writeConfig([]object{{"Name": "draft", "Host": host, "Prefix": "/draft/", "Type": "stream", "Service": "lm-pool", "Attempts": 3, "TimeoutMs": 10000, "GoalMs": 500, "Prio": 0}},
		[]object{{"Name": "lm-pool", "HealthPath": "/healthz", "MaxConns": 150, "Engine": object{"Slots": 12, "KvCap": 84492, "Models": []object{{"Name": "m0"}}}}})
	d.startGateways([]machine{{"edge-mty-a-1", "mty-a", false}, {"edge-mty-a-2", "mty-a", false}, {"storage-mty-a-1", "mty-a", true}})
	time.Sleep(4 * time.Second)
	g := d.edges()[0]
	sent := time.Now()
	term := sent.Add(500 * time.Millisecond)
	type outcome struct {
		whole bool
		at    time.Time
	}
	outcomes := map[string]outcome{}
	var wg sync.WaitGroup
	for n := range 8 {
		id := newID()
		mu.Lock()
		endAt[id] = term.Add(lastSixth - 20*time.Millisecond - time.Duration(n)*15*time.Millisecond)
		mu.Unlock()
		wg.Go(func() {
			_, whole := readStream(d, g, id, events)
			mu.Lock()
			outcomes[id] = outcome{whole, time.Now()}
			mu.Unlock()
		})
	}
	time.Sleep(time.Until(term))
	if trouble {
		g.signal(syscall.SIGTERM)
		term = g.signalledAt
	}
	wg.Wait()
	var breaches []string
	for id, o := range outcomes {
		d.rec.logf("requester: %s: whole %v, the channel ended %.3f s after the SIGTERM; its engine had it since %.3f s and was to end it at %.3f s",
			id, o.whole, o.at.Sub(term).Seconds(), passed[id].Sub(term).Seconds(), endAt[id].Sub(term).Seconds())
		if !o.whole && !passed[id].IsZero() && endAt[id].Sub(term) < lastSixth && o.at.Before(endAt[id]) {
			breaches = append(breaches, fmt.Sprintf("LOST: the stream %s was cut %.3f s after the SIGTERM; its engine was to end it at %.3f s, before the last sixth of the grace period (%.3f s)",
				id, o.at.Sub(term).Seconds(), endAt[id].Sub(term).Seconds(), lastSixth.Seconds()))
		}
	}
	return breaches
}

// readStream sends a stream request. It returns the status, 0 without an answer, and whether
// the whole stream came.
func readStream(d *deployment, g *gateway, id string, events int) (status int, whole bool) {
	defer func() {
		d.rec.logf("requester: the stream %s is answered %d by %s, whole: %v", id, status, g.name, whole)
	}()
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	d.rec.logf("requester: sends the stream request %s to %s", id, g.name)
	_, _ = fmt.Fprintf(c, "POST /draft/x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Deadline-Ms: 12000\r\nX-Pomelocross-Model: m0\r\nContent-Length: 2\r\n\r\nhi", host, apiKey, id)
	_ = c.SetReadDeadline(time.Now().Add(12 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(text), "\n\n") == events
}
