//go:build review2

package main

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

const (
	blockBytes  = 8192 // of the archive that the client sends
	writes      = 16   // of the archive
	writeBlocks = 10   // in each
	blocks      = writes * writeBlocks
	writePause  = 100 * time.Millisecond
	freezeAfter = 400 * time.Millisecond
	clients     = 8
	// rounds is how often it is tried. A gateway that wakes may read the rest of the bodies before
	// its timers run.
	rounds = 3
	// otherEntries and four storage machines stand beside the machine that freezes, so that it is
	// one of eleven.
	otherEntries = 6
	freezeTime   = 3 * time.Second
)

// recordedCall returns a block of the archive: a call to hand in a batch, as a client once
// recorded it, filled up to the size of a block.
func recordedCall(client, n int) string {
	body := fmt.Sprintf(`{"Step":1,"Model":%q,"MinVersion":1,"Desired":1,"Items":[{"Id":"recorded-item-%d-%d","Path":"/train/3/1","Headers":{"X-Pomelocross-Model":%q,"X-Pomelocross-Tokens":"5,40"},"Body":%q,"NumTokens":45,"Group":"g"}]}`,
		model, client, n, model, base64.StdEncoding.EncodeToString([]byte("draft a plan")))
	head := func(length int) string {
		return fmt.Sprintf("POST /train/recorded HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Pomelocross-Request-Id: recorded-%d-%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", host, key, client, n, length)
	}
	length := blockBytes - len(head(1000))
	return head(length) + body + strings.Repeat(" ", length-len(body))
}

// upload: a client sends an archive on a route that was removed. It gets its 404 before it has
// sent all of the body, sends the rest, and uses the channel for its next request. Meanwhile
// the gateway freezes for three seconds.
func upload(w *world) {
	w.storeAddress, w.cloudAddress = w.serve(w.store), w.serve(w.cloud)
	desk := &standin.Engine{ID: "desk-0", Service: "desk", Slots: 6}
	w.store.Set("servers", desk.ID, desk.Registration(w.serve(desk), "a", "ready"))
	engine := &standin.Engine{ID: "engine-0", Service: "lm", Slots: 8, Events: 5, EventInterval: 5 * time.Millisecond}
	engine.SetVersion(model, 1)
	w.store.Set("servers", engine.ID, engine.Registration(w.serve(engine), "a", "ready"))
	kept := []map[string]any{
		{"Name": "desk", "Host": host, "Prefix": "/kits/", "Type": "safe", "TimeoutMs": 2000, "GoalMs": 150, "Service": "desk", "Attempts": 2},
		{"Name": "lots", "Host": host, "Prefix": "/train/", "Type": "rollout", "Service": "lm", "Attempts": 3, "MaxQueueS": 40, "DueMs": 7500},
	}
	archive := map[string]any{"Name": "archive", "Host": host, "Prefix": "/archive/", "Type": "safe", "TimeoutMs": 8000, "GoalMs": 1000, "Service": "desk", "Attempts": 2}
	services := []map[string]any{
		{"Name": "lm", "HealthPath": "/healthz", "MaxConns": 150, "Engine": map[string]any{"Slots": 8, "KvCap": 84492, "Models": []map[string]any{{"Name": model}}}},
		{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 100},
	}
	w.configure(append(kept, archive), services)
	n := w.addNode("edge-a-1")
	zones := []string{"a", "b", "c", "d"}
	for c := range otherEntries {
		w.addNode(fmt.Sprintf("edge-%s-2", zones[c%len(zones)]) + strings.Repeat("-2", c/len(zones)))
	}
	for _, zone := range zones {
		w.addStorageNode("storage-" + zone + "-1")
	}
	for c, m := range w.nodes {
		w.start(m, zones[c%len(zones)])
	}
	for _, m := range w.nodes[:otherEntries+1] {
		w.awaitReady(m)
	}
	w.configure(kept, services)
	w.rec.say("the operator's second version removes the route /archive/")
	time.Sleep(3 * time.Second) // ConfigApplyMs is 2,000

	for round := range rounds {
		w.rec.say("round %d", round+1)
		if foreign := playRound(w, n, round); foreign > 0 || len(engine.Runs()) > 0 {
			smuggled := engine.Runs()
			for _, r := range smuggled {
				w.rec.say("engine-0 ran %s of tenant %s; no client has submitted it", r.ID, r.Team)
			}
			w.finish(true, "UNASKED: %d items ran that were only inside the bodies of other requests; MIXED: %d of %d second requests got an answer that belongs to another request (round %d)", len(smuggled), foreign, clients, round+1)
		}
	}
	w.finish(false, "UNASKED and MIXED held in %d rounds", rounds)
}

// playRound lets all clients send an archive while the gateway freezes once. It returns how many
// got an answer that belongs to another request.
func playRound(w *world, n *node, round int) int {
	if w.trouble {
		time.AfterFunc(freezeAfter, func() {
			n.signal(syscall.SIGSTOP)
			w.rec.say("the gateway freezes")
		})
		time.AfterFunc(freezeAfter+freezeTime, func() {
			n.signal(syscall.SIGCONT)
			w.rec.say("the gateway wakes")
		})
	}
	var group sync.WaitGroup
	var foreign atomic.Int64
	for c := range clients {
		group.Go(func() {
			if !sendArchive(w, n, round*clients+c) {
				foreign.Add(1)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return int(foreign.Load())
}

// sendArchive sends an archive and then another request on the same channel. It returns false
// if the second request gets an answer that isn't its own.
func sendArchive(w *world, n *node, client int) bool {
	conn, err := net.Dial("tcp", n.front)
	check(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	first, second := fmt.Sprintf("archive-%d", client), fmt.Sprintf("count-%d", client)
	fmt.Fprintf(conn, "POST /archive/day HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", host, key, first, blocks*blockBytes)
	w.rec.say("client %d: request %s with a body of %d bytes", client, first, blocks*blockBytes)
	for b := range writes {
		var part strings.Builder
		for k := range writeBlocks {
			part.WriteString(recordedCall(client, b*writeBlocks+k))
		}
		if _, err := io.WriteString(conn, part.String()); err != nil {
			w.rec.say("client %d: the gateway closed the channel before the body was sent: %v", client, err)
			return true
		}
		time.Sleep(writePause)
	}
	w.rec.say("client %d: the body of %s is sent", client, first)
	_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	status, id, err := readAnswer(reader)
	w.rec.say("client %d: answer with status %d and id %q (%v)", client, status, id, err)
	if err != nil || status != http.StatusNotFound || id != first {
		return err != nil || id == first
	}
	if w.trouble {
		time.Sleep(freezeTime) // the client has its next request after the freeze
	}
	if _, err := fmt.Fprintf(conn, "POST /kits/7 HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nhi", host, key, second); err != nil {
		w.rec.say("client %d: the channel is closed: %v", client, err)
		return true
	}
	w.rec.say("client %d: request %s on the same channel", client, second)
	status, id, err = readAnswer(reader)
	w.rec.say("client %d: answer with status %d and id %q (%v)", client, status, id, err)
	return err != nil || id == second
}

// readAnswer reads an answer and returns its status and request id.
func readAnswer(r *bufio.Reader) (int, string, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Pomelocross-Request-Id"), err
}
