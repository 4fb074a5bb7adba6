package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/service"
)

var _ = Describe("A graceful stop", func() {
	const tokens = 80
	var d *deployment

	BeforeEach(func() {
		d = newDeployment("botiquin")
		for _, name := range []string{"lm-1", "lm-2"} {
			d.addEngine(name, "lm-pool", "mty-a", engine.Options{TokenTime: 20 * time.Millisecond})
		}
		d.addService("refill-1", "refill-check", "mty-a").SetFaults(service.Faults{Delay: time.Second})
	})

	startReady := func(args ...string) *daemon {
		a := d.startDaemon("entry-a", "mty-a", args...)
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		return a
	}
	requestCount := func() (n int) {
		for _, e := range d.engines {
			n += len(e.Record().Requests)
		}
		return n
	}

	It("completes streams, queued and plain requests, and refuses later ones with notRun", func() {
		a := startReady("--drain-grace", "500ms")
		conn := newPersistentConn(a)
		Expect(conn.get()).To(HavePrefix("HTTP/1.1 200"))
		const streams, orders = 60, 8 // more streams than slots, so that some are queued
		http2 := &http.Client{Transport: &http.Transport{Protocols: onlyHTTP2()}}
		streamResponses, orderResponses := make([]response, streams), make([]response, orders)
		var wg sync.WaitGroup
		for n := range streams {
			client := http.DefaultClient
			if n%2 == 0 {
				client = http2
			}
			wg.Go(func() { streamResponses[n] = streamWith(client, a, fmt.Sprint("plan ", n), tokens) })
		}
		for n := range orders {
			wg.Go(func() {
				orderResponses[n] = a.do(request{method: "POST", path: "/orders", key: demoKey("desk"), body: fmt.Sprint(n)})
			})
		}
		Eventually(requestCount).Should(BeNumerically(">", 30))
		a.terminate()
		Eventually(a.ready).Should(BeFalse())
		Expect(a.complete(demoKey("desk"), "late", 1, false).status).To(Equal(200), "within the grace period")
		var refused response
		Eventually(func() int {
			refused = a.do(request{method: "GET", path: "/kits/1", key: demoKey("desk")})
			return refused.status
		}).Should(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(And(ContainSubstring(`"draining"`), ContainSubstring(`"notRun":true`)))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(conn.get()).To(And(HavePrefix("HTTP/1.1 503"), ContainSubstring("Connection: close")))
		Expect(conn.closed()).To(BeTrue())
		wg.Wait()
		for n, got := range streamResponses {
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"), "stream %d", n)
			Expect(streamedText(got.body)).To(Equal(engine.Text(fmt.Sprint("plan ", n), 0, tokens)))
		}
		for _, got := range orderResponses {
			Expect(got.status).To(Equal(200))
		}
		Eventually(a.exited).Should(BeClosed())
		Expect(a.exit).NotTo(HaveOccurred())
		Expect(a.log.String()).NotTo(ContainSubstring("cut off"))
	})

	DescribeTable("that is cut short logs what it cuts off", func(reason string, second bool, args ...string) {
		a := startReady(append([]string{"--drain-grace", "0s"}, args...)...)
		go a.complete(demoKey("fabricas"), "long", 100000, true)
		Eventually(requestCount).Should(Equal(2))
		a.terminate()
		Eventually(a.log.String).Should(ContainSubstring("draining"))
		if second {
			a.terminate()
		}
		Eventually(a.exited, 8*time.Second).Should(BeClosed())
		Expect(a.exit).To(HaveOccurred())
		Expect(a.log.String()).To(And(ContainSubstring(reason), ContainSubstring(`"requests":1`), ContainSubstring(`"byRoute":{"completions":1}`)))
	},
		Entry("after a second signal", "second signal", true),
		Entry("after the drain timeout", "drain timeout", false, "--drain-timeout", "1s"),
	)
})

func onlyHTTP2() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}

// streamWith streams a completion with a given HTTP client.
func streamWith(client *http.Client, inst *daemon, prompt string, tokens int) response {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	r, err := http.NewRequest("POST", "http://"+inst.listen+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+demoKey("fabricas"))
	got, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer got.Body.Close()
	var text strings.Builder
	_, err = io.Copy(&text, got.Body)
	return response{status: got.StatusCode, body: text.String(), err: err}
}

// persistentConn is an HTTP/1.1 connection that stays open between requests.
type persistentConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newPersistentConn(inst *daemon) *persistentConn {
	conn, err := net.Dial("tcp", inst.listen)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &persistentConn{conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request and returns the status line and Connection header of the response.
func (k *persistentConn) get() string {
	_, err := fmt.Fprintf(k.conn, "GET /catalogue/x HTTP/1.1\r\nHost: test\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	got, err := http.ReadResponse(k.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	defer got.Body.Close()
	_, err = io.Copy(io.Discard, got.Body)
	Expect(err).NotTo(HaveOccurred())
	if got.Close {
		got.Header.Set("Connection", "close")
	}
	return fmt.Sprintf("%s %s\n%s: %s", got.Proto, got.Status, "Connection", got.Header.Get("Connection"))
}

// closed reports whether the server has closed the connection; it waits for data or EOF.
func (k *persistentConn) closed() bool {
	_, err := k.reader.ReadByte()
	return err == io.EOF
}
