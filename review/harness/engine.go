//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of an engine, or of a plain service. It reads requests from raw
// connections, so that it can send more than one answer on one of them.
type engine struct {
	id, service, zone, addr string
	slots, queue            int
	models                  []string
	born                    int64
	rec                     *record
	// handle serves a request that has a slot. It returns false if the connection is to be
	// closed.
	handle func(c *engineConn, r *http.Request, body []byte) bool

	mu       sync.Mutex // guards all below
	draining bool
	placed   int // requests that have a slot or a place in the queue
	free     chan struct{}
	answers  int // complete answers sent
	extras   int // second copies sent or planned
	// copyOf selects the answers of which a second copy is sent, late.
	copyOf func(status int) bool
	runs   []itemRun
}

// itemRun is one request that an engine began to work on.
type itemRun struct {
	id, engine, path string
	at               time.Time
}

// engineConn is a connection to an engine.
type engineConn struct {
	e      *engine
	c      net.Conn
	r      *bufio.Reader
	second []byte // copy of an earlier answer, to be sent where the next one is expected
	from   string // ID of the request that the copy belongs to
}

// startEngine starts an engine on a free port.
func startEngine(e *engine) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e.addr, e.born, e.free = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{}, e.slots)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(&engineConn{e: e, c: c, r: bufio.NewReader(c)})
		}
	}()
	return e
}

func (e *engine) serve(c *engineConn) {
	defer c.c.Close()
	for {
		r, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.serveOne(c, r, body) {
			return
		}
	}
}

func (e *engine) serveOne(c *engineConn, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Pomelocross-Request-Id")
	if expected := r.Header.Get("X-Pomelocross-Expect-Instance"); expected != "" && expected != e.id {
		return c.answer(id, http.StatusMisdirectedRequest, "X-Pomelocross-Not-Run: 1\r\n", "")
	}
	switch r.URL.Path {
	case "/report":
		var models []object
		for _, m := range e.models {
			models = append(models, object{"Name": m, "Version": 1, "Adapters": []string{}})
		}
		return c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"), string(mustJSON(object{
			"Stage": "both", "Models": models, "Busy": false, "Seq": 0, "NumWaiting": 0, "NumRunning": 0, "KvUsed": 0, "KvTotal": 84492, "Handles": 0})))
	case "/order":
		return c.write("HTTP/1.1 200 OK\r\n", "")
	}
	if c.second != nil {
		// The place where the answer to this request is expected.
		e.rec.logf("engine %s: sends the second copy of the answer to %s while %s is the request on the channel", e.id, c.from, id)
		if _, err := c.c.Write(c.second); err != nil {
			return false
		}
		c.second = nil
	}
	if !e.enter() {
		e.rec.logf("engine %s: is full and did not run %s: 503 with Not-Run", e.id, id)
		return c.answer(id, http.StatusServiceUnavailable, "X-Pomelocross-Not-Run: 1\r\n", "")
	}
	defer e.leave()
	e.free <- struct{}{}
	defer func() { <-e.free }()
	e.mu.Lock()
	e.runs = append(e.runs, itemRun{id, e.id, r.URL.Path, time.Now()})
	e.mu.Unlock()
	e.rec.logf("engine %s: begins to run %s", e.id, id)
	return e.handle(c, r, body)
}

// enter takes a place; it returns false if the engine is full.
func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.placed >= e.slots+e.queue {
		return false
	}
	e.placed++
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placed--
}

func (c *engineConn) write(head, body string) bool {
	_, err := io.WriteString(c.c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
	return err == nil
}

// answer sends a complete answer to a request. Of some answers it keeps a copy, which is
// sent where the next answer on the connection is expected.
func (c *engineConn) answer(id string, status int, header, body string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), header)
	if id != "" {
		fmt.Fprintf(&b, "X-Pomelocross-Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	c.e.mu.Lock()
	c.e.answers++
	if c.e.copyOf != nil && c.second == nil && c.e.copyOf(status) {
		c.e.extras++
		c.second, c.from = b.Bytes(), id
	}
	c.e.mu.Unlock()
	_, err := c.c.Write(b.Bytes())
	return err == nil
}

// withCopies makes the engine send a second copy of answers with a status, at most share of
// all its answers since now.
func (e *engine) withCopies(status int, share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers, e.extras = 0, 0
	e.copyOf = func(s int) bool { return s == status && float64(e.extras+1) <= share*float64(e.answers) }
}

// withoutCopies ends withCopies and returns the number of answers and of second copies since
// then.
func (e *engine) withoutCopies() (answers, extras int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copyOf = nil
	return e.answers, e.extras
}

func (e *engine) allRuns() []itemRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]itemRun(nil), e.runs...)
}

// seal returns the value of X-Pomelocross-Server-Seal for a request.
func seal(id string) string { return "X-Pomelocross-Server-Seal: seal-" + id + "\r\n" }

// closed reports whether the caller has closed the connection.
func (c *engineConn) closed() bool {
	_ = c.c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	_, err := c.r.Peek(1)
	_ = c.c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// streamHead begins a streamed answer.
func (c *engineConn) streamHead(id string) bool {
	_, err := io.WriteString(c.c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pomelocross-Weight-Versions: 1\r\nX-Pomelocross-Request-Id: "+id+"\r\n"+seal(id)+"Transfer-Encoding: chunked\r\n\r\n")
	return err == nil
}

// event sends one event of a streamed answer.
func (c *engineConn) event(id string, n int) bool {
	text := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(id, n))
	_, err := io.WriteString(c.c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
	return err == nil
}

// streamEnd ends a streamed answer.
func (c *engineConn) streamEnd() bool {
	_, err := io.WriteString(c.c, "0\r\n\r\n")
	c.e.mu.Lock()
	c.e.answers++
	c.e.mu.Unlock()
	return err == nil
}

func eventData(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// wholeOutput returns the output of an item with events numbered from 1.
func wholeOutput(id string, events int) string {
	parts := make([]string, events)
	for n := range parts {
		parts[n] = eventData(id, n+1)
	}
	return strings.Join(parts, "\n")
}
