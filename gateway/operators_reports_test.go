package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/batch"
	"github.com/pomelocross/pomelocross/internal/standin/rawserver"
	"github.com/pomelocross/pomelocross/link"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/platform/standin"
	"github.com/pomelocross/pomelocross/sendlimit"
	"github.com/pomelocross/pomelocross/slots"
)

// What operators of similar systems have reported, each produced at the sockets.

// rawEngine serves requests on each connection by respond, which writes to the connection.
func rawEngine(respond rawserver.Respond) string {
	address, closeListener, err := rawserver.Listen(func() rawserver.Respond { return respond })
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closeListener)
	return address
}

// signedResponse returns a complete response to a request.
func signedResponse(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: %s\r\nX-Pomelocross-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

// registerDesk registers an upstream for plain requests at an address instead of the usual one.
func (d *deployment) registerDesk(address string) {
	d.store.Set("servers", d.desk.ID, d.desk.Registration(address, "a", "ready"))
}

// setRoute changes a field of a route.
func (d *deployment) setRoute(name, field string, value any) {
	d.configure(func(c map[string]any) {
		for _, route := range c["Routes"].([]map[string]any) {
			if route["Name"] == name {
				route[field] = value
			}
		}
	})
}

var _ = Describe("A second copy of a response on a kept connection", func() {
	for _, kind := range []string{"safe", "unsafe"} {
		It("is never given to the next caller of a route of type "+kind, func() {
			d := newDeployment(0, 0)
			d.setRoute("desk", "Type", kind)
			var last atomic.Pointer[string]
			var ran sync.Map // IDs of the requests that reached the engine
			d.registerDesk(rawEngine(func(conn net.Conn, r *http.Request) {
				id := r.Header.Get("X-Pomelocross-Request-Id")
				ran.Store(id, true)
				own := signedResponse(id, "to "+id)
				if previous := last.Swap(&own); previous != nil {
					_, _ = io.WriteString(conn, *previous) // the gateway may have closed the connection
				}
				_, _ = io.WriteString(conn, own)
			}))
			gw := d.start("entry-1", nil)
			for n := range 40 {
				id := fmt.Sprint("r-", n)
				a, err := call("POST", gw.address, "/kits/4", northKey, nil, "X-Pomelocross-Request-Id", id)
				Expect(err).NotTo(HaveOccurred())
				if a.Status == http.StatusOK {
					Expect(string(a.Body)).To(Equal("to " + id))
				} else if a.Status == http.StatusServiceUnavailable {
					_, reached := ran.Load(id)
					Expect(reached).To(BeFalse(), "a request that is reported as not run")
				}
			}
		})
	}
})

var _ = Describe("A planned stop under load", func() {
	It("cuts off no request that an upstream has got", func() {
		d := newDeployment(0, 0)
		d.desk.Slots = 64
		gw := d.start("entry-1", func(s *Settings) { s.DrainGrace = 300 * time.Millisecond })
		var answered sync.Map
		var callers sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		for n := range 16 {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second} // keeps its connection
				for count := 0; ctx.Err() == nil; count++ {
					id := fmt.Sprintf("r-%d-%d", n, count)
					r, _ := http.NewRequest("POST", "http://"+gw.address+"/kits/4", strings.NewReader("body"))
					r.Host = host
					r.Header.Set("X-Api-Key", northKey)
					r.Header.Set("X-Pomelocross-Request-Id", id)
					a, err := client.Do(r)
					if err != nil {
						continue
					}
					_, err = io.Copy(io.Discard, a.Body)
					a.Body.Close()
					if err == nil && a.StatusCode == http.StatusOK {
						answered.Store(id, true)
					}
				}
			})
		}
		time.Sleep(300 * time.Millisecond)
		gw.stop()
		Eventually(gw.done).WithTimeout(10 * time.Second).Should(Receive())
		gw.done <- nil // for the cleanup of start
		cancel()
		callers.Wait()
		runs := d.desk.Runs()
		Expect(len(runs)).To(BeNumerically(">", 100))
		for _, run := range runs {
			_, ok := answered.Load(run.ID)
			Expect(ok).To(BeTrue(), run.ID)
		}
	})
})

var _ = Describe("A stream", func() {
	stream := func(gw *testInstance, headers ...string) (response, error) {
		return call("POST", gw.address, "/chat/1", northKey, nil, append(headers, "X-Pomelocross-Model", model)...)
	}

	It("that is slow but sound is not cut", func() {
		d := newDeployment(1, 4)
		d.engines[0].EventInterval = time.Second
		gw := d.start("entry-1", nil)
		a, err := stream(gw)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(a.Body), "data: ")).To(Equal(4))
		Expect(d.engines[0].Runs()).To(HaveLen(1))
	})

	// drip responds with the head of a stream and then a byte of a comment now and then.
	drip := func(conn net.Conn, r *http.Request) {
		id := r.Header.Get("X-Pomelocross-Request-Id")
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pomelocross-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n:\r\n", id)
		for err == nil {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(conn, "1\r\n.\r\n")
		}
	}

	It("that is stalled but for a byte now and then goes on at another engine", func() {
		d := newDeployment(0, 0)
		gw := d.start("entry-1", nil)
		stalled := &standin.Engine{ID: "engine-0", Service: "lm", Slots: 8}
		stalled.SetVersion(model, 1)
		d.store.Set("servers", stalled.ID, stalled.Registration(rawEngine(drip), "a", "ready"))
		Eventually(func() bool { _, ok := gw.roster.Entry(stalled.ID); return ok }).WithTimeout(3 * time.Second).Should(BeTrue())
		time.AfterFunc(500*time.Millisecond, func() {
			sound := &standin.Engine{ID: "engine-1", Service: "lm", Slots: 8, Events: 4, EventInterval: 5 * time.Millisecond}
			sound.SetVersion(model, 1)
			d.store.Set("servers", sound.ID, sound.Registration(serve(sound), "a", "ready"))
		})
		a, err := stream(gw)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(a.Body), "data: ")).To(Equal(4))
	})

	It("that is stalled but for a byte now and then and cannot be resumed ends", func() {
		d := newDeployment(0, 0)
		d.setRoute("chat", "Resumable", false)
		stalled := &standin.Engine{ID: "engine-0", Service: "lm", Slots: 8}
		stalled.SetVersion(model, 1)
		d.store.Set("servers", stalled.ID, stalled.Registration(rawEngine(drip), "a", "ready"))
		gw := d.start("entry-1", nil)
		gw.forward.StallTimeout = time.Second
		began := time.Now()
		_, err := stream(gw)
		Expect(err).To(HaveOccurred(), "the connection is reset, since the response is not complete")
		Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	})
})

var _ = Describe("A request whose response was lost", func() {
	It("is not run again and not reported as not run, if it must not be repeated", func() {
		d := newDeployment(0, 0)
		d.setRoute("desk", "Type", "unsafe")
		second := &standin.Engine{ID: "desk-1", Service: "desk", Slots: 8}
		d.store.Set("servers", second.ID, second.Registration(serve(second), "a", "ready"))
		for _, e := range []*standin.Engine{d.desk, second} {
			e.SetFault(func(string) standin.Fault { return standin.ReplyLost })
		}
		gw := d.start("entry-1", nil)
		for n := range 6 {
			id := fmt.Sprint("r-", n)
			a, err := call("POST", gw.address, "/kits/4", northKey, nil, "X-Pomelocross-Request-Id", id)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Status).To(Equal(http.StatusBadGateway))
			time.Sleep(1100 * time.Millisecond) // the upstreams are tried again
		}
		ran := map[string]int{}
		for _, run := range append(d.desk.Runs(), second.Runs()...) {
			ran[run.ID]++
		}
		Expect(len(ran)).To(BeNumerically(">=", 3))
		for id, count := range ran {
			Expect(count).To(Equal(1), id)
		}
	})
})

var _ = Describe("An instance that restarts", func() {
	// The source of its domain had lost the store and still had the state from before.
	It("uses no key that was withdrawn and no upstream that had left, once their bound is over", func() {
		d := newDeployment(0, 0)
		names := orderedNames(2)
		proxy := &breakableProxy{target: d.store}
		source := d.start(names[0], func(s *Settings) { s.Store = serve(proxy) })
		reader := d.start(names[1], nil)
		waitForMembership(source, reader)
		other := &standin.Engine{ID: "desk-1", Service: "desk", Slots: 8}
		otherAddress := serve(other)
		d.store.Set("servers", other.ID, other.Registration(otherAddress, "a", "ready"))
		Eventually(func() bool { _, ok := source.roster.Entry(other.ID); return ok }).WithTimeout(3 * time.Second).Should(BeTrue())

		proxy.down.Store(true)
		d.configure(func(c map[string]any) {
			c["Tenants"] = []map[string]any{{"Name": "north", "ApiKeys": []string{northKey}}}
		})
		d.store.Remove("servers", other.ID)
		changed := time.Now()
		reader.stop()
		Eventually(reader.done).WithTimeout(10 * time.Second).Should(Receive())
		reader.done <- nil // for the cleanup of start
		before := len(other.Runs())
		restarted := d.start(names[1], nil)
		time.Sleep(time.Until(changed.Add(2 * time.Second)))
		for range 20 {
			Expect(status("POST", restarted.address, "/kits/4", southKey, nil)).To(Equal(http.StatusUnauthorized))
			Expect(status("POST", restarted.address, "/kits/4", northKey, nil)).To(Equal(http.StatusOK))
		}
		Expect(other.Runs()).To(HaveLen(before))
	})
})

var _ = Describe("A malformed message", func() {
	It("does not end the process, whoever sends it", func(ctx SpecContext) {
		d := newDeployment(1, 5)
		gw := d.start("entry-1", nil)
		for _, address := range []string{gw.address, gw.settings.PeerListen, gw.settings.ReadyListen} {
			for _, text := range []string{"\x00\x01\x02\x03", "GET / HTTP/9.9\r\n\r\n", "POST /train/x HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: -1\r\n\r\n", strings.Repeat("A", 1<<20)} {
				conn, err := net.Dial("tcp", address)
				Expect(err).NotTo(HaveOccurred())
				_, _ = io.WriteString(conn, text) // the instance may close the connection early
				conn.Close()
			}
		}
		for _, kind := range []string{"servers", "config", batch.KindHead, kindInstances, kindQuarantine, "versions", "usage", "leases"} {
			for n, value := range []any{nil, "text", 5, []any{map[string]any{}}, map[string]any{"Service": 5, "Routes": "x", "peer": 7, "Model": 1}} {
				d.store.Set(kind, fmt.Sprint("malformed-", n), value)
			}
		}
		identity, err := link.NewIdentity("test", "0123456789abcdef")
		Expect(err).NotTo(HaveOccurred())
		dialer := link.NewDialer(identity)
		DeferCleanup(dialer.Close)
		for method, args := range map[string]any{
			"Batches.Read": batch.ReadArgs{}, "Batches.Submit": batch.SubmitArgs{}, "Store.Call": objects.RelayCall{}, "Weights.Loaded": LoadNotice{},
			"Feed.Read": FeedArgs{Kind: "unknown"}, "Feed.None": FeedArgs{}, "Limits.Report": LimitReport{
				Reports: []slots.Report{{}, {Service: "lm", Member: "x", Demand: math.MaxInt, InFlight: slots.Shares{"engine-0": -5, "none": math.MaxInt}}},
				Limits:  sendlimit.Limits{"engine-0": {Service: "lm", Rate: math.NaN()}, "none": {Rate: math.Inf(1)}, "": {Service: "lm", Rate: -1}},
			},
		} {
			callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			_ = dialer.Call(callCtx, gw.settings.PeerListen, method, args, &struct{}{}) // most are refused
			cancel()
		}
		time.Sleep(time.Second)
		Expect(status("POST", gw.address, "/kits/4", northKey, nil)).To(Equal(http.StatusOK))
		Expect(submit(gw.address, "l1", batchBody(4, 1))).To(Equal(http.StatusAccepted))
		expectComplete(results(gw.address, "l1", 4), 4, 5)
	})

	// An instance of a later version queried a kind of which this one knows no waits, and this
	// one read it from the store without a pause.
	It("that queries an unknown kind is refused and causes no calls to the store", func(ctx SpecContext) {
		d := newDeployment(0, 0)
		gw := d.start("entry-1", nil)
		identity, err := link.NewIdentity("test", "0123456789abcdef")
		Expect(err).NotTo(HaveOccurred())
		dialer := link.NewDialer(identity)
		DeferCleanup(dialer.Close)
		time.Sleep(time.Second)
		idle := d.store.Calls()
		time.Sleep(2 * time.Second)
		idle = d.store.Calls() - idle
		before := d.store.Calls()
		var reply FeedReply
		Expect(dialer.Call(ctx, gw.settings.PeerListen, "Feed.Read", FeedArgs{Kind: "unknown"}, &reply)).To(Succeed())
		Expect(reply.Code).To(Equal(objects.RelayRefused))
		time.Sleep(2 * time.Second)
		Expect(d.store.Calls() - before).To(BeNumerically("<", 2*idle+10))
	})
})

// alteredStore serves the store with a part of its responses replaced by other text.
func (d *deployment) alteredStore(part, by string) string {
	return serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		d.store.ServeHTTP(recorded, r)
		w.WriteHeader(recorded.Code)
		_, _ = io.WriteString(w, strings.ReplaceAll(recorded.Body.String(), part, by)) // fails if the caller has left
	}))
}

// Another writer left an entry among those of the upstreams that made the list unreadable as a
// whole, so that nobody learned of upstreams any more.
var _ = Describe("An odd entry among the registrations", func() {
	const marker = `"odd"`
	registration := func(change func(map[string]any)) map[string]any {
		r := map[string]any{"Service": "desk", "Addr": "127.0.0.1:9", "Zone": "a", "State": "ready", "Slots": 4}
		change(r)
		return r
	}
	DescribeTable("stops neither the process nor the reading of the others",
		func(by string, change func(map[string]any)) {
			d := newDeployment(0, 0)
			d.store.Set("servers", "a-odd-one", registration(change))
			address := d.alteredStore(marker, by)
			gw := d.start("entry-1", func(s *Settings) { s.Store = address })
			Expect(status("POST", gw.address, "/kits/4", northKey, nil)).To(Equal(http.StatusOK))
			second := &standin.Engine{ID: "desk-9", Service: "desk", Slots: 4}
			d.store.Set("servers", second.ID, second.Registration(serve(second), "a", "ready"))
			Eventually(func() bool { _, ok := gw.roster.Entry(second.ID); return ok }).WithTimeout(5 * time.Second).Should(BeTrue())
			d.store.Set("servers", "a-odd-two", registration(change))
			d.store.Remove("servers", second.ID)
			Eventually(func() bool { _, ok := gw.roster.Entry(second.ID); return ok }).WithTimeout(5 * time.Second).Should(BeFalse())
			Expect(status("POST", gw.address, "/kits/4", northKey, nil)).To(Equal(http.StatusOK))
		},
		Entry("nested very deeply", strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000), func(r map[string]any) { r["Models"] = "odd" }),
		Entry("nested very deeply in objects", strings.Repeat(`{"a":`, 100_000)+"1"+strings.Repeat("}", 100_000), func(r map[string]any) { r["Other"] = "odd" }),
		Entry("a number that is too large", "1e999", func(r map[string]any) { r["Slots"] = "odd" }),
		Entry("a number of many digits", strings.Repeat("9", 1000), func(r map[string]any) { r["Born"] = "odd" }),
		Entry("a port out of range", `"127.0.0.1:99999"`, func(r map[string]any) { r["Addr"] = "odd" }),
		Entry("a negative port", `"127.0.0.1:-1"`, func(r map[string]any) { r["Addr"] = "odd" }),
		Entry("no port", `"127.0.0.1"`, func(r map[string]any) { r["Addr"] = "odd" }),
		Entry("a value of another type", `[1,{"x":null}]`, func(r map[string]any) { r["Addr"] = "odd" }),
	)
})

// closing ends the connection after it has written text.
func closing(text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "@ID", r.Header.Get("X-Pomelocross-Request-Id"))) // the caller may have left
		conn.Close()
	}
}

var _ = Describe("A stream that has begun and broke off", func() {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	const secret = "the engine's own words"
	const (
		requests = 6
		// maxRequests bounds the requests until a stream begins: which engine is tried first is random,
		// and an engine that responds with 400 isn't avoided.
		maxRequests = 60
	)

	// The next engine's error was passed on in the middle of the stream, or the stream ended as
	// if it were complete.
	DescribeTable("has no part of the next engine's error in it and is not complete",
		func(answer string) {
			d := newDeployment(0, 0)
			d.setRoute("chat", "Attempts", 3)
			first, next := &standin.Engine{ID: "engine-0", Service: "lm", Slots: 8}, &standin.Engine{ID: "engine-1", Service: "lm", Slots: 8}
			var broken atomic.Int64
			first.SetVersion(model, 1)
			next.SetVersion(model, 1)
			address := rawEngine(func(conn net.Conn, r *http.Request) {
				broken.Add(1)
				text := ""
				for n := range 2 {
					event := fmt.Sprintf("id: %d\ndata: token\n\n", n+1)
					text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
				}
				closing(head+text)(conn, r)
			})
			failing := rawEngine(closing(answer))
			d.store.Set("servers", first.ID, first.Registration(address, "a", "ready"))
			gw := d.start("entry-1", nil)
			Eventually(func() bool { _, ok := gw.roster.Entry(first.ID); return ok }).WithTimeout(3 * time.Second).Should(BeTrue())
			d.store.Set("servers", next.ID, next.Registration(failing, "a", "ready"))
			Eventually(func() bool { _, ok := gw.roster.Entry(next.ID); return ok }).WithTimeout(3 * time.Second).Should(BeTrue())
			begun := 0
			for sent := 0; sent < requests || begun == 0 && sent < maxRequests; sent++ {
				a, err := call("POST", gw.address, "/chat/1", northKey, nil, "X-Pomelocross-Model", model)
				Expect(string(a.Body)).NotTo(ContainSubstring("HTTP/1.1"))
				if a.Status == http.StatusOK {
					begun++
					Expect(err).To(HaveOccurred(), "a stream without its end must not look complete")
					Expect(string(a.Body)).NotTo(ContainSubstring(secret))
				}
			}
			Expect(begun).To(BeNumerically(">", 0))
			Expect(broken.Load()).To(BeNumerically(">", 0))
		},
		Entry("500 with a text", "HTTP/1.1 500 Internal Server Error\r\nX-Pomelocross-Request-Id: @ID\r\nContent-Length: 22\r\n\r\n"+secret),
		Entry("503 without a length", "HTTP/1.1 503 Service Unavailable\r\nX-Pomelocross-Request-Id: @ID\r\nConnection: close\r\n\r\n"+secret),
		Entry("400 as a stream of events", "HTTP/1.1 400 Bad Request\r\nContent-Type: text/event-stream\r\nX-Pomelocross-Request-Id: @ID\r\nTransfer-Encoding: chunked\r\n\r\n16\r\n"+secret+"\r\n0\r\n\r\n"),
		Entry("200 that is no stream", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nContent-Length: 22\r\n\r\n"+secret),
		Entry("half a head", "HTTP/1.1 200 OK\r\nContent-Type: text/ev"),
	)
})

var _ = Describe("An upstream that stops in the middle of the head of its response", func() {
	// Callers got a 200 with an empty or short body that looked complete.
	DescribeTable("gives no caller a response",
		func(head string) {
			d := newDeployment(0, 0)
			d.setRoute("chat", "Attempts", 2)
			d.registerDesk(rawEngine(closing(head)))
			engine := &standin.Engine{ID: "engine-0", Service: "lm", Slots: 8}
			engine.SetVersion(model, 1)
			d.store.Set("servers", engine.ID, engine.Registration(rawEngine(closing(head)), "a", "ready"))
			gw := d.start("entry-1", nil)
			Eventually(func() bool { _, ok := gw.roster.Entry(engine.ID); return ok }).WithTimeout(3 * time.Second).Should(BeTrue())
			for range 3 {
				Expect(status("POST", gw.address, "/kits/4", northKey, nil)).To(BeNumerically(">=", 500))
				Expect(status("POST", gw.address, "/chat/1", northKey, nil, "X-Pomelocross-Model", model)).To(BeNumerically(">=", 500))
			}
		},
		Entry("nothing at all", ""),
		Entry("in the status line", "HTTP/1.1 2"),
		Entry("after the status line", "HTTP/1.1 200 OK\r\n"),
		Entry("in the name of a header", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("in the value of a header", "HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nContent-Length: 1"),
		Entry("before the empty line", "HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nContent-Length: 0\r\n"),
		Entry("before the second end of line", "HTTP/1.1 200 OK\r\nX-Pomelocross-Request-Id: @ID\r\nX-Pomelocross-Server-Seal: s\r\nContent-Length: 0\r\n\r"),
	)
})
