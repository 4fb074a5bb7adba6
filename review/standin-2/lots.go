//go:build review2

package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// lotItem is an item of a batch job.
type lotItem struct {
	ID      string            `json:"Id"`
	Path    string            `json:"Path"`
	Headers map[string]string `json:"Headers"`
	Body    string            `json:"Body"` // base64
	Tokens  int               `json:"NumTokens"`
	Group   string            `json:"Group"`
}

// lot is a batch job of one step of a trainer.
type lot struct {
	Step       int       `json:"Step"`
	Model      string    `json:"Model"`
	MinVersion int       `json:"MinVersion"`
	Desired    int       `json:"Desired"`
	Items      []lotItem `json:"Items"`
}

// page is a page of results.
type page struct {
	Total     int
	NextToken int
	Results   []struct {
		ID       string `json:"Id"`
		State    string
		Output   string
		Versions []int
	}
}

// trainer submits batch jobs and reads them.
type trainer struct {
	w     *world
	key   string
	edges []*machine
	calls int
}

// node returns the machine of the next call. Calls go to any machine that receives channels.
func (t *trainer) node() *machine {
	for range t.edges {
		t.calls++
		if m := t.edges[t.calls%len(t.edges)]; !m.ended() {
			return m
		}
	}
	return t.edges[0]
}

// submit submits a batch job until it is accepted, at most five times.
func (t *trainer) submit(id string, l lot) bool {
	for range 5 {
		a := t.node().send("POST", "/pufi791/"+id, id, map[string]string{"X-Api-Key": t.key, "Content-Type": "application/json"}, encode(l), 4*time.Second, 8*time.Second)
		if a.Status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// read reads results from a position.
func (t *trainer) read(id string, after int, wait time.Duration) (page, bool) {
	var p page
	a := t.node().send("GET", fmt.Sprintf("/lots/%s?After=%d", id, after), "", map[string]string{"X-Api-Key": t.key, "X-Pomelocross-Wait-Ms": fmt.Sprint(wait.Milliseconds())}, nil, wait+1500*time.Millisecond, wait+3*time.Second)
	if a.Status != http.StatusOK || !a.Whole {
		return p, false
	}
	return p, json.Unmarshal(a.Body, &p) == nil
}

// end ends a batch job.
func (t *trainer) end(id string) bool {
	for range 5 {
		if a := t.node().send("DELETE", "/lots/"+id, "", map[string]string{"X-Api-Key": t.key}, nil, 4*time.Second, 8*time.Second); a.Status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func b64(text string) string { return base64.StdEncoding.EncodeToString([]byte(text)) }
