package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["markup"], cases["texts"] = markupResults, largeTexts }

// A trainer's step as on the sheet of the site, which has 18 groups of 4 items and texts of 26
// events on average, 190 at most, with 340 bytes each on average.
const (
	stepGroups, groupItems = 18, 4
	textEvents, eventBytes = 30, 340
)

// The largest text on the sheet.
const maxEvents, maxEventBytes = 190, 2100

// eventTokens is the number of tokens in an event of the site's engines.
const eventTokens = 63

// trainer is a client that submits batch jobs and reads their results.
type trainer struct {
	key    string
	path   string // prefix of its route
	first  int    // number of the machine that it calls first
	prefix string // of the ids of its items
}

// repeated returns text, repeated to a number of bytes.
func repeated(text string, bytes int) string {
	return strings.Repeat(text, bytes/len(text)+1)[:bytes]
}

// step returns the items of a step, whose texts have up to a number of events.
func (t trainer) step(items, events int) []item {
	const promptTokens = 140
	list := make([]item, items)
	for n := range list {
		list[n] = newItem(fmt.Sprintf("%s%07x", t.prefix, n), t.path+"1", fmt.Sprintf("%s%d", t.prefix, n/groupItems))
		list[n].NumTokens = promptTokens + events*eventTokens
		list[n].Headers["X-Pomelocross-Tokens"] = fmt.Sprintf("%d,%d", promptTokens, events*eventTokens)
	}
	return list
}

// submit submits a batch job until it is accepted, a call each second, at the machines in turn.
func (l *lab) submit(ctx context.Context, t trainer, batch string, body []byte) bool {
	for n := t.first; ctx.Err() == nil; n++ {
		to := l.entries()[n%len(l.entries())]
		a := l.send(to, request{method: "POST", path: t.path + batch, id: batch, key: t.key, body: body, deadline: 10 * time.Second})
		if a.status == http.StatusAccepted {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// readResults reads the results of a batch job about twice a second, at the machines in turn,
// until all are listed or ctx ends. It returns how many were listed as complete.
func (l *lab) readResults(ctx context.Context, t trainer, batch string) (complete int) {
	for n, after, total := t.first, 0, 1; after < total && ctx.Err() == nil; n++ {
		to := l.entries()[n%len(l.entries())]
		a := l.send(to, request{method: "GET", path: fmt.Sprintf("/lots/%s?After=%d", batch, after), key: t.key, header: map[string]string{"X-Pomelocross-Wait-Ms": "1000"}})
		var page struct {
			Total, NextToken int
			Results          []struct{ State string }
		}
		if a.status == http.StatusOK && json.Unmarshal(a.body, &page) == nil {
			after, total = page.NextToken, page.Total
			for _, r := range page.Results {
				if r.State == "complete" {
					complete++
				}
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
	l.record.line("listed", batch, fmt.Sprintf("%d complete", complete))
	return complete
}

// markupResults: the store is busy while engines complete the texts of two trainers' steps, of
// which one has its texts in a markup language. Each trainer has engines of its own.
func markupResults(l *lab) error {
	const (
		items    = stepGroups * groupItems
		budget   = 12 * time.Second // of the trainers
		busyFrom = 1200 * time.Millisecond
		busyFor  = 4500 * time.Millisecond
	)
	markup, plain := repeated("<b>8</b><i>4</i>", eventBytes), repeated("8 gauze, 4 tape ", eventBytes)
	trainers := []trainer{{key: key, path: "/plan/", first: 0, prefix: "a"}, {key: "8mq2wz51xk7t0c4h9d6f", path: "/note/", first: 1, prefix: "b"}}
	config := baseConfig()
	config["Tenants"] = []map[string]any{{"Name": tenant, "ApiKeys": []string{key}}, {"Name": "goka901", "ApiKeys": []string{trainers[1].key}}}
	config["Routes"] = append(config["Routes"].([]map[string]any), map[string]any{"Name": "note", "Host": host, "Prefix": "/note/", "Type": "rollout", "Service": "lm-note", "Attempts": 3, "TimeoutMs": 10000, "GoalMs": 500, "DueMs": 7500, "MaxQueueS": 30, "Prio": 0, "Sticky": true})
	config["Services"] = append(config["Services"].([]map[string]any), map[string]any{"Name": "lm-note", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 12, "KvCap": 80000, "Models": []map[string]any{{"Name": model}}}})
	err := l.beginDeployment(config, 2, 6, func(s *server) {
		if s.id >= "i-lm-3" {
			s.service = "lm-note"
		}
		s.pauseOf = func(id string) time.Duration { // a text takes 1.5 to 4.35 s
			n, _ := strconv.ParseInt(id[1:], 16, 64)
			return time.Duration(1500+n*7%20*150) * time.Millisecond / textEvents
		}
		s.pieces = func(id string) []string {
			text := plain
			if strings.HasPrefix(id, trainers[0].prefix) {
				text = markup
			}
			return slices.Repeat([]string{text}, textEvents)
		}
	})
	if err != nil {
		return err
	}
	var wait sync.WaitGroup
	var accepted atomic.Int64
	served := make([]int, len(trainers))
	for i, t := range trainers {
		wait.Go(func() {
			batch := fmt.Sprintf("7c41e09b52d6a%d00", i)
			ctx, cancel := context.WithTimeout(l.ctx, budget)
			defer cancel()
			if !l.submit(ctx, t, batch, submission(0, t.step(items, textEvents), stepGroups*9/10)) {
				return
			}
			if accepted.Add(1) == int64(len(trainers)) && l.trouble {
				time.AfterFunc(busyFrom, func() { l.setBusy(true) })
				time.AfterFunc(busyFrom+busyFor, func() { l.setBusy(false) })
			}
			served[i] = l.readResults(ctx, t, batch)
			l.send(l.entries()[i], request{method: "DELETE", path: "/lots/" + batch, key: t.key})
		})
	}
	wait.Wait()
	if accepted.Load() < int64(len(trainers)) {
		return fmt.Errorf("only %d batch jobs were accepted", accepted.Load())
	}
	all := served[0] + served[1]
	l.record.line("counted", fmt.Sprintf("served of %d requests each: %v", items, served))
	for i, n := range served {
		if share, of := float64(n)/items, float64(all)/(2*items); share < of/4 {
			return brokenError(fmt.Sprintf("Starved: %d of %d requests of tenant %d were served, of all %d of %d; engines have completed %d of its texts", n, items, i+1, all, 2*items, l.finished(trainers[i].prefix)))
		}
	}
	return nil
}

// setBusy begins or ends a time in which the store turns all calls away.
func (l *lab) setBusy(busy bool) {
	l.record.line("store", fmt.Sprintf("busy=%v", busy))
	l.store.setBusy(busy)
}

// finished returns the number of items, by the prefix of their ids, that engines have completed.
func (l *lab) finished(prefix string) int {
	ids := map[string]bool{}
	for _, s := range l.servers {
		s.mu.Lock()
		for id := range s.finished {
			if strings.HasPrefix(id, prefix) {
				ids[id] = true
			}
		}
		s.mu.Unlock()
	}
	return len(ids)
}

// largeTexts: engines generate the longest texts of the sheet for the items of two trainers' batch jobs.
func largeTexts(l *lab) error {
	const (
		limit = 284 // MB
		items = 800
	)
	events, size := textEvents, eventBytes
	if l.trouble {
		events, size = maxEvents, maxEventBytes
	}
	text := repeated("8 gauze, 4 tape ", size)
	err := l.beginDeployment(baseConfig(), 2, 6, func(s *server) {
		s.pause = 5 * time.Millisecond
		s.pieces = func(string) []string { return slices.Repeat([]string{text}, events) }
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(l.ctx, 80*time.Second)
	defer cancel()
	end := l.guardMemory(limit, func(kills map[string]int) {
		if endedThrice(kills) >= 2 {
			cancel()
		}
	})
	var wait sync.WaitGroup
	var accepted, listed atomic.Int64
	for i := range 2 {
		wait.Go(func() {
			t := trainer{key: key, path: "/plan/", first: i, prefix: string(rune('a' + i))}
			batch := fmt.Sprintf("7c41e09b52d6a%d00", i)
			body := submission(0, t.step(items, events), items/groupItems)
			l.record.line("submission", batch, fmt.Sprintf("%d items, %d bytes", items, len(body)))
			if l.submit(ctx, t, batch, body) {
				accepted.Add(1)
				listed.Add(int64(l.readResults(ctx, t, batch)))
			}
		})
	}
	wait.Wait()
	kills := end()
	if accepted.Load() < 2 {
		return fmt.Errorf("only %d batch jobs were accepted", accepted.Load())
	}
	l.record.line("counted", fmt.Sprintf("%d of %d results read; ends by memory: %v", listed.Load(), 2*items, kills))
	if machines := endedThrice(kills); machines >= 2 {
		return brokenError(fmt.Sprintf("Fault: the processes of %d machines of %d ended by themselves three times or more: %v", machines, len(l.nodes), kills))
	}
	return nil
}
