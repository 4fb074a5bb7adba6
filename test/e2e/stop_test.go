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

var _ = Describe("A planned stop", func() {
	const tokens = 80
	var d *deployment

	BeforeEach(func() {
		d = newDeployment("botiquin")
		for _, name := range []string{"lm-1", "lm-2"} {
			d.addEngine(name, "lm-pool", "mty-a", engine.Options{TokenTime: 20 * time.Millisecond})
		}
		d.addService("refill-1", "refill-check", "mty-a").SetFaults(service.Faults{Delay: time.Second})
	})

	begin := func(args ...string) *daemon {
		a := d.startDaemon("entry-a", "mty-a", args...)
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
		return a
	}
	started := func() (n int) {
		for _, e := range d.engines {
			n += len(e.Record().Requests)
		}
		return n
	}

	It("cuts off no stream, no queued and no plain request, and refuses later ones truthfully", func() {
		a := begin("--drain-grace", "500ms")
		kept := keepAlive(a)
		Expect(kept.get()).To(HavePrefix("HTTP/1.1 200"))
		const streams, orders = 60, 8 // more streams than slots, so that some wait
		http2 := &http.Client{Transport: &http.Transport{Protocols: onlyHTTP2()}}
		results, placed := make([]answer, streams), make([]answer, orders)
		var running sync.WaitGroup
		for n := range streams {
			client := http.DefaultClient
			if n%2 == 0 {
				client = http2
			}
			running.Go(func() { results[n] = streamThrough(client, a, fmt.Sprint("plan ", n), tokens) })
		}
		for n := range orders {
			running.Go(func() {
				placed[n] = a.do(call{method: "POST", path: "/orders", key: demoKey("desk"), body: fmt.Sprint(n)})
			})
		}
		Eventually(started).Should(BeNumerically(">", 30))
		a.terminate()
		Eventually(a.ready).Should(BeFalse())
		Expect(a.complete(demoKey("desk"), "late", 1, false).status).To(Equal(200), "within the grace period")
		var refused answer
		Eventually(func() int {
			refused = a.do(call{method: "GET", path: "/kits/1", key: demoKey("desk")})
			return refused.status
		}).Should(Equal(http.StatusServiceUnavailable))
		Expect(refused.body).To(And(ContainSubstring(`"draining"`), ContainSubstring(`"notRun":true`)))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(kept.get()).To(And(HavePrefix("HTTP/1.1 503"), ContainSubstring("Connection: close")))
		Expect(kept.closed()).To(BeTrue())
		running.Wait()
		for n, got := range results {
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"), "stream %d", n)
			Expect(streamedText(got.body)).To(Equal(engine.Text(fmt.Sprint("plan ", n), 0, tokens)))
		}
		for _, got := range placed {
			Expect(got.status).To(Equal(200))
		}
		Eventually(a.exited).Should(BeClosed())
		Expect(a.exit).NotTo(HaveOccurred())
		Expect(a.log.String()).NotTo(ContainSubstring("cut off"))
	})

	DescribeTable("that is not waited for says what it cut off", func(reason string, second bool, args ...string) {
		a := begin(append([]string{"--drain-grace", "0s"}, args...)...)
		go a.complete(demoKey("fabricas"), "long", 100000, true)
		Eventually(started).Should(Equal(2))
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

// streamThrough streams a completion through a client of the caller's choice.
func streamThrough(client *http.Client, one *daemon, prompt string, tokens int) answer {
	body := fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	r, err := http.NewRequest("POST", "http://"+one.listen+"/v1/completions", bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+demoKey("fabricas"))
	got, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer got.Body.Close()
	var text strings.Builder
	_, err = io.Copy(&text, got.Body)
	return answer{status: got.StatusCode, body: text.String(), err: err}
}

// keptAlive is a caller's connection that stays open between requests.
type keptAlive struct {
	conn   net.Conn
	reader *bufio.Reader
}

func keepAlive(one *daemon) *keptAlive {
	conn, err := net.Dial("tcp", one.listen)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &keptAlive{conn: conn, reader: bufio.NewReader(conn)}
}

// get sends a request and returns status line and headers of the answer.
func (k *keptAlive) get() string {
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

func (k *keptAlive) closed() bool {
	_, err := k.reader.ReadByte()
	return err == io.EOF
}
