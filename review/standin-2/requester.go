//go:build review2

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a requester saw of one attempt of a request.
type answer struct {
	ID       string
	SentAt   time.Time
	Status   int       // 0 for no answer
	StatusAt time.Time // when the status came
	Body     []byte
	Seal     string
	Whole    bool // the answer came to its end
	EndAt    time.Time
	Err      error
}

// send sends one attempt of a request on a new channel and waits at most patience for its status
// and at most budget for its end.
func (m *machine) send(method, path, id string, headers map[string]string, body []byte, patience, budget time.Duration) answer {
	a := answer{ID: id, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, bytes.NewReader(body))
	must(err)
	r.Host = host
	r.Header.Set("X-Api-Key", key)
	if id != "" {
		r.Header.Set("X-Pomelocross-Request-Id", id)
	}
	for n, v := range headers {
		r.Header.Set(n, v)
	}
	impatient := time.AfterFunc(patience, cancel)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := (&http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}).Do(r)
	impatient.Stop()
	if err != nil {
		a.Err, a.EndAt = err, time.Now()
		m.w.note("requester: %s %s %s at %s: no answer: %v", method, path, id, m.name, err)
		return a
	}
	defer resp.Body.Close()
	a.Status, a.StatusAt, a.Seal = resp.StatusCode, time.Now(), resp.Header.Get("X-Pomelocross-Server-Seal")
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Whole, a.EndAt = a.Err == nil, time.Now()
	m.w.note("requester: %s %s %s at %s: status %d after %.3f s, %d bytes, whole: %v", method, path, id, m.name, a.Status, a.StatusAt.Sub(a.SentAt).Seconds(), len(a.Body), a.Whole)
	return a
}

// requestID returns an ID that no other request has.
func requestID(n int) string { return fmt.Sprintf("%016x", 0x1c41d07be2a30000+n) }
