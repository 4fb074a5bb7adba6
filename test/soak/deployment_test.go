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
	host          = "desk.example"
	model         = "m0"
	events        = 30
	eventInterval = 8 * time.Millisecond
)

// gateway is a gateway process with its own proxy to the store.
type gateway struct {
	name, listen, peer string
	storeProxy         *proxy
	beliefs            *beliefs
	binary, folder     string
	args               []string

	mu      sync.Mutex // guards process
	process *exec.Cmd
}

// start starts the process, whose log is appended to a file in the folder of the seed.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(g.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	g.process = exec.Command(g.binary, g.args...)
	g.process.Stdout, g.process.Stderr = log, log
	Expect(g.process.Start()).To(Succeed())
	g.beliefs.disturb(g.name)
	g.beliefs.recordStart()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beliefs.disturb(g.name)
	_ = g.process.Process.Signal(s) // fails only if the process has exited
}

// terminate sends a signal that ends the process and waits for the process to exit.
func (g *gateway) terminate(s syscall.Signal) {
	g.signal(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Wait() // Wait returns an error for a killed process
}

// deployment consists of real gateway processes and stand-ins of everything else.
type deployment struct {
	rng             *rand.Rand
	folder          string
	store           *standin.Store
	cloud           *standin.Cloud
	engines         []*standin.Engine
	services        []*standin.Engine
	upstreamProxies []*proxy // in front of engines and services
	gateways        []*gateway
	beliefs         beliefs
	limited         []limitedUpstream

	mu            sync.Mutex // guards the fields below
	configVersion int64
	weightVersion int64
	keys          map[string]string // team by API key
	storeFaultOf  func(*http.Request) standin.Fault
	started       time.Time
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

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	address, err := freeport.Address()
	Expect(err).NotTo(HaveOccurred())
	return address
}

// newDeployment starts stand-ins and gateways for a spec; seed determines the faults.
func newDeployment(binary, folder string, seed uint64, gateways int) *deployment {
	d := &deployment{
		rng: rand.New(rand.NewPCG(seed, seed)), folder: folder, store: standin.NewStore(), cloud: &standin.Cloud{},
		weightVersion: 1, keys: map[string]string{"key-north": "north", "key-south": "south", guestKey: "north"}, started: time.Now(),
	}
	d.store.SetFault(d.storeFault)
	storeAddress, cloudAddress := serve(d.store), serve(d.cloud)
	for n := range 4 {
		e := &standin.Engine{ID: fmt.Sprint("engine-", n), Service: "lm", Slots: 8, Events: events, EventInterval: eventInterval}
		e.SetVersion(model, 1)
		d.engines = append(d.engines, e)
		d.register(e)
	}
	d.limit(d.engines[0], d.upstreamProxies[0], engineLimit)
	for n := range 2 {
		e := &standin.Engine{ID: fmt.Sprint("desk-", n), Service: "desk", Slots: 8}
		d.services = append(d.services, e)
		d.register(e)
	}
	d.limit(d.services[0], d.upstreamProxies[len(d.engines)], serviceLimit)
	d.writeConfig()
	for n := range gateways {
		d.gateways = append(d.gateways, d.newGateway(n, binary, storeAddress, cloudAddress))
	}
	strict := d.gateways[gateways-1]
	strict.args = append(strict.args, "--strict-revoke", "--revoke-bound", strictRevokeBound.String())
	for _, g := range d.gateways {
		g.start()
		DeferCleanup(func() {
			g.signal(syscall.SIGCONT)
			g.terminate(syscall.SIGKILL)
		})
	}
	return d
}

// renewalInterval is the interval at which upstreams renew their registrations.
const renewalInterval = 400 * time.Millisecond

// register serves an upstream behind a proxy and keeps its registration renewed.
func (d *deployment) register(e *standin.Engine) {
	p := newProxy(serve(e))
	d.upstreamProxies = append(d.upstreamProxies, p)
	renew := func() { d.store.Set("servers", e.ID, e.Registration(p.address, "a", "ready")) }
	renew()
	ticker := time.NewTicker(renewalInterval)
	DeferCleanup(ticker.Stop)
	go func() {
		for range ticker.C {
			renew()
		}
	}()
}

func (d *deployment) newGateway(n int, binary, storeAddress, cloudAddress string) *gateway {
	g := &gateway{name: fmt.Sprint("entry-", n), listen: freeAddress(), peer: freeAddress(), storeProxy: newProxy(storeAddress), beliefs: &d.beliefs, binary: binary, folder: d.folder}
	g.args = []string{
		"--name", g.name, "--domain", "a", "--secret", "0123456789abcdef", "--listen", g.listen, "--ready-listen", freeAddress(), "--peer-listen", g.peer,
		"--store", g.storeProxy.address, "--cloud", cloudAddress, "--control", "first", "--lease-bound", "1s", "--grace", "4s", "--drain-grace", "100ms",
		"--usage-window", "1s", "--usage-late", "4s",
	}
	if len(d.gateways) > 0 {
		g.args = append(g.args, "--peers", d.gateways[0].peer)
	}
	return g
}

// writeConfig writes the next version of the configuration, with the current API keys.
func (d *deployment) writeConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configVersion++
	teams := map[string][]string{"north": {}, "south": {}}
	for key, team := range d.keys {
		teams[team] = append(teams[team], key)
	}
	d.store.Set("config", "main", map[string]any{
		"Version": d.configVersion,
		"Routes": []map[string]any{
			{"Name": "safe", "Host": host, "Prefix": "/kits/", "Type": "safe", "TimeoutMs": 2000, "GoalMs": 150, "Service": "desk", "Attempts": 2},
			{"Name": "unsafe", "Host": host, "Prefix": "/orders/", "Type": "unsafe", "TimeoutMs": 2000, "Service": "desk", "Attempts": 2},
			{"Name": "lots", "Host": host, "Prefix": "/train/", "Type": "rollout", "Service": "lm", "Attempts": 5, "MaxQueueS": 60, "DueMs": 4000},
		},
		"Services": []map[string]any{{"Name": "desk"}, {"Name": "lm", "Engine": map[string]any{"Slots": 8, "Models": []map[string]any{{"Name": model}}}}},
		"Tenants":  []map[string]any{{"Name": "north", "ApiKeys": teams["north"]}, {"Name": "south", "ApiKeys": teams["south"]}},
	})
}

// publishWeights publishes the next weight version of the model and returns it.
func (d *deployment) publishWeights() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weightVersion++
	d.store.Set("versions", model, map[string]any{"Model": model, "Version": d.weightVersion})
	return d.weightVersion
}

func (d *deployment) storeFault(r *http.Request) standin.Fault {
	d.mu.Lock()
	faults := d.storeFaultOf
	d.mu.Unlock()
	if faults == nil {
		return standin.None
	}
	return faults(r)
}

func (d *deployment) setStoreFault(f func(*http.Request) standin.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeFaultOf = f
}

// logf appends a line to faults.txt in the folder of the seed, after the seconds since
// the start.
func (d *deployment) logf(format string, args ...any) {
	line := fmt.Sprintf("%.2f ", time.Since(d.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	file, err := os.OpenFile(filepath.Join(d.folder, "faults.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err == nil {
		_, _ = file.WriteString(line) // best effort: the log only helps to diagnose a failure
		file.Close()
	}
}
