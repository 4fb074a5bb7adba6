package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
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
	// openStream requests a stream and returns the response with its body unread.
	openStream := func(ctx context.Context, client *http.Client, tokens int) *http.Response {
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
		// A segment on the loopback interface has up to 64 KB. With a smaller receive
		// buffer the sender waits for its zero-window timer, 200 ms, after each segment.
		const smallBuffer = 256 << 10
		start(0)
		tokens = 130000 // about 26 MB, more than the buffers of the kernel on the way hold
		dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
			})
			return errors.Join(err, sockoptErr)
		}}
		client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext}}
		before := residentBytes(a)
		got := openStream(timeoutContext(60*time.Second), client, tokens)
		stalledAt := 0
		Eventually(func() bool {
			last := stalledAt
			stalledAt = generated()
			return stalledAt > 0 && stalledAt == last
		}, 20*time.Second, 300*time.Millisecond).Should(BeTrue())
		Expect(stalledAt).To(BeNumerically("<", tokens))
		Expect(residentBytes(a) - before).To(BeNumerically("<", 16<<20))
		body, err := io.ReadAll(got.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(streamedText(string(body))).To(Equal(engine.Text("plan", 0, tokens)))
	})

	It("is cancelled upstream when its caller disconnects", func() {
		start(5 * time.Millisecond)
		ctx, cancel := context.WithCancel(timeoutContext(30 * time.Second))
		got := openStream(ctx, http.DefaultClient, 100000)
		_, err := got.Body.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		cancel()
		Eventually(func() bool { return lm.Record().Requests[1].Cancelled }, time.Second).Should(BeTrue())
		Expect(lm.Record().Requests).To(HaveLen(2))
	})

	It("is answered at its deadline with Retry-After and notRun", func() {
		start(5 * time.Millisecond)
		completeWithTimeout := func(body string) response {
			return a.do(request{method: "POST", path: "/v1/completions", key: demoKey("fabricas"), body: body, header: map[string]string{"X-Request-Timeout": "0.3"}})
		}
		sent := time.Now()
		got := completeWithTimeout(`{"prompt":"plan","max_tokens":100000}`)
		Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(got.body).To(And(ContainSubstring(`"deadline"`), ContainSubstring(`"notRun":false`)))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Eventually(func() bool { return lm.Record().Requests[1].Cancelled }, time.Second).Should(BeTrue())
		bad := a.do(request{method: "POST", path: "/v1/completions", key: demoKey("fabricas"), body: `{"prompt":"x"}`, header: map[string]string{"X-Request-Timeout": "soon"}})
		Expect(bad.status).To(Equal(http.StatusBadRequest))
	})

	It("continues on another engine after a crash, and its caller gets one complete text", func() {
		start(5 * time.Millisecond)
		d.addEngine("lm-2", "lm-pool", "mty-a", engine.Options{TokenTime: time.Millisecond, WeightVersion: 9})
		lm.SetFaults(engine.Faults{CutAfter: 5})
		Eventually(func() string { return a.complete(demoKey("fabricas"), "plan", 40, true).body }).Should(And(
			HaveSuffix("data: [DONE]\n\n"), ContainSubstring(`"weightVersion":1,`), ContainSubstring(`"weightVersion":9,`),
			WithTransform(streamedText, Equal(engine.Text("plan", 0, 40)))))
	})
})

// residentBytes returns the resident memory of a daemon in bytes.
func residentBytes(inst *daemon) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", inst.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	Expect(err).NotTo(HaveOccurred())
	return pages * os.Getpagesize()
}
