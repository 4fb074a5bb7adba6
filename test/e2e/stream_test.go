package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
)

var _ = Describe("A stream", func() {
	var (
		d      *deployment
		lm     *engine.Server
		a      *daemon
		tokens int
	)

	start := func(tokenTime time.Duration) {
		d = newDeployment("botiquin")
		lm = d.addEngine("lm-1", "lm-pool", "mty-a", engine.Options{TokenTime: tokenTime})
		a = d.startDaemon("entry-a", "mty-a")
		Eventually(func() int { return a.complete(demoKey("fabricas"), "warm", 1, false).status }).Should(Equal(200))
	}
	// open asks for a stream and returns its answer before reading the body.
	open := func(ctx context.Context, client *http.Client, tokens int) *http.Response {
		body := fmt.Sprintf(`{"prompt":"plan","max_tokens":%d,"stream":true}`, tokens)
		r, err := http.NewRequestWithContext(ctx, "POST", "http://"+a.listen+"/v1/completions", bytes.NewBufferString(body))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+demoKey("fabricas"))
		got, err := client.Do(r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(got.Body.Close)
		return got
	}
	generated := func() int { return lm.Record().Requests[1].Tokens }

	It("whose caller does not read holds its engine back, costs little memory and arrives whole", func() {
		const smallBuffer = 16 << 10
		start(0)
		tokens = 60000
		narrow := &net.Dialer{}
		client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := narrow.DialContext(ctx, network, address)
			if err == nil {
				err = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
			}
			return conn, err
		}}}
		before := residentBytes(a)
		got := open(within(60*time.Second), client, tokens)
		held := 0
		Eventually(func() bool {
			last := held
			held = generated()
			return held > 0 && held == last
		}, 20*time.Second, 300*time.Millisecond).Should(BeTrue())
		Expect(held).To(BeNumerically("<", tokens))
		Expect(residentBytes(a) - before).To(BeNumerically("<", 16<<20))
		body, err := io.ReadAll(got.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(streamedText(string(body))).To(Equal(engine.Text("plan", 0, tokens)))
	})

	It("is cancelled upstream when its caller leaves", func() {
		start(5 * time.Millisecond)
		ctx, leave := context.WithCancel(within(30 * time.Second))
		got := open(ctx, http.DefaultClient, 100000)
		_, err := got.Body.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		leave()
		Eventually(func() bool { return lm.Record().Requests[1].Cancelled }, time.Second).Should(BeTrue())
		Expect(lm.Record().Requests).To(HaveLen(2))
	})

	It("is answered at its deadline, with when to come back and whether it ran", func() {
		start(5 * time.Millisecond)
		timed := func(body string) answer {
			return a.do(call{method: "POST", path: "/v1/completions", key: demoKey("fabricas"), body: body, header: map[string]string{"X-Request-Timeout": "0.3"}})
		}
		began := time.Now()
		got := timed(`{"prompt":"plan","max_tokens":100000}`)
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.body).To(And(ContainSubstring(`"deadline"`), ContainSubstring(`"notRun":false`)))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Eventually(func() bool { return lm.Record().Requests[1].Cancelled }, time.Second).Should(BeTrue())
		bad := a.do(call{method: "POST", path: "/v1/completions", key: demoKey("fabricas"), body: `{"prompt":"x"}`, header: map[string]string{"X-Request-Timeout": "soon"}})
		Expect(bad.status).To(Equal(http.StatusBadRequest))
	})

	It("goes on at another engine after a crash, and its caller sees one whole text", func() {
		start(5 * time.Millisecond)
		d.addEngine("lm-2", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond, WeightVersion: 9})
		lm.SetFaults(engine.Faults{CutAfter: 5})
		Eventually(func() string { return a.complete(demoKey("fabricas"), "plan", 40, true).body }).Should(And(
			HaveSuffix("data: [DONE]\n\n"), ContainSubstring(`"weightVersion":1,`), ContainSubstring(`"weightVersion":9,`),
			WithTransform(streamedText, Equal(engine.Text("plan", 0, 40)))))
	})
})

// residentBytes returns the memory that a daemon holds.
func residentBytes(one *daemon) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", one.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	Expect(err).NotTo(HaveOccurred())
	return pages * os.Getpagesize()
}
