package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/instance"
	"github.com/pomelocross/pomelocross/internal/standin/engine"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/internal/standin/service"
	"github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/operator"
)

const testSecret = "a secret of the test deployment"

// deployment is one deployment under test. Stand-ins run in this process;
// daemons are processes of their own, so that they can be killed and stopped.
type deployment struct {
	platform *standin.Server
	// platformAddress is where the platform listens, not through a relay.
	platformAddress string
	engines         map[string]*engine.Server
	services        map[string]*service.Server
	daemons         map[string]*daemon
	members         []objects.Member
	bundle          *contract.Bundle
}

// daemon is one running instance.
type daemon struct {
	name, domain        string
	listen, admin, peer string // real addresses
	platform            *relay // the instance's way to the platform
	inbound             *relay // other instances' way to this one
	command             *exec.Cmd
	log                 *logBuffer
	exited              chan struct{} // closed when the process has ended
	exit                error         // set before exited is closed
}

// newDeployment starts a platform with the example bundle applied.
func newDeployment(example string) *deployment {
	d := &deployment{
		platform: standin.New(), engines: map[string]*engine.Server{},
		services: map[string]*service.Server{}, daemons: map[string]*daemon{},
	}
	d.platformAddress = serve(d.platform)
	bundle, err := operator.Load([]string{filepath.Join("..", "..", "examples", example)})
	Expect(err).NotTo(HaveOccurred())
	d.bundle = bundle
	d.apply(bundle)
	return d
}

// serve serves handler on a port of the kernel's choice until the spec ends.
func serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func (d *deployment) apply(bundle *contract.Bundle) contract.Accepted {
	o := &operator.Operator{Store: d.store(), Out: io.Discard}
	accepted, err := o.Apply(context.Background(), bundle, "test")
	Expect(err).NotTo(HaveOccurred())
	return accepted
}

// store is a client of the platform outside any relay.
func (d *deployment) store() *objects.Client { return objects.NewClient(d.platformAddress, nil) }

// addEngine starts an engine and lists it.
func (d *deployment) addEngine(name, serviceName, domain string, options engine.Options) *engine.Server {
	options.Name = name
	if options.WeightVersion == 0 {
		options.WeightVersion = 1
	}
	e := engine.New(options)
	d.engines[name] = e
	d.list(objects.Member{Name: name, Role: objects.RoleUpstream, Service: serviceName, Domain: domain, Address: serve(e), Cost: objects.CostDear})
	return e
}

// addService starts a plain service and lists it.
func (d *deployment) addService(name, serviceName, domain string) *service.Server {
	s := service.New(name)
	d.services[name] = s
	d.list(objects.Member{Name: name, Role: objects.RoleUpstream, Service: serviceName, Domain: domain, Address: serve(s), Cost: objects.CostDear})
	return s
}

func (d *deployment) list(m objects.Member) {
	d.members = append(d.members, m)
	d.platform.SetMembers(append([]objects.Member(nil), d.members...))
}

// unlist takes a member off the instance list.
func (d *deployment) unlist(name string) {
	kept := d.members[:0]
	for _, m := range d.members {
		if m.Name != name {
			kept = append(kept, m)
		}
	}
	d.members = kept
	d.platform.SetMembers(append([]objects.Member(nil), kept...))
}

// startDaemon starts an instance, lists it and waits until it is ready. Extra
// arguments win over the harness's.
func (d *deployment) startDaemon(name, domain string, args ...string) *daemon {
	one := d.launch(name, domain, args...)
	d.list(objects.Member{Name: name, Role: objects.RoleEntry, Domain: domain, Address: one.listen, Peer: one.inbound.address})
	Eventually(one.ready).Should(BeTrue(), "%s is not ready: %s", name, one.log)
	return one
}

// launch starts an instance's process and waits until it listens.
func (d *deployment) launch(name, domain string, args ...string) *daemon {
	one := &daemon{name: name, domain: domain, platform: newRelay(d.platformAddress), log: &logBuffer{}, exited: make(chan struct{})}
	arguments := append([]string{
		"--name", name, "--deployment", d.bundle.Deployment, "--domain", domain, "--region", "test",
		"--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--platform", one.platform.address, "--members-interval", "100ms", "--load-interval", "100ms", "--lease-term", "2s",
	}, args...)
	one.command = exec.Command(daemonPath, arguments...)
	one.command.Env = append(os.Environ(), "POMELOCROSS_SECRET="+testSecret)
	output, err := one.command.StdoutPipe() // logs; a crash writes to the other
	Expect(err).NotTo(HaveOccurred())
	one.command.Stderr = one.command.Stdout
	Expect(one.command.Start()).To(Succeed())
	listening := make(chan struct{})
	go one.follow(output, listening)
	DeferCleanup(one.kill)
	Eventually(listening).Should(BeClosed(), "%s does not listen", name)
	one.inbound = newRelay(one.peer)
	d.daemons[name] = one
	return one
}

// follow keeps the daemon's log and takes its addresses from it.
func (one *daemon) follow(output io.Reader, listening chan struct{}) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		one.log.add(lines.Text())
		var line struct{ Msg, Listen, Admin, Peer string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			one.listen, one.admin, one.peer = line.Listen, line.Admin, line.Peer
			close(listening)
		}
	}
	one.exit = one.command.Wait()
	close(one.exited)
}

func (one *daemon) ready() bool {
	answer, err := http.Get("http://" + one.admin + "/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// status returns what the instance says of itself.
func (one *daemon) status() (instance.Status, error) {
	var s instance.Status
	answer, err := http.Get("http://" + one.admin + "/status")
	if err != nil {
		return s, err
	}
	defer answer.Body.Close()
	return s, json.NewDecoder(answer.Body).Decode(&s)
}

// kill ends the process at once.
func (one *daemon) kill() {
	_ = one.command.Process.Signal(syscall.SIGCONT)
	_ = one.command.Process.Kill()
	<-one.exited
}

// freeze stops the process without ending it and returns once every thread
// stands still; thaw lets it go on.
func (one *daemon) freeze() {
	Expect(one.command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	Eventually(one.stopped, time.Second, time.Millisecond).Should(BeTrue())
}

func (one *daemon) thaw() { Expect(one.command.Process.Signal(syscall.SIGCONT)).To(Succeed()) }

// stopped reports whether the kernel shows every thread as stopped.
func (one *daemon) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", one.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil || !strings.Contains(string(stat), ") T ") {
			return false
		}
	}
	return len(threads) > 0
}

// terminate asks for a planned stop.
func (one *daemon) terminate() { Expect(one.command.Process.Signal(syscall.SIGTERM)).To(Succeed()) }

// call is one request of a caller.
type call struct {
	method, path, key, body string
	header                  map[string]string
}

// answer is what the caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of sending or of reading the body
}

func (one *daemon) do(c call) answer {
	r, err := http.NewRequest(c.method, "http://"+one.listen+c.path, bytes.NewBufferString(c.body))
	Expect(err).NotTo(HaveOccurred())
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, header: got.Header, body: string(body), err: err}
}

// complete asks for a completion; stream chooses server-sent events.
func (one *daemon) complete(key, prompt string, tokens int, stream bool) answer {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens, "stream": stream})
	Expect(err).NotTo(HaveOccurred())
	return one.do(call{method: http.MethodPost, path: "/v1/completions", key: key, body: string(body)})
}

// demoKey is the key of the examples with an identifier.
func demoKey(id string) string { return fmt.Sprintf("pmx_%s_demo%s", id, id) }

// logBuffer keeps a daemon's log for failure messages.
type logBuffer struct {
	mu    sync.Mutex // guards lines
	lines []string
}

func (b *logBuffer) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, line)
}

// String returns the whole log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines, "\n")
}

// within returns a context that ends with the spec or after d.
func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}
