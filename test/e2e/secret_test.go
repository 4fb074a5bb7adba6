package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
)

var _ = Describe("A caller's key", func() {
	It("reaches no upstream, log, trace, metric or response, wherever in the request it is", func() {
		d := newDeployment("botiquin")
		lm := d.addEngine("lm-a", "lm-pool", "mty-a", engine.Options{})
		desk := d.addService("refill-a", "refill-check", "mty-a")
		traces := filepath.Join(GinkgoT().TempDir(), "traces")
		a := d.startDaemon("entry-a", "mty-a", "--trace-file", traces, "--log-level", "debug", "--drain-grace", "0s")
		key := demoKey("desk")
		secret := strings.TrimPrefix(key, "pmx_desk_")
		Eventually(func() int { return a.complete(key, "warm", 1, false).status }).Should(Equal(200))

		plain := func(path string, header map[string]string, body string) request {
			return request{method: "POST", path: path, key: key, header: header, body: body}
		}
		var responses strings.Builder
		for _, c := range []request{
			plain("/orders", map[string]string{"Cookie": "k=" + key, "X-Api-Key": key, "Proxy-Authorization": key, "Tracestate": "k=" + secret, "Baggage": "k=" + key,
				"Traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}, "pins"),
			plain("/orders?key="+key+"&token="+key+"&kit=7", nil, "pins"),
			plain("/orders?note="+key, nil, "pins"),
			plain("/orders", nil, "my key is "+key),
			plain("/orders", map[string]string{"Idempotency-Key": key}, "pins"),
			plain("/orders", map[string]string{"Accept": key, "X-Request-Timeout": key}, "pins"),
			{method: "GET", path: "/kits/" + key, key: key},
			{method: "GET", path: "/catalogue/x?a=" + key, key: key},
			{method: "GET", path: "/nowhere/" + key, key: key},
			plain("/v1/completions?key="+key, nil, `{"prompt":"`+key+`"}`),
			plain("/v1/completions", nil, `{"prompt":"x","max_tokens":2,"user":"`+key+`"}`),
			plain("/v1/completions", nil, `{"prompt":"x","`+key+`":1}`),
			plain("/v1/chat/completions", nil, `{"messages":[{"role":"user","content":"`+key+`"}]}`),
			plain("/v1/runs", nil, `{"run":"`+key+`"}`),
		} {
			got := a.do(c)
			Expect(got.err).NotTo(HaveOccurred())
			responses.WriteString(got.body)
		}
		Expect(desk.Record()).To(HaveLen(2))
		metrics, err := http.Get("http://" + a.admin + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer metrics.Body.Close()
		page, err := io.ReadAll(metrics.Body)
		Expect(err).NotTo(HaveOccurred())
		a.terminate()
		Eventually(a.exited).Should(BeClosed())
		spans, err := os.ReadFile(traces)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(spans)).To(ContainSubstring("refill-orders"))
		records, err := json.Marshal([]any{lm.Record(), desk.Record()})
		Expect(err).NotTo(HaveOccurred())
		for where, text := range map[string]string{"record": string(records), "log": a.log.String(), "trace": string(spans), "metrics": string(page), "responses": responses.String()} {
			Expect(strings.Contains(text, secret)).To(BeFalse(), where)
		}
	})
})
