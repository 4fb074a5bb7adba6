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

// deployment is a deployment under test. Stand-ins run in the test process; daemons run
// as separate processes, so that they can be killed and suspended.
type deployment struct {
	platform *standin.Server
	// platformAddress is the address of the platform itself, not of a relay.
	platformAddress string
	engines         map[string]*engine.Server
	services        map[string]*service.Server
	daemons         map[string]*daemon
	members         []objects.Member
	bundle          *contract.Bundle
}

// daemon is an instance that runs as a process.
type daemon struct {
	name, domain        string
	listen, admin, peer string // actual addresses, not those of relays
	platformRelay       *relay // between the instance and the platform
	peerRelay           *relay // between other instances and the peer address
	command             *exec.Cmd
	log                 *logBuffer
	exited              chan struct{} // closed when the process has exited
	exit                error         // set before exited is closed
}

// newDeployment starts a platform and applies the bundle of an example.
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

// serve serves handler on a free port until the spec ends and returns its address.
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

// store returns a client that connects to the platform without a relay.
func (d *deployment) store() *objects.Client { return objects.NewClient(d.platformAddress, nil) }

// addEngine starts an engine and adds it to the instance list.
func (d *deployment) addEngine(name, serviceName, domain string, options engine.Options) *engine.Server {
	options.Name = name
	if options.WeightVersion == 0 {
		options.WeightVersion = 1
	}
	e := engine.New(options)
	d.engines[name] = e
	d.addMember(objects.Member{Name: name, Role: objects.RoleUpstream, Service: serviceName, Domain: domain, Address: serve(e), Cost: objects.CostDear})
	return e
}

// addService starts a plain service and adds it to the instance list.
func (d *deployment) addService(name, serviceName, domain string) *service.Server {
	s := service.New(name)
	d.services[name] = s
	d.addMember(objects.Member{Name: name, Role: objects.RoleUpstream, Service: serviceName, Domain: domain, Address: serve(s), Cost: objects.CostDear})
	return s
}

func (d *deployment) addMember(m objects.Member) {
	d.members = append(d.members, m)
	d.platform.SetMembers(append([]objects.Member(nil), d.members...))
}

// removeMember removes a member from the instance list.
func (d *deployment) removeMember(name string) {
	kept := d.members[:0]
	for _, m := range d.members {
		if m.Name != name {
			kept = append(kept, m)
		}
	}
	d.members = kept
	d.platform.SetMembers(append([]objects.Member(nil), kept...))
}

// startDaemon starts an instance, adds it to the instance list and waits until it is
// ready. args override the default arguments.
func (d *deployment) startDaemon(name, domain string, args ...string) *daemon {
	inst := d.launch(name, domain, args...)
	d.addMember(objects.Member{Name: name, Role: objects.RoleEntry, Domain: domain, Address: inst.listen, Peer: inst.peerRelay.address})
	Eventually(inst.ready).Should(BeTrue(), "%s is not ready: %s", name, inst.log)
	return inst
}

// launch starts the process of an instance and waits until it listens.
func (d *deployment) launch(name, domain string, args ...string) *daemon {
	inst := &daemon{name: name, domain: domain, platformRelay: newRelay(d.platformAddress), log: &logBuffer{}, exited: make(chan struct{})}
	arguments := append([]string{
		"--name", name, "--deployment", d.bundle.Deployment, "--domain", domain, "--region", "test",
		"--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--platform", inst.platformRelay.address, "--members-interval", "100ms", "--load-interval", "100ms", "--lease-term", "2s",
	}, args...)
	inst.command = exec.Command(daemonPath, arguments...)
	inst.command.Env = append(os.Environ(), "POMELOCROSS_SECRET="+testSecret)
	output, err := inst.command.StdoutPipe() // the log; stderr, redirected below, holds the trace of a crash
	Expect(err).NotTo(HaveOccurred())
	inst.command.Stderr = inst.command.Stdout
	Expect(inst.command.Start()).To(Succeed())
	listening := make(chan struct{})
	go inst.readLog(output, listening)
	DeferCleanup(inst.kill)
	Eventually(listening).Should(BeClosed(), "%s does not listen", name)
	inst.peerRelay = newRelay(inst.peer)
	d.daemons[name] = inst
	return inst
}

// readLog stores the log of the daemon, reads its addresses from the line "serving" and
// waits for the process to exit.
func (inst *daemon) readLog(output io.Reader, listening chan struct{}) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		inst.log.add(lines.Text())
		var line struct{ Msg, Listen, Admin, Peer string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			inst.listen, inst.admin, inst.peer = line.Listen, line.Admin, line.Peer
			close(listening)
		}
	}
	inst.exit = inst.command.Wait()
	close(inst.exited)
}

func (inst *daemon) ready() bool {
	resp, err := http.Get("http://" + inst.admin + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// status returns the status that the instance reports.
func (inst *daemon) status() (instance.Status, error) {
	var s instance.Status
	resp, err := http.Get("http://" + inst.admin + "/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// kill kills the process, also if it is suspended, and waits for it to exit.
func (inst *daemon) kill() {
	_ = inst.command.Process.Signal(syscall.SIGCONT)
	_ = inst.command.Process.Kill()
	<-inst.exited
}

// suspend stops the process with SIGSTOP and returns when all its threads have stopped;
// resume continues it.
func (inst *daemon) suspend() {
	Expect(inst.command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	Eventually(inst.allThreadsStopped, time.Second, time.Millisecond).Should(BeTrue())
}

func (inst *daemon) resume() { Expect(inst.command.Process.Signal(syscall.SIGCONT)).To(Succeed()) }

// allThreadsStopped reports whether /proc shows every thread of the process as stopped.
func (inst *daemon) allThreadsStopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", inst.command.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil || !strings.Contains(string(stat), ") T ") {
			return false
		}
	}
	return len(threads) > 0
}

// terminate requests a graceful stop with SIGTERM.
func (inst *daemon) terminate() { Expect(inst.command.Process.Signal(syscall.SIGTERM)).To(Succeed()) }

// request is a request of a caller.
type request struct {
	method, path, key, body string
	header                  map[string]string
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error // from sending the request or reading the body
}

func (inst *daemon) do(req request) response {
	r, err := http.NewRequest(req.method, "http://"+inst.listen+req.path, bytes.NewBufferString(req.body))
	Expect(err).NotTo(HaveOccurred())
	if req.key != "" {
		r.Header.Set("Authorization", "Bearer "+req.key)
	}
	for name, value := range req.header {
		r.Header.Set(name, value)
	}
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	return response{status: got.StatusCode, header: got.Header, body: string(body), err: err}
}

// complete requests a completion, as server-sent events if stream is set.
func (inst *daemon) complete(key, prompt string, tokens int, stream bool) response {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens, "stream": stream})
	Expect(err).NotTo(HaveOccurred())
	return inst.do(request{method: http.MethodPost, path: "/v1/completions", key: key, body: string(body)})
}

// demoKey returns the API key of the examples with a given identifier.
func demoKey(id string) string { return fmt.Sprintf("pmx_%s_demo%s", id, id) }

// logBuffer holds the log of a daemon for assertions and failure messages.
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

// timeoutContext returns a context that is cancelled after d or at the end of the spec.
func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	DeferCleanup(cancel)
	return ctx
}
