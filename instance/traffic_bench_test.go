package instance

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/domain"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/settings"
	"github.com/pomelocross/pomelocross/telemetry"
	"github.com/pomelocross/pomelocross/upstream"
)

const (
	benchTokens = 100 // tokens in one stream
	benchSlots  = 4096
)

// fixedEngine streams the same tokens for each request, with one flush per token.
func fixedEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := "direct"
	if _, rest, found := strings.Cut(string(body), `"id":"`); found {
		id, _, _ = strings.Cut(rest, `"`)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := range benchTokens {
		finish := ""
		if n == benchTokens-1 {
			finish = `,"finish_reason":"length","prompt_tokens":9`
		}
		fmt.Fprintf(w, "data: {\"id\":%q,\"position\":%d,\"text\":\"word \",\"tokens\":1,\"weight_version\":7%s}\n\n", id, n, finish)
		_ = flusher.Flush()
	}
}

func fixedService(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"kits":7}`)
}

// bench is an instance with upstreams that send fixed responses, all on the loopback
// interface.
type bench struct{ entry, engine, service, key string }

func newBench(b *testing.B) *bench {
	b.Helper()
	engine, service := httptest.NewServer(http.HandlerFunc(fixedEngine)), httptest.NewServer(http.HandlerFunc(fixedService))
	b.Cleanup(engine.Close)
	b.Cleanup(service.Close)
	config := &settings.Settings{Name: "bench", Deployment: "bench", Domain: "d", Region: "r", Secret: "a secret for benchmarks", Platform: "127.0.0.1:1",
		LeaseTerm: time.Minute, MembersInterval: time.Second, UsageWindow: time.Minute, UsageGrace: time.Second}
	i, err := New(config, &telemetry.Telemetry{Log: zap.NewNop(), Meter: noop.NewMeterProvider().Meter("")}, clockwork.NewRealClock())
	if err != nil {
		b.Fatal(err)
	}
	presented, hash, err := contract.NewKey("bench")
	if err != nil {
		b.Fatal(err)
	}
	member := func(name, url string) objects.Member {
		return objects.Member{Name: name, Role: objects.RoleUpstream, Service: name, Domain: "d", Address: strings.TrimPrefix(url, "http://")}
	}
	members := domain.NewView(i.self(), []objects.Member{member("lm", engine.URL), member("desk", service.URL)})
	view := &View{Contract: benchSnapshot(b, hash), Domain: members, Upstream: upstream.NewTable(members.Upstreams(), nil)}
	i.view.Store(view)
	i.queues.update(view, "d")
	entry := httptest.NewServer(i.trafficHandler())
	b.Cleanup(entry.Close)
	return &bench{entry: entry.URL, engine: engine.URL, service: service.URL, key: presented}
}

func benchSnapshot(b *testing.B, hash string) *contract.Snapshot {
	b.Helper()
	bundle := contract.Bundle{
		Version: contract.FormatVersion, Deployment: "bench", Domains: []contract.Domain{{Name: "d", Region: "r"}},
		Teams: []contract.Team{{Name: "t", Weight: 1}}, Keys: []contract.Key{{ID: "bench", Team: "t", Hash: hash}},
		Models: []contract.Model{{Name: "m", WeightVersion: 1}},
		Services: []contract.Service{{Name: "lm", Kind: contract.KindEngine, Model: "m", Slots: benchSlots, WhenIsolated: "serve"},
			{Name: "desk", Kind: contract.KindPlain, Slots: benchSlots, WhenIsolated: "serve"}},
		Routes: []contract.Route{
			{Name: "c", Path: "/v1/completions", Methods: []string{"POST"}, Service: "lm", Class: contract.ClassDraft, Idempotent: true, Timeout: contract.Duration(time.Minute)},
			{Name: "k", Path: "/kits/", Methods: []string{"GET"}, Service: "desk", Class: contract.ClassDesk, Idempotent: true, Timeout: contract.Duration(time.Minute)}},
	}
	digest, err := contract.Digest(&bundle)
	if err != nil {
		b.Fatal(err)
	}
	snapshot, err := contract.NewSnapshot(contract.Accepted{Revision: 1, Digest: digest, Bundle: bundle})
	if err != nil {
		b.Fatal(err)
	}
	return snapshot
}

// send sends one request and reads the whole response.
func (x *bench) send(client *http.Client, method, url string, body []byte) error {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+x.key)
	got, err := client.Do(r)
	if err != nil {
		return err
	}
	defer got.Body.Close()
	if got.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", got.StatusCode)
	}
	_, err = io.Copy(io.Discard, got.Body)
	return err
}

var streamBody = []byte(fmt.Sprintf(`{"prompt":"one two three","max_tokens":%d,"stream":true}`, benchTokens))

// paths returns the calls to compare: directly to the upstream and through the
// instance.
func (x *bench) paths() map[string]func(*http.Client) error {
	return map[string]func(*http.Client) error{
		"plain/direct":  func(c *http.Client) error { return x.send(c, "GET", x.service+"/kits/7", nil) },
		"plain/entry":   func(c *http.Client) error { return x.send(c, "GET", x.entry+"/kits/7", nil) },
		"stream/direct": func(c *http.Client) error { return x.send(c, "POST", x.engine+"/v1/generate", streamBody) },
		"stream/entry":  func(c *http.Client) error { return x.send(c, "POST", x.entry+"/v1/completions", streamBody) },
	}
}

// BenchmarkThroughput measures a closed loop. Run it with -cpu 1: client, instance
// and upstream share one processor, so the cost of the instance is the difference
// between entry and direct.
func BenchmarkThroughput(b *testing.B) {
	x := newBench(b)
	for _, name := range []string{"plain/direct", "plain/entry", "stream/direct", "stream/entry"} {
		call := x.paths()[name]
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(loop *testing.PB) {
				for loop.Next() {
					if err := call(client); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

// benchRate is half of the rate, in requests per second, that one core must
// sustain.
const benchRate = 150

// BenchmarkLatency sends b.N requests at benchRate on each of the two paths of a
// kind. It alternates between the paths, so that both run under the same conditions
// on the machine.
func BenchmarkLatency(b *testing.B) {
	x := newBench(b)
	for _, kind := range []string{"plain", "stream"} {
		b.Run(kind, func(b *testing.B) {
			for path, times := range x.openLoop(b, kind) {
				b.ReportMetric(float64(times.ValueAtQuantile(50))/1e3, path+"-p50-µs")
				b.ReportMetric(float64(times.ValueAtQuantile(99))/1e3, path+"-p99-µs")
			}
		})
	}
}

// sample is the duration of one request on a path.
type sample struct {
	path string
	took time.Duration
}

func (x *bench) openLoop(b *testing.B, kind string) map[string]*hdrhistogram.Histogram {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	samples := make(chan sample, 2*b.N)
	ticker := time.NewTicker(time.Second / benchRate / 2)
	defer ticker.Stop()
	for range b.N {
		for _, path := range []string{"direct", "entry"} {
			<-ticker.C
			go func() {
				start := time.Now()
				if err := x.paths()[kind+"/"+path](client); err != nil {
					b.Error(err)
				}
				samples <- sample{path, time.Since(start)}
			}()
		}
	}
	histograms := map[string]*hdrhistogram.Histogram{"direct": hdrhistogram.New(1, time.Minute.Nanoseconds(), 3), "entry": hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)}
	for range 2 * b.N {
		result := <-samples
		_ = histograms[result.path].RecordValue(result.took.Nanoseconds())
	}
	return histograms
}
