//go:build review2

// Command standin-3 starts a small deployment of the gateway on loopback addresses,
// disturbs it and checks one rule. It plays the store, the engines and the clients.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/internal/freeport"
	"github.com/pomelocross/pomelocross/platform/standin"
)

const (
	host  = "desk.example"
	key   = "key-of-north"
	model = "m0"
)

// record writes what happened to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(folder string) *record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	return &record{file: f, began: time.Now()}
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// unable ends the program: the case could not run.
func unable(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	if current != nil {
		current.rec.say("the case could not run: "+format, args...)
		current.close()
	}
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		unable("%v", err)
	}
}

var current *world

// world is a deployment: a store and a platform interface, engines and gateways.
type world struct {
	rec          *record
	trouble      bool
	folder, temp string
	store        *standin.Store
	cloud        *standin.Cloud
	storeAddress string
	cloudAddress string
	version      int64
	nodes        []*node
	listeners    []net.Listener
}

// node is a gateway process.
type node struct {
	name, front, ready, peer string // front and ready are empty on a storage machine
	command                  *exec.Cmd
	done                     chan struct{}
}

func newWorld(folder string) *world {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w := &world{rec: newRecord(folder), trouble: os.Getenv("TROUBLE") != "0", folder: folder, temp: temp, store: standin.NewStore(), cloud: &standin.Cloud{}}
	current = w
	return w
}

// serve serves a handler on a free loopback port and returns its address.
func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.listeners = append(w.listeners, l)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// configure writes the next configuration.
func (w *world) configure(routes []map[string]any, services []map[string]any) {
	w.version++
	w.store.Set("config", "main", map[string]any{
		"Version": w.version, "Routes": routes, "Services": services,
		"Tenants": []map[string]any{{"Name": "north", "ApiKeys": []string{key}}, {"Name": "south", "ApiKeys": []string{"key-of-south"}}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

func address() string {
	a, err := freeport.Address()
	check(err)
	return a
}

// addNode prepares the process of an entry machine.
func (w *world) addNode(name string) *node {
	n := &node{name: name, front: address(), ready: address(), peer: address()}
	w.nodes = append(w.nodes, n)
	return n
}

// addStorageNode prepares the process of a storage machine.
func (w *world) addStorageNode(name string) *node {
	n := &node{name: name, peer: address()}
	w.nodes = append(w.nodes, n)
	return n
}

// start starts the process of a node with the settings of the deploy file.
func (w *world) start(n *node, zone string) {
	var peers []string
	for _, other := range w.nodes {
		peers = append(peers, other.peer)
	}
	lines := []string{
		"POMELOCROSS_NAME=" + n.name, "POMELOCROSS_DOMAIN=" + zone, "POMELOCROSS_SECRET=change-me-for-each-deployment",
		"POMELOCROSS_LISTEN=" + n.front, "POMELOCROSS_READY_LISTEN=" + n.ready, "POMELOCROSS_PEERS=" + strings.Join(peers[:min(3, len(peers))], ","),
		"POMELOCROSS_STORE=" + w.storeAddress, "POMELOCROSS_CLOUD=" + w.cloudAddress,
		"POMELOCROSS_LEASE_BOUND=3000ms", "POMELOCROSS_LEAVE_BOUND=2000ms", "POMELOCROSS_CONFIG_BOUND=2000ms", "POMELOCROSS_CONTACT_BOUND=3000ms",
		"POMELOCROSS_END_BOUND=3000ms", "POMELOCROSS_STRICT_REVOKE=false", "POMELOCROSS_REVOKE_BOUND=5000ms", "POMELOCROSS_GRACE=8s",
		"POMELOCROSS_USAGE_WINDOW=5s", "POMELOCROSS_USAGE_LATE=10s", "POMELOCROSS_KEEP=120s", "POMELOCROSS_CPU_SHARE=0.4",
		"POMELOCROSS_MEMORY_MB=284", "POMELOCROSS_MAX_FILES=4100",
	}
	path := filepath.Join(w.temp, n.name+".env")
	check(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	log, err := os.OpenFile(filepath.Join(w.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.command = exec.Command("target/pomelocross-gateway")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "POMELOCROSS_BOOT=" + path, "POMELOCROSS_PEER_LISTEN=" + n.peer, "POMELOCROSS_CONTROL=" + n.control()}
	n.command.Stdout, n.command.Stderr = log, log
	check(n.command.Start())
	n.done = make(chan struct{})
	command, done := n.command, n.done
	go func() { _ = command.Wait(); close(done); _ = log.Close() }()
	w.rec.say("gateway %s is started", n.name)
}

// control returns how eagerly a node seeks the control role, by its role in the deploy file.
func (n *node) control() string {
	if n.front == "" {
		return "first"
	}
	return "standby"
}

// awaitReady waits until a node says that it is ready.
func (w *world) awaitReady(n *node) {
	for range 200 {
		resp, err := http.Get("http://" + n.ready + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.rec.say("gateway %s is ready", n.name)
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	unable("gateway %s is not ready", n.name)
}

func (n *node) signal(s syscall.Signal) { check(n.command.Process.Signal(s)) }

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.command == nil || n.command.Process == nil {
			continue
		}
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.done
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs are in", w.temp)
		return
	}
	_ = os.RemoveAll(w.temp)
}

// finish ends the case.
func (w *world) finish(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.rec.say("%s", text)
	fmt.Println(text)
	w.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
