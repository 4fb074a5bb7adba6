//go:build review2

// Command standin-2 plays the cases of the second review that can't be put as a day of the
// bench. It starts instances of the gateway as separate processes and is itself the platform's
// store and API, the engines and the requesters.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/internal/freeport"
	"github.com/pomelocross/pomelocross/platform/standin"
)

// verdict is the exit status of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	notRun verdict = 2
)

// world is a small deployment.
type world struct {
	store   *standin.Store
	cloud   *standin.Cloud
	storeAt string
	cloudAt string
	folder  string // of settings and logs
	trouble bool   // TROUBLE is not 0
	began   time.Time
	closed  atomic.Bool // no process is started any more

	mu       sync.Mutex // guards all below
	record   *os.File
	machines []*machine
}

// failure ends a case that can't run.
type failure struct{ err error }

func must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

func newWorld(out string) *world {
	w := &world{store: standin.NewStore(), cloud: &standin.Cloud{}, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	w.record, err = os.Create(out)
	must(err)
	w.folder, err = os.MkdirTemp("", "review-2.")
	must(err)
	w.storeAt = serve(w.store)
	w.cloudAt = serve(w.cloud)
	w.note("trouble: %v", w.trouble)
	return w
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes and removes the folder.
func (w *world) close() {
	w.closed.Store(true)
	for _, m := range w.machines {
		m.kill()
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs are in", w.folder)
	}
}

// serve serves a handler at a free port and returns its address.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// freeAddress returns an address with a free port, outside the range of outgoing connections, so that
// a machine can be started again at it.
func freeAddress() string {
	address, err := freeport.Address()
	must(err)
	return address
}

// machine is a machine that runs one instance of the gateway.
type machine struct {
	w                    *world
	name, zone           string
	front, ready, ctl    string
	storeAt              string
	edge                 bool
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	done                 chan struct{}
	starts               int
	startedAt, stoppedAt time.Time
}

// bounds are those of the sheet of the deployment bnr-pomelo.
var bounds = map[string]string{
	"Bounds.LeaseMs": "3000", "Bounds.DrainMs": "2000", "Bounds.ConfigApplyMs": "2000", "Bounds.ContactMs": "3000",
	"Bounds.CancelMs": "3000", "Bounds.StrictRevoke": "false", "Bounds.RevokeMs": "5000", "Bounds.GraceS": "8",
	"Bounds.ReportWindowS": "5", "Bounds.UsageLateS": "10", "Bounds.StatusS": "120",
}

// addMachine adds a machine without starting it. Edge machines serve requesters.
func (w *world) addMachine(name, zone string, edge bool) *machine {
	m := &machine{w: w, name: name, zone: zone, ctl: freeAddress(), edge: edge, storeAt: w.storeAt}
	if edge {
		m.front, m.ready = freeAddress(), freeAddress()
	}
	w.machines = append(w.machines, m)
	return m
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// settings fills the template of the deploy file.
func (m *machine) settings() string {
	template, err := os.ReadFile("deploy/gateway.env")
	must(err)
	values := map[string]string{
		"NodeName": m.name, "Zone": m.zone, "Listen.Front": m.front, "Listen.Ready": m.ready, "Seeds": m.w.seeds(),
		"Platform.Addr": m.storeAt, "Cloud.Addr": m.w.cloudAt, "Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
	}
	text := regexp.MustCompile(`(?s)\{\{#Bounds\.EvacMs\}\}.*?\{\{/Bounds\.EvacMs\}\}\n?`).ReplaceAllString(string(template), "")
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		name := strings.Trim(p, "{}")
		if v, ok := bounds[name]; ok {
			return v
		}
		return values[name]
	})
}

// seeds returns the control addresses of up to three edge machines.
func (w *world) seeds() string {
	var list []string
	for _, m := range w.machines {
		if m.edge && len(list) < 3 {
			list = append(list, m.ctl)
		}
	}
	return strings.Join(list, ",")
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.w.closed.Load() {
		return
	}
	path := filepath.Join(m.w.folder, m.name+".env")
	must(os.WriteFile(path, []byte(m.settings()), 0o600))
	log, err := os.OpenFile(filepath.Join(m.w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	control := "standby"
	if !m.edge {
		control = "first"
	}
	cmd := exec.Command("target/pomelocross-gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOCROSS_BOOT=" + path, "POMELOCROSS_PEER_LISTEN=" + m.ctl, "POMELOCROSS_CONTROL=" + control}
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	done := make(chan struct{})
	m.cmd, m.done, m.startedAt = cmd, done, time.Now()
	m.starts++
	go func() { _ = cmd.Wait(); close(done) }()
	m.w.note("%s starts, process %d", m.name, cmd.Process.Pid)
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	select {
	case <-m.done:
	default:
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the process of the machine and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.done
	m.stoppedAt = time.Now()
}

// ended reports whether the process has ended.
func (m *machine) ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// awaitReady waits until the readiness check of all edge machines succeeds.
func (w *world) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range w.machines {
		for m.edge && !m.isReady() {
			if time.Now().After(deadline) {
				panic(failure{fmt.Errorf("%s isn't ready after 20 s", m.name)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// object is a JSON object.
type object = map[string]any

// configure writes a config.
func (w *world) configure(version int, routes, services []object) {
	w.configureFor(version, routes, services, []object{{"Name": tenant, "ApiKeys": []string{key}}})
}

// configureFor writes a config with tenants.
func (w *world) configureFor(version int, routes, services, tenants []object) {
	w.store.Set("config", "main", object{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 60000},
		"Tenants": tenants,
	})
	w.note("config %d is confirmed", version)
}

const (
	tenant = "nowu640"
	key    = "3d3zji9n73hh2b9wu3fe"
	host   = "ficu95.example"
)

func encode(v any) []byte {
	b, err := json.Marshal(v)
	must(err)
	return b
}
