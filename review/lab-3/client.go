package main

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Names of the deployment.
const (
	host   = "ficu95.example"
	key    = "3d3zji9n73hh2b9wu3fe"
	tenant = "nowu640"
	model  = "daka510000"
)

// answer is what a client got for one attempt.
type answer struct {
	status int
	body   []byte
	header http.Header
	took   time.Duration
	err    error
}

// request describes one attempt of a client.
type request struct {
	method, path, id string
	host             string // host by default
	key              string // the clients' key by default
	body             []byte
	header           map[string]string
	deadline         time.Duration // 0 if the call bears none
}

// send sends an attempt on a new channel.
func (l *lab) send(n *node, r request) answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 15 * time.Second}
	if r.deadline > 0 {
		client.Timeout = r.deadline
	}
	q, err := http.NewRequest(r.method, "http://"+n.front+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = cmp.Or(r.host, host)
	q.Header.Set("X-Api-Key", cmp.Or(r.key, key))
	if r.id != "" {
		q.Header.Set("X-Pomelocross-Request-Id", r.id)
	}
	if r.deadline > 0 {
		q.Header.Set("X-Pomelocross-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	for name, value := range r.header {
		q.Header.Set(name, value)
	}
	l.record.line("sent", n.name, r.id, r.method+" "+r.path)
	began := time.Now()
	resp, err := client.Do(q)
	a := answer{err: err}
	if err == nil {
		a.status, a.header = resp.StatusCode, resp.Header
		a.body, a.err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	a.took = time.Since(began)
	l.record.line("answered", n.name, r.id, fmt.Sprint(a.status), fmt.Sprintf("%d bytes", len(a.body)), fmt.Sprintf("%.0f ms", a.took.Seconds()*1000), fmt.Sprint(a.err))
	return a
}

// item is an item of a batch job.
type item struct {
	ID        string            `json:"Id"`
	Path      string            `json:"Path"`
	Headers   map[string]string `json:"Headers"`
	Body      string            `json:"Body"`
	NumTokens int               `json:"NumTokens"`
	Group     string            `json:"Group"`
}

// newItem returns an item of a group for the trained model.
func newItem(id, path, group string) item {
	return item{
		ID: id, Path: path, Body: base64.StdEncoding.EncodeToString([]byte("prompt " + id)), NumTokens: 540, Group: group,
		Headers: map[string]string{"X-Pomelocross-Model": model, "X-Pomelocross-Tokens": "140,400", "X-Pomelocross-Prompt-Prefix": "9c2e41:100," + id + ":40"},
	}
}

// submission is the body of a batch job.
func submission(step int, items []item, desired int) []byte {
	return submissionOf(step, model, items, desired)
}

func submissionOf(step int, model string, items []item, desired int) []byte {
	encoded, err := json.Marshal(map[string]any{"Step": step, "Model": model, "MinVersion": 1, "Desired": desired, "Items": items})
	if err != nil {
		panic(err)
	}
	return encoded
}

// baseConfig is a config with one route of each type.
func baseConfig() map[string]any {
	return map[string]any{
		"Version": 3,
		"Routes": []map[string]any{
			{"Name": "hold", "Host": host, "Prefix": "/hold/", "Type": "unsafe", "Service": "desk", "Attempts": 2, "TimeoutMs": 4000, "GoalMs": 150, "Prio": 1},
			{"Name": "look", "Host": host, "Prefix": "/look/", "Type": "safe", "Service": "desk", "Attempts": 2, "TimeoutMs": 4000, "GoalMs": 150, "Prio": 1},
			{"Name": "chat", "Host": host, "Prefix": "/chat/", "Type": "stream", "Service": "lm", "Attempts": 2, "TimeoutMs": 2000, "GoalMs": 500, "Prio": 1, "Sticky": true},
			{"Name": "talk", "Host": host, "Prefix": "/talk/", "Type": "stream", "Resumable": true, "Service": "lm", "Attempts": 3, "TimeoutMs": 2000, "GoalMs": 500, "Prio": 1, "Sticky": true},
			{"Name": "plan", "Host": host, "Prefix": "/plan/", "Type": "rollout", "Service": "lm", "Attempts": 3, "TimeoutMs": 10000, "GoalMs": 500, "DueMs": 7500, "MaxQueueS": 30, "Prio": 0, "Sticky": true},
		},
		"Services": []map[string]any{
			{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100},
			{"Name": "lm", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 12, "KvCap": 80000, "Models": []map[string]any{{"Name": model}}}},
		},
		"Tenants": []map[string]any{{"Name": tenant, "ApiKeys": []string{key}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 10000},
	}
}
