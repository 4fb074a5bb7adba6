package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// lateCopies serves requests at the sockets. It responds to some requests with a failure, and
// sends a second copy of that response where the response to the next request on the connection
// is expected. The next request runs nevertheless.
type lateCopies struct {
	failure func(id string, n int) string // response to the n-th request of a connection; empty if it runs
	run     func(conn net.Conn, r *http.Request)

	mu     sync.Mutex // guards all below
	runs   map[string]int
	states map[net.Conn]*connState
}

type connState struct {
	requests int
	copy     string // response to send again; empty if none
}

func newLateCopies(failure func(string, int) string, run func(net.Conn, *http.Request)) *lateCopies {
	return &lateCopies{failure: failure, run: run, runs: map[string]int{}, states: map[net.Conn]*connState{}}
}

func (l *lateCopies) respond(conn net.Conn, r *http.Request) {
	if r.URL.Path == "/report" {
		_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") // the caller may have left
		return
	}
	id := r.Header.Get("X-Pomelocross-Request-Id")
	l.mu.Lock()
	state := l.states[conn]
	if state == nil {
		state = &connState{}
		l.states[conn] = state
	}
	state.requests++
	copied := state.copy
	state.copy = l.failure(id, state.requests)
	own := state.copy
	if own == "" {
		l.runs[id]++
	}
	l.mu.Unlock()
	_, _ = io.WriteString(conn, copied+own) // the caller may have closed the connection
	if own == "" {
		l.run(conn, r)
	}
}

func (l *lateCopies) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// failedResponse returns a failure without a body, after which net/http reuses the connection
// at once.
func failedResponse(id string, status int, extra string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Pomelocross-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), id, extra)
}

const notRunHeader = "X-Pomelocross-Not-Run: 1\r\n"

// itemResponse returns the stream of an item with the given number of events.
func itemResponse(id string, events int) string {
	var text strings.Builder
	for n := range events {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", n, standin.EventData(id, int64(n)))
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pomelocross-Weight-Versions: 1\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, text.Len(), text.String())
}

// registerLate registers engines of a service at which second copies come late.
func (d *deployment) registerLate(service string, count int, copies *lateCopies) {
	for n := range count {
		e := &standin.Engine{ID: fmt.Sprint(service, "-late-", n), Service: service, Slots: 8}
		e.SetVersion(model, 1)
		d.store.Set("servers", e.ID, e.Registration(rawEngine(copies.respond), "a", "ready"))
	}
}

var _ = Describe("A second copy of a failure that comes late", func() {
	// It was taken for the response to the next request on the connection: a request that must
	// not run twice was sent again, or was reported as not run, although the engine ran it.
	for _, kind := range []string{"unsafe", "stream"} {
		DescribeTable("runs no request of a route of type "+kind+" twice and reports none that ran as not run",
			func(status int, extra string) {
				d := newDeployment(0, 0)
				d.store.Remove("servers", "desk-0")
				d.setRoute("desk", "Type", kind)
				alternating := func(id string, n int) string {
					if n%2 == 1 {
						return failedResponse(id, status, extra)
					}
					return ""
				}
				copies := newLateCopies(alternating, func(conn net.Conn, r *http.Request) {
					id := r.Header.Get("X-Pomelocross-Request-Id")
					_, _ = io.WriteString(conn, itemResponse(id, 1)) // the caller may have left
				})
				d.registerLate("desk", 2, copies)
				gw := d.start("entry-1", nil)
				Eventually(func() int { return len(gw.roster.Entries("desk")) }).WithTimeout(5 * time.Second).Should(Equal(2))
				ran := 0
				for n := range 16 {
					time.Sleep(100 * time.Millisecond) // an engine that refuses gets no request for a while
					id := fmt.Sprint("r-", n)
					a, err := call("POST", gw.address, "/kits/4", northKey, nil, "X-Pomelocross-Request-Id", id)
					Expect(err).NotTo(HaveOccurred())
					Expect(copies.runsOf(id)).To(BeNumerically("<=", 1), id)
					if a.Status == http.StatusServiceUnavailable {
						Expect(copies.runsOf(id)).To(BeZero(), id)
					}
					ran += copies.runsOf(id)
				}
				Expect(ran).To(BeNumerically(">", 0))
			},
			Entry("a refusal", http.StatusServiceUnavailable, notRunHeader),
			Entry("a refusal for the rate", http.StatusTooManyRequests, notRunHeader),
			Entry("a misdirected request", http.StatusMisdirectedRequest, ""),
		)
	}

	// It was taken for the response to the next item on the connection, which was listed as dead
	// for good, or counted as one of the errors after which an item is given up.
	DescribeTable("gives up no items but those that it belongs to", func(status int) {
		const items, events = 24, 2
		d := newDeployment(0, 0)
		bad := map[string]bool{}
		for n := 0; n < items; n += 4 {
			bad[fmt.Sprint("item-", n)] = true
		}
		failing := func(id string, _ int) string {
			if bad[id] {
				return failedResponse(id, status, "")
			}
			return ""
		}
		copies := newLateCopies(failing, func(conn net.Conn, r *http.Request) {
			_, _ = io.WriteString(conn, itemResponse(r.Header.Get("X-Pomelocross-Request-Id"), events)) // the caller may have left
		})
		d.registerLate("lm", 3, copies)
		d.setRoute("lots", "Attempts", 1)
		gw := d.start("entry-1", nil)
		Eventually(func() int { return len(gw.roster.Entries("lm")) }).WithTimeout(5 * time.Second).Should(Equal(3))
		Expect(submit(gw.address, "l", batchBody(items, 1))).To(Equal(http.StatusAccepted))
		texts := results(gw.address, "l", items)
		for n := range items {
			id := fmt.Sprint("item-", n)
			if bad[id] {
				Expect(texts[id]).To(BeEmpty())
				continue
			}
			Expect(texts[id]).To(Equal(standin.ItemText(id, events)))
		}
	},
		Entry("status 422", http.StatusUnprocessableEntity),
		Entry("status 500", http.StatusInternalServerError),
	)

	// It counted as an error of the next item's reward call.
	It("gives up no item whose reward call comes next", func() {
		const items, events, bad = 12, 1, "reward-3"
		d := newDeployment(2, events)
		d.store.Remove("servers", d.desk.ID)
		failing := func(id string, _ int) string {
			if id == bad {
				return failedResponse(id, http.StatusInternalServerError, "")
			}
			return ""
		}
		copies := newLateCopies(failing, func(conn net.Conn, r *http.Request) {
			id := r.Header.Get("X-Pomelocross-Request-Id")
			_, _ = io.WriteString(conn, signedResponse(id, "seal")) // the caller may have left
		})
		d.registerLate("desk", 1, copies)
		gw := d.start("entry-1", nil)
		Expect(submit(gw.address, "l", rewardedBatchBody(items))).To(Equal(http.StatusAccepted))
		texts := results(gw.address, "l", items)
		for n := range items {
			id := fmt.Sprint("item-", n)
			if n == 3 {
				continue // dead
			}
			Expect(texts[id]).To(Equal(standin.ItemText(id, events)))
		}
	})
})
