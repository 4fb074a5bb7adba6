//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// job is a batch job of a trainer.
type job struct {
	id, prefix string
	items      []string
	bad        map[string]bool
	submitted  time.Time
	accepted   bool
	results    map[string]result
}

// result is a listed result.
type result struct {
	ID     string `json:"Id"`
	State  string
	Output string
}

// newJob returns a batch job of groups of four items.
func newJob(prefix string, groups int) *job {
	j := &job{id: newID(), prefix: prefix, bad: map[string]bool{}, results: map[string]result{}}
	for range 4 * groups {
		j.items = append(j.items, newID())
	}
	return j
}

// jobClient submits and reads batch jobs, each call on a new channel.
type jobClient struct {
	d    *deployment
	http *http.Client
}

func newJobClient(d *deployment) *jobClient {
	return &jobClient{d, &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (c *jobClient) call(g *gateway, method, path, id string, body []byte, header map[string]string) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+g.front+path, strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Api-Key", apiKey)
	if id != "" {
		r.Header.Set("X-Pomelocross-Request-Id", id)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit submits a batch job; a job that is not accepted goes to the next machine.
func (c *jobClient) submit(j *job, model string, machines ...*gateway) {
	var items []object
	for n, id := range j.items {
		items = append(items, object{
			"Id": id, "Path": j.prefix + "item", "Body": []byte("draft " + id), "NumTokens": 1500, "Group": fmt.Sprintf("%s-g%d", j.id, n/4),
			"Headers": map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": "1000,500", "X-Pomelocross-Prompt-Prefix": fmt.Sprintf("%s%x:1000", j.id[:8], n/4)},
		})
	}
	body := mustJSON(object{"Step": 0, "Model": model, "MinVersion": 1, "Desired": len(j.items) / 4, "Items": items})
	j.submitted = time.Now()
	for _, g := range machines {
		status, _ := c.call(g, "POST", j.prefix, j.id, body, map[string]string{"Content-Type": "application/json"})
		c.d.rec.logf("trainer: batch job %s (%s, %d items) is answered %d by %s", j.id, j.prefix, len(j.items), status, g.name)
		if j.accepted = status == http.StatusAccepted; j.accepted || status == http.StatusNotFound {
			return
		}
	}
}

// read reads results until all items are listed or the time is up.
func (c *jobClient) read(j *job, until time.Time, machines ...*gateway) {
	after := 0
	for n := 0; time.Now().Before(until) && len(j.results) < len(j.items); n++ {
		g := machines[n%len(machines)]
		status, body := c.call(g, "GET", "/lots/"+j.id+"?After="+strconv.Itoa(after), "", nil, map[string]string{"X-Pomelocross-Wait-Ms": "1000"})
		var page struct {
			Total, NextToken int
			Results          []result
		}
		if status != http.StatusOK || json.Unmarshal(body, &page) != nil {
			c.d.rec.logf("trainer: reading %s from %d at %s is answered %d", j.id, after, g.name, status)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		after = page.NextToken
		for _, r := range page.Results {
			j.results[r.ID] = r
			c.d.rec.logf("trainer: %s is listed as %s in %s, read at %s", r.ID, r.State, j.id, g.name)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// itemLog records which answers engines gave to items.
type itemLog struct {
	mu       sync.Mutex
	rejected map[string]int // 422
	failed   map[string]int // 500
	failedAt []time.Time    // of the answers of 500
}

func newItemLog() *itemLog { return &itemLog{rejected: map[string]int{}, failed: map[string]int{}} }

// itemEngine starts an engine that streams events for each item. answerOf returns the status
// with which an item is answered instead, and how long that takes; 0 for none.
func (d *deployment) itemEngine(id, zone string, models []string, events int, log *itemLog, answerOf func(item string) (int, time.Duration)) *engine {
	e := startEngine(&engine{id: id, service: "lm-pool", zone: zone, slots: 12, queue: 36, models: models, rec: d.rec})
	e.handle = func(c *engineConn, r *http.Request, body []byte) bool {
		item := r.Header.Get("X-Pomelocross-Request-Id")
		if status, work := answerOf(item); status != 0 {
			time.Sleep(work)
			if c.closed() {
				d.rec.logf("engine %s: the channel of %s has closed; drops it", e.id, item)
				return false
			}
			log.mu.Lock()
			if status == http.StatusUnprocessableEntity {
				log.rejected[item]++
			} else {
				log.failed[item]++
				log.failedAt = append(log.failedAt, time.Now())
			}
			log.mu.Unlock()
			d.rec.logf("engine %s: answers %s with %d", e.id, item, status)
			return c.answer(item, status, seal(item), "")
		}
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		if !c.streamHead(item) {
			return false
		}
		for n := first; n <= events; n++ {
			time.Sleep(10 * time.Millisecond)
			if !c.event(item, n) {
				return false
			}
		}
		return c.streamEnd()
	}
	d.register(e)
	return e
}

const (
	itemAttempts = 3
	maxQueueS    = 60
)

func rolloutRoute(name, prefix string) object {
	return object{"Name": name, "Host": host, "Prefix": prefix, "Type": "rollout", "Service": "lm-pool", "Attempts": itemAttempts, "GoalMs": 500, "DueMs": 7500, "MaxQueueS": maxQueueS, "TimeoutMs": 10000, "Sticky": true}
}

func llmService(models []string) object {
	var list []object
	for _, m := range models {
		list = append(list, object{"Name": m})
	}
	return object{"Name": "lm-pool", "HealthPath": "/healthz", "MaxConns": 150, "Engine": object{"Slots": 12, "KvCap": 84492, "Models": list}}
}

func none(string) (int, time.Duration) { return 0, 0 }

// checkJob returns the breaches of the rules on results: an item is dead only after a 422 or
// enough answers of 500, or late, and a text is whole. There is one for each job and kind.
func checkJob(d *deployment, j *job, log *itemLog, events int, ended time.Time) (breaches []string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	var dead, other []string
	for _, r := range j.results {
		early := ended.Sub(j.submitted) < maxQueueS*time.Second
		switch {
		case r.State == "dead" && log.rejected[r.ID] == 0 && log.failed[r.ID] < itemAttempts && early:
			dead = append(dead, r.ID)
		case r.State == "complete" && r.Output != wholeOutput(r.ID, events):
			other = append(other, r.ID)
		}
	}
	if len(dead) > 0 {
		breaches = append(breaches, fmt.Sprintf("MIXED: %d of the %d items of batch job %s are listed as dead within %.1f s of its submission, though no engine answered 422 or %d times 500 to them: %s",
			len(dead), len(j.items), j.id, ended.Sub(j.submitted).Seconds(), itemAttempts, strings.Join(dead, " ")))
	}
	if len(other) > 0 {
		breaches = append(breaches, fmt.Sprintf("MIXED: items of batch job %s are listed as complete with another text than their engines made: %s", j.id, strings.Join(other, " ")))
	}
	if len(j.results) < len(j.items) {
		d.rec.logf("batch job %s: accepted %v, %d of %d items are listed", j.id, j.accepted, len(j.results), len(j.items))
	}
	return breaches
}

// lateRejection runs batch jobs with a few items that can never be done, while some engines
// send a second copy of an answer, late.
func lateRejection(d *deployment, trouble bool) []string {
	const (
		events  = 10
		copying = 5 * time.Second
		share   = 0.03
	)
	d.startPlatform()
	log := newItemLog()
	models := []string{"m0", "m1"}
	bad := map[string]bool{}
	var mu sync.Mutex
	answerOf := func(item string) (int, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if bad[item] {
			return http.StatusUnprocessableEntity, time.Millisecond
		}
		return 0, 0
	}
	var engines []*engine
	for n := range 4 {
		engines = append(engines, d.itemEngine(fmt.Sprintf("i-llm%d", n), []string{"mty-a", "mty-b"}[n%2], models, events, log, answerOf))
	}
	d.writeConfig([]object{rolloutRoute("plan", "/plan/")}, []object{llmService(models)})
	d.startGateways([]machine{{"edge-mty-a-1", "mty-a", false}, {"edge-mty-b-1", "mty-b", false}, {"storage-mty-a-1", "mty-a", true}})
	time.Sleep(4 * time.Second)
	client := newJobClient(d)
	if trouble {
		for _, e := range engines[:2] {
			e.withCopies(http.StatusUnprocessableEntity, share)
		}
	}
	var jobs []*job
	var wg sync.WaitGroup
	for n := range 12 {
		j := newJob("/plan/", 18)
		mu.Lock()
		for k := range 4 { // one item in eighteen can never be done
			bad[j.items[18*k+9]], j.bad[j.items[18*k+9]] = true, true
		}
		mu.Unlock()
		jobs = append(jobs, j)
		g := d.edges()[n%2]
		wg.Go(func() {
			client.submit(j, models[n%2], g, d.edges()[(n+1)%2])
			client.read(j, time.Now().Add(20*time.Second), d.edges()...)
		})
		time.Sleep(copying / 12)
	}
	for _, e := range engines[:2] {
		answers, extras := e.withoutCopies()
		d.rec.logf("engine %s: %d answers, %d of them sent twice", e.id, answers, extras)
	}
	wg.Wait()
	var breaches []string
	for _, j := range jobs {
		breaches = append(breaches, checkJob(d, j, log, events, time.Now())...)
	}
	return breaches
}

// newRoute adds a rollout route, on which trainers begin as soon as one machine serves it,
// while the machine is frozen from which the others of the zone learn of changes. Each round
// has a deployment of its own.
func newRoute(d *deployment, trouble bool) (breaches []string) {
	const (
		rounds    = 11
		lastBegin = 92 * time.Second // no round begins later
	)
	for n := range rounds {
		if time.Since(d.rec.start) > lastBegin {
			break
		}
		d.rec.logf("round %d", n+1)
		breaches = append(breaches, newRouteRound(d, trouble)...)
		d.stopAll()
		d.gateways, d.seeds, d.version = nil, nil, 0
	}
	return breaches
}

func newRouteRound(d *deployment, trouble bool) []string {
	const (
		events = 10
		freeze = 3200 * time.Millisecond // for_s of the site's node_freeze of a store machine
	)
	d.startPlatform()
	log := newItemLog()
	models := []string{"m0", "m1", "m4", "m5"} // two of them are preferably run by each edge machine
	for n := range 4 {
		d.itemEngine(fmt.Sprintf("i-llm%d", n), "mty-a", models, events, log, none)
	}
	desk := startEngine(&engine{id: "i-desk0", service: "refill-check", zone: "mty-a", slots: 6, queue: 24, rec: d.rec})
	desk.handle = func(c *engineConn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Pomelocross-Request-Id")
		return c.answer(id, http.StatusOK, seal(id), "done "+id)
	}
	d.register(desk)
	routes := []object{rolloutRoute("plan", "/plan/")}
	services := []object{llmService(models), {"Name": "refill-check", "HealthPath": "/healthz", "MaxConns": 100}}
	d.writeConfig(routes, services)
	d.startGateways([]machine{{"edge-mty-a-1", "mty-a", false}, {"storage-mty-a-1", "mty-a", true}, {"edge-mty-a-2", "mty-a", false}})
	time.Sleep(5 * time.Second)
	storage, edges := d.gateways[1], d.edges()
	client := newJobClient(d)
	began := time.Now()
	if trouble {
		storage.signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	d.writeConfig(append(routes, rolloutRoute("note", "/note/"),
		object{"Name": "count", "Host": host, "Prefix": "/count/", "Type": "safe", "Service": "refill-check", "Attempts": 2, "TimeoutMs": 2000, "GoalMs": 150}), services)
	first := d.firstToServe(client, "/count/x", edges, 5*time.Second)
	if first == nil {
		panic("no machine serves the new route")
	}
	var jobs []*job
	var wg sync.WaitGroup
	for _, m := range models {
		j := newJob("/note/", 6)
		jobs = append(jobs, j)
		wg.Go(func() {
			client.submit(j, m, first)
			client.read(j, time.Now().Add(8*time.Second), edges...)
		})
	}
	time.Sleep(time.Until(began.Add(freeze)))
	if trouble {
		storage.signal(syscall.SIGCONT)
	}
	wg.Wait()
	var breaches []string
	complete := 0
	for _, j := range jobs {
		for _, r := range j.results {
			if r.State == "complete" {
				complete++
			}
		}
		breaches = append(breaches, checkJob(d, j, log, events, time.Now())...)
	}
	d.rec.logf("%d batch jobs, %d items complete", len(jobs), complete)
	return breaches
}

// firstToServe sends requests on a route to each machine and returns the first that serves
// one.
func (d *deployment) firstToServe(c *jobClient, path string, machines []*gateway, limit time.Duration) *gateway {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, g := range machines {
			id := newID()
			status, _ := c.call(g, "POST", path, id, []byte("x"), map[string]string{"X-Pomelocross-Deadline-Ms": "1000"})
			if status == http.StatusOK {
				d.rec.logf("requester: %s on the new route %s is answered 200 by %s", id, path, g.name)
				return g
			}
		}
	}
	return nil
}

// failingItem runs a batch job with an item that fails at each run, while the machine that
// runs the job is restarted as planned.
func failingItem(d *deployment, trouble bool) []string {
	const events = 10
	d.startPlatform()
	log := newItemLog()
	models := []string{"m0"}
	var bad string
	answerOf := func(item string) (int, time.Duration) {
		if item == bad {
			return http.StatusInternalServerError, 400 * time.Millisecond
		}
		return 0, 0
	}
	var engines []*engine
	for n := range 4 {
		engines = append(engines, d.itemEngine(fmt.Sprintf("i-llm%d", n), []string{"mty-a", "mty-b"}[n%2], models, events, log, answerOf))
	}
	d.writeConfig([]object{rolloutRoute("plan", "/plan/")}, []object{llmService(models)})
	d.startGateways([]machine{{"edge-mty-a-1", "mty-a", false}, {"edge-mty-b-1", "mty-b", false}, {"storage-mty-a-1", "mty-a", true}})
	time.Sleep(4 * time.Second)
	client := newJobClient(d)
	j := newJob("/plan/", 4)
	bad = j.items[7]
	first, second := d.edges()[0], d.edges()[1]
	client.submit(j, "m0", first)
	failures := func() int {
		log.mu.Lock()
		defer log.mu.Unlock()
		return log.failed[bad]
	}
	for deadline := time.Now().Add(20 * time.Second); failures() < 5 && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
	}
	if trouble {
		first.signal(syscall.SIGTERM)
	}
	client.read(j, time.Now().Add(25*time.Second), second)
	time.Sleep(3 * time.Second)
	runs, late := 0, 0
	for _, e := range engines {
		for _, r := range e.allRuns() {
			if r.id != bad {
				continue
			}
			runs++
			answered := 0
			for _, at := range log.failedAt {
				if at.Before(r.at) {
					answered++
				}
			}
			if answered >= 3*itemAttempts {
				late++
			}
		}
	}
	d.rec.logf("the item %s began to run %d times and was answered 500 %d times; Attempts is %d; it is listed as %q", bad, runs, failures(), itemAttempts, j.results[bad].State)
	if late > 0 {
		return []string{fmt.Sprintf("BUDGET: item %s, which fails at each run, reached an engine %d times more after %d answers of 500 (three times Attempts)", bad, late, 3*itemAttempts)}
	}
	return nil
}
