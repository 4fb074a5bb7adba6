package soak

import (
	"fmt"
	"math/rand/v2"
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

	"github.com/pomelocross/pomelocross/internal/freeport"
	"github.com/pomelocross/pomelocross/platform/standin"
)

const (
	host   = "desk.example"
	model  = "m0"
	events = 30
	pace   = 8 * time.Millisecond
)

// gateway is one real process with its own path to the store.
type gateway struct {
	name, front, peer string
	store             *proxy
	binary, folder    string
	args              []string

	mu      sync.Mutex // guards process
	process *exec.Cmd
}

// start runs the process; its log goes to a file of the seed.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(g.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	g.process = exec.Command(g.binary, g.args...)
	g.process.Stdout, g.process.Stderr = log, log
	Expect(g.process.Start()).To(Succeed())
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Signal(s) // one that has ended needs none
}

// end waits for the process after a signal that ends it.
func (g *gateway) end(s syscall.Signal) {
	g.signal(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Wait() // killed ones end with an error
}

// world is a deployment of real gateways on stand-ins.
type world struct {
	random   *rand.Rand
	folder   string
	store    *standin.Store
	cloud    *standin.Cloud
	engines  []*standin.Engine
	desks    []*standin.Engine
	paths    []*proxy // to engines and desks
	gateways []*gateway

	mu      sync.Mutex // guards all below
	version int64
	weights int64
	keys    map[string]string // team by key
	faults  func(*http.Request) standin.Fault
	began   time.Time
}

func serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

func free() string {
	address, err := freeport.Address()
	Expect(err).NotTo(HaveOccurred())
	return address
}

func newWorld(binary, folder string, seed uint64, gateways int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, seed)), folder: folder, store: standin.NewStore(), cloud: &standin.Cloud{},
		weights: 1, keys: map[string]string{"key-north": "north", "key-south": "south"}, began: time.Now(),
	}
	w.store.SetFault(w.storeFault)
	storeAddress, cloudAddress := serve(w.store), serve(w.cloud)
	for n := range 4 {
		e := &standin.Engine{ID: fmt.Sprint("engine-", n), Service: "lm", Slots: 8, Events: events, EventInterval: pace}
		e.SetVersion(model, 1)
		w.engines = append(w.engines, e)
		w.register(e)
	}
	for n := range 2 {
		d := &standin.Engine{ID: fmt.Sprint("desk-", n), Service: "desk", Slots: 8}
		w.desks = append(w.desks, d)
		w.register(d)
	}
	w.configure()
	for n := range gateways {
		w.gateways = append(w.gateways, w.newGateway(n, binary, storeAddress, cloudAddress))
	}
	for _, g := range w.gateways {
		g.start()
		DeferCleanup(func() {
			g.signal(syscall.SIGCONT)
			g.end(syscall.SIGKILL)
		})
	}
	return w
}

// renewal is how often upstreams renew their registrations.
const renewal = 400 * time.Millisecond

// register serves an upstream behind a path and renews its registration.
func (w *world) register(e *standin.Engine) {
	p := newProxy(serve(e))
	w.paths = append(w.paths, p)
	renew := func() { w.store.Set("servers", e.ID, e.Registration(p.address, "a", "ready")) }
	renew()
	ticker := time.NewTicker(renewal)
	DeferCleanup(ticker.Stop)
	go func() {
		for range ticker.C {
			renew()
		}
	}()
}

func (w *world) newGateway(n int, binary, store, cloud string) *gateway {
	g := &gateway{name: fmt.Sprint("entry-", n), front: free(), peer: free(), store: newProxy(store), binary: binary, folder: w.folder}
	g.args = []string{
		"--name", g.name, "--domain", "a", "--secret", "0123456789abcdef", "--listen", g.front, "--ready-listen", free(), "--peer-listen", g.peer,
		"--store", g.store.address, "--cloud", cloud, "--control", "first", "--lease-bound", "1s", "--grace", "4s", "--drain-grace", "100ms",
		"--usage-window", "1s", "--usage-late", "4s",
	}
	if len(w.gateways) > 0 {
		g.args = append(g.args, "--peers", w.gateways[0].peer)
	}
	return g
}

// configure writes a configuration with the keys of now.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	teams := map[string][]string{"north": {}, "south": {}}
	for key, team := range w.keys {
		teams[team] = append(teams[team], key)
	}
	w.store.Set("config", "main", map[string]any{
		"Version": w.version,
		"Routes": []map[string]any{
			{"Name": "safe", "Host": host, "Prefix": "/kits/", "Type": "safe", "TimeoutMs": 2000, "GoalMs": 150, "Service": "desk", "Attempts": 2},
			{"Name": "unsafe", "Host": host, "Prefix": "/orders/", "Type": "unsafe", "TimeoutMs": 2000, "Service": "desk", "Attempts": 2},
			{"Name": "lots", "Host": host, "Prefix": "/train/", "Type": "rollout", "Service": "lm", "Attempts": 5, "MaxQueueS": 60, "DueMs": 4000},
		},
		"Services": []map[string]any{{"Name": "desk"}, {"Name": "lm", "Engine": map[string]any{"Slots": 8, "Models": []map[string]any{{"Name": model}}}}},
		"Tenants":  []map[string]any{{"Name": "north", "ApiKeys": teams["north"]}, {"Name": "south", "ApiKeys": teams["south"]}},
	})
}

func (w *world) nameVersion() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights++
	w.store.Set("versions", model, map[string]any{"Model": model, "Version": w.weights})
	return w.weights
}

func (w *world) storeFault(r *http.Request) standin.Fault {
	w.mu.Lock()
	faults := w.faults
	w.mu.Unlock()
	if faults == nil {
		return standin.None
	}
	return faults(r)
}

func (w *world) setStoreFault(f func(*http.Request) standin.Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// note writes a line on what was done to the seed's folder.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%.2f ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	file, err := os.OpenFile(filepath.Join(w.folder, "faults.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err == nil {
		_, _ = file.WriteString(line) // the report of a failure shows the rest
		file.Close()
	}
}
