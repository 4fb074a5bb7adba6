//go:build review

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
	"syscall"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

const (
	host   = "desk.example"
	apiKey = "k3d3zji9n73hh2b9wu3fe"
	team   = "north"
	graceS = 8
)

// deployment is a small deployment: gateways as separate processes, and stand-ins of
// everything else in this process.
type deployment struct {
	rec    *record
	folder string

	store, cloud       *standin.Store
	storeAddr, cloudAt string
	seeds              []string

	mu       sync.Mutex // guards all below
	gateways []*gateway
	version  int64
}

// gateway is one machine with its process.
type gateway struct {
	name, zone           string
	front, ready, peer   string // addresses; front and ready are empty on a storage machine
	storage              bool
	d                    *deployment
	settings, log        string
	cmd                  *exec.Cmd
	exited               chan struct{}
	signalledAt, endedAt time.Time
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve serves handler on a free port and returns its address.
func serve(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String()
}

// startPlatform starts the stand-ins of the platform's store and API.
func (d *deployment) startPlatform() {
	d.store = standin.NewStore()
	d.storeAddr = serve(d.store)
	d.cloudAt = serve(&standin.Cloud{})
}

// machine describes a machine of the deployment.
type machine struct {
	name, zone string
	storage    bool
}

// startGap is the pause between the starts of two machines. All of them start within 0.3 s.
const startGap = 100 * time.Millisecond

// startGateways starts the machines and waits until the edge machines are ready.
func (d *deployment) startGateways(machines []machine) {
	for _, m := range machines {
		g := &gateway{name: m.name, zone: m.zone, storage: m.storage, d: d, peer: freeAddress()}
		if !m.storage {
			g.front, g.ready = freeAddress(), freeAddress()
		}
		g.settings, g.log = filepath.Join(d.folder, m.name+".env"), filepath.Join(d.folder, m.name+".log")
		d.gateways = append(d.gateways, g)
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, g.peer)
		}
	}
	for _, g := range d.gateways {
		g.start()
		time.Sleep(startGap)
	}
	for _, g := range d.gateways {
		if !g.storage {
			g.waitReady()
		}
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{[#^][^}]*\}\}.*?\{\{/[^}]*\}\}\n?`)
	placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// writeSettings fills in the template of the deploy file.
func (g *gateway) writeSettings() {
	template, err := os.ReadFile("deploy/gateway.env")
	if err != nil {
		panic(err)
	}
	values := map[string]string{
		"NodeName": g.name, "Zone": g.zone, "Listen.Front": g.front, "Listen.Ready": g.ready, "Seeds": strings.Join(g.d.seeds, ","),
		"Platform.Addr": g.d.storeAddr, "Cloud.Addr": g.d.cloudAt, "Bounds.LeaseMs": "3000", "Bounds.DrainMs": "2000", "Bounds.ConfigApplyMs": "2000",
		"Bounds.ContactMs": "3000", "Bounds.CancelMs": "3000", "Bounds.StrictRevoke": "false", "Bounds.RevokeMs": "5000", "Bounds.GraceS": fmt.Sprint(graceS),
		"Bounds.ReportWindowS": "5", "Bounds.UsageLateS": "10", "Bounds.StatusS": "120", "Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
	}
	if g.storage {
		values["Limits.CpuShare"], values["Limits.MemoryMb"], values["Limits.MaxFds"] = "0.8", "344", "8200"
	}
	text := placeholder.ReplaceAllStringFunc(section.ReplaceAllString(string(template), ""), func(p string) string {
		v, known := values[strings.Trim(p, "{}")]
		if !known {
			panic("the template has an unknown field: " + p)
		}
		return v
	})
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() {
	g.writeSettings()
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer log.Close()
	control := "standby"
	if g.storage {
		control = "first"
	}
	cmd := exec.Command("target/pomelocross-gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POMELOCROSS_BOOT=" + g.settings, "POMELOCROSS_PEER_LISTEN=" + g.peer, "POMELOCROSS_CONTROL=" + control}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	exited := make(chan struct{})
	g.d.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.d.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		g.d.mu.Lock()
		g.endedAt = time.Now()
		g.d.mu.Unlock()
		close(exited)
	}()
	g.d.rec.logf("machine %s starts; front %s", g.name, g.front)
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.d.mu.Lock()
	defer g.d.mu.Unlock()
	g.signalledAt = time.Now()
	_ = g.cmd.Process.Signal(s)
	g.d.rec.logf("machine %s gets signal %v", g.name, s)
}

// waitReady waits until the readiness check of the machine succeeds.
func (g *gateway) waitReady() {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	panic(g.name + " did not become ready")
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	d.mu.Lock()
	gateways := d.gateways
	d.mu.Unlock()
	for _, g := range gateways {
		if g.cmd != nil {
			d.rec.logf("machine %s is ended", g.name)
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
}

// edges returns the edge machines.
func (d *deployment) edges() (list []*gateway) {
	for _, g := range d.gateways {
		if !g.storage {
			list = append(list, g)
		}
	}
	return list
}

// object is a JSON object.
type object = map[string]any

// writeConfig writes a new version of the config with these routes and services.
func (d *deployment) writeConfig(routes []object, services []object) {
	d.version += 3
	d.store.Set("config", "main", object{
		"Version": d.version, "Routes": routes, "Services": services,
		"Tenants": []object{{"Name": team, "ApiKeys": []string{apiKey}}},
		"Limits":  object{"MaxHeaderBytes": 65536, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 30000},
	})
	d.rec.logf("operator: config version %d is confirmed", d.version)
}

// register registers an engine and renews the registration.
func (d *deployment) register(e *engine) {
	store := d.store
	write := func() { store.Set("servers", e.id, e.registration()) }
	write()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			write()
		}
	}()
}

// registration returns the object that registers the engine.
func (e *engine) registration() object {
	e.mu.Lock()
	defer e.mu.Unlock()
	var models []object
	for _, m := range e.models {
		models = append(models, object{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return object{
		"Service": e.service, "Addr": e.addr, "Zone": e.zone, "Version": "1", "Slots": e.slots, "State": state, "ColdLeftMs": 0,
		"Seq": time.Now().UnixMilli(), "born": e.born, "Stage": "both", "Models": models,
	}
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
