// Command lab3 runs the scripts of a review: it starts the project's gateway as separate
// processes with the settings of the deploy file, plays clients, engines and the platform
// beside them on loopback addresses, and judges a rule by what these have seen.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a case and returns its exit status.
func play(run func(*lab) error, folder string, trouble bool) (status int) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	work, err := os.MkdirTemp("", "lab3")
	if err != nil {
		r.line("not run", err.Error())
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	l := &lab{ctx: ctx, record: r, trouble: trouble, work: work, store: newStore()}
	defer os.RemoveAll(work)
	defer l.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		l.stop()
		os.Exit(exitNotRun)
	}()
	r.line("begin", fmt.Sprintf("trouble=%v", trouble))
	err = run(l)
	var broken brokenError
	switch {
	case errors.As(err, &broken):
		r.line("verdict", "broken", broken.Error())
		return exitBroken
	case err != nil:
		r.line("verdict", "not run", err.Error())
		return exitNotRun
	}
	r.line("verdict", "held")
	return exitHeld
}

// maxRun bounds a script.
const maxRun = 115 * time.Second

// brokenError says which rule was broken and how.
type brokenError string

func (b brokenError) Error() string { return string(b) }

// lab is one deployment.
type lab struct {
	ctx     context.Context
	record  *record
	trouble bool
	work    string
	store   *store
	storeAt string
	cloudAt string
	nodes   []*node
	servers []*server

	mu    sync.Mutex // guards round
	round *lab       // deployment of the current round; nil without rounds
}

// setRound sets the deployment of a round, which ends with this one.
func (l *lab) setRound(round *lab) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.round = round
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex // guards all below
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(fields ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), strings.Join(fields, " | "))
}

func (r *record) close() { _ = r.file.Close() }

// serve serves a handler on a free port of the loopback interface.
func serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// freeAddress returns an address of which the port is free. The port is below those that the
// kernel gives to connections, which could take it before the process listens.
func freeAddress() (address string, err error) {
	for range 100 {
		port := 20000 + rand.IntN(10000)
		if portsTaken[port] {
			continue
		}
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			portsTaken[port] = true
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", err
}

// portsTaken holds the ports that freeAddress has returned; it is used by one goroutine.
var portsTaken = map[int]bool{}

// beginPlatform starts the store and the platform's API, and writes the first config.
func (l *lab) beginPlatform(config map[string]any) (err error) {
	l.store.set("config", "main", config)
	if l.storeAt, err = serve(l.store); err != nil {
		return err
	}
	l.cloudAt, err = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	return err
}

// addServer starts a server and registers it.
func (l *lab) addServer(s *server) (err error) {
	if s.address, err = serve(s); err != nil {
		return err
	}
	l.servers = append(l.servers, s)
	l.store.set("servers", s.id, s.registration("ready"))
	return nil
}

// heartbeats renews the entries of all servers.
func (l *lab) heartbeats() {
	go func() {
		for l.ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			for _, s := range l.servers {
				l.store.set("servers", s.id, s.registration("ready"))
			}
		}
	}()
}

// node is one machine of the system.
type node struct {
	name, zone, role     string
	front, ready, peer   string
	settings, log, store string
	command              *exec.Cmd
	exited               chan struct{}
}

// plan returns a node with free addresses.
func (l *lab) plan(name, zone, role string) (*node, error) {
	n := &node{name: name, zone: zone, role: role, store: l.storeAt}
	for _, a := range []*string{&n.front, &n.ready, &n.peer} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	if role == "store" {
		n.front, n.ready = "", ""
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

// fields returns the values of the settings template for a node.
func (l *lab) fields(n *node) map[string]string {
	var seeds []string
	for _, other := range l.nodes {
		if other.role == "entry" && len(seeds) < 3 {
			seeds = append(seeds, other.peer)
		}
	}
	return map[string]string{
		"NodeName": n.name, "Zone": n.zone, "Listen.Front": n.front, "Listen.Ready": n.ready, "Seeds": strings.Join(seeds, ","),
		"Platform.Addr": n.store, "Cloud.Addr": l.cloudAt, "Bounds.LeaseMs": "3000", "Bounds.DrainMs": "2000", "Bounds.ConfigApplyMs": "2000",
		"Bounds.ContactMs": "3000", "Bounds.CancelMs": "3000", "Bounds.StrictRevoke": "false", "Bounds.RevokeMs": "5000", "Bounds.GraceS": "8",
		"Bounds.ReportWindowS": "5", "Bounds.UsageLateS": "10", "Bounds.StatusS": "120", "Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// program is the run command of both roles in the deploy file.
const program = "target/pomelocross-gateway"

// start starts the process of a node with the settings that the platform would give it.
func (l *lab) start(n *node) error {
	template, err := os.ReadFile("deploy/gateway.env")
	if err != nil {
		return err
	}
	fields := l.fields(n)
	// The only section of the template is for a bound that this deployment doesn't have.
	text := placeholder.ReplaceAllStringFunc(section.ReplaceAllString(string(template), ""), func(p string) string { return fields[strings.Trim(p, "{}")] })
	n.settings = filepath.Join(l.work, n.name+".env")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	control := "standby"
	if n.role == "store" {
		control = "first"
	}
	n.log = filepath.Join(l.work, n.name+".log")
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.command = exec.Command(program)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOCROSS_BOOT=" + n.settings, "POMELOCROSS_PEER_LISTEN=" + n.peer, "POMELOCROSS_CONTROL=" + control}
	n.command.Stdout, n.command.Stderr = out, out
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		err := c.Wait()
		l.record.line("process ended", n.name, fmt.Sprint(err))
		close(exited)
	}(n.command, n.exited)
	l.record.line("process started", n.name, fmt.Sprint(n.command.Process.Pid))
	return nil
}

// signal sends a signal to the process of a node.
func (l *lab) signal(n *node, s syscall.Signal) {
	l.record.line("signal", n.name, s.String())
	_ = n.command.Process.Signal(s)
}

// beginNodes starts nodes of the given zones, an entry and a store node each, and waits until
// they are ready.
func (l *lab) beginNodes(zones ...string) error {
	for _, role := range []string{"entry", "store"} {
		for i, zone := range zones {
			if _, err := l.plan(fmt.Sprintf("%s-%s-%d", role, zone, i+1), zone, role); err != nil {
				return err
			}
		}
	}
	for _, n := range l.nodes {
		if err := l.start(n); err != nil {
			return err
		}
	}
	for _, n := range l.entries() {
		if err := l.awaitReady(n); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (l *lab) entries() []*node {
	var list []*node
	for _, n := range l.nodes {
		if n.role == "entry" {
			list = append(list, n)
		}
	}
	return list
}

// awaitReady waits until a node counts as ready.
func (l *lab) awaitReady(n *node) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(n.log)
	return fmt.Errorf("%s isn't ready: %s", n.name, bytes.TrimSpace(log[max(0, len(log)-2000):]))
}

// stop ends all processes that the lab has started.
func (l *lab) stop() {
	l.mu.Lock()
	round := l.round
	l.mu.Unlock()
	if round != nil {
		round.stop()
	}
	for _, n := range l.nodes {
		if n.exited == nil {
			continue
		}
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.exited
	}
}
