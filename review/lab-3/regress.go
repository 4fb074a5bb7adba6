package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["regress"] = configRegress }

// machineOf returns the node whose process holds the other end of a connection, as the
// platform can tell by the machine's address.
func (l *lab) machineOf(remote string) *node {
	_, port, _ := strings.Cut(remote, ":")
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	local := fmt.Sprintf("0100007F:%04X", number)
	for line := range strings.SplitSeq(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[1] != local {
			continue
		}
		for _, n := range l.nodes {
			links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.command.Process.Pid))
			for _, link := range links {
				if target, _ := os.Readlink(link); target == "socket:["+fields[9]+"]" {
					return n
				}
			}
		}
	}
	return nil
}

// regressModels are the models of the trainers; each trainer's batch jobs have an owner of
// their own.
var regressModels = []string{"m-a", "m-b", "m-c", "m-d", "m-e", "m-f"}

// regressConfig moves two routes between two services each.
func regressConfig(version, side int) map[string]any {
	config := baseConfig()
	config["Version"] = version
	models := []map[string]any{}
	for _, m := range regressModels {
		models = append(models, map[string]any{"Name": m})
	}
	engine := map[string]any{"Slots": 12, "KvCap": 80000, "Models": models}
	config["Services"] = []map[string]any{
		{"Name": "desk0", "HealthPath": "/healthz", "MaxConns": 100}, {"Name": "desk1", "HealthPath": "/healthz", "MaxConns": 100},
		{"Name": "lm0", "HealthPath": "/healthz", "MaxConns": 150, "Engine": engine}, {"Name": "lm1", "HealthPath": "/healthz", "MaxConns": 150, "Engine": engine},
	}
	for _, r := range config["Routes"].([]map[string]any) {
		r["Service"] = strings.TrimRight(r["Service"].(string), "01") + strconv.Itoa(side)
	}
	return config
}

// effect is the effect of a version of the config that an engine has seen.
type effect struct {
	node *node
	side int // of the service
	at   time.Time
}

// configRegress plays rounds, each with a deployment of its own, until a machine regresses.
func configRegress(l *lab) error {
	const rounds = 6
	for round := 1; round <= rounds; round++ {
		l.record.line("round", strconv.Itoa(round))
		one := &lab{ctx: l.ctx, record: l.record, trouble: l.trouble, work: l.work, store: newStore()}
		l.setRound(one)
		broken, err := one.regressRound(round)
		one.stop()
		if err != nil {
			return err
		}
		if broken != "" {
			l.record.line("broken", broken)
			return brokenError(broken)
		}
	}
	return nil
}

// regressRound: a machine freezes while the config changes. Another one runs a batch job that was
// accepted under the new version, and serves later requests under the old one. It returns how.
func (l *lab) regressRound(round int) (broken string, err error) {
	if err := l.beginPlatform(regressConfig(3, 0)); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var effects []effect
	for i := range 12 {
		service := []string{"desk0", "desk1", "lm0", "lm1"}[i%4]
		s := newServer(l.record, fmt.Sprintf("i-%s-%d", service, i), service, []string{"mty-a", "mty-b"}[i/4%2], "")
		s.pause = time.Millisecond
		if i%4 >= 2 {
			s.model, s.models, s.pause = regressModels[0], regressModels, 10*time.Millisecond
			s.pieces = func(id string) []string { return []string{id} }
			s.fail = func(_ http.ResponseWriter, r *http.Request, id string) bool {
				n := l.machineOf(r.RemoteAddr)
				if n == nil {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				effects = append(effects, effect{n, int(service[2] - '0'), time.Now()})
				l.record.line("effect", service, id, "sent by "+n.name)
				return false
			}
		}
		if err := l.addServer(s); err != nil {
			return "", err
		}
	}
	l.heartbeats()
	// Three machines that serve requesters in one zone, one in another, and two store machines there.
	for i, role := range []string{"entry", "entry", "entry", "entry", "store", "store"} {
		zone := "mty-a"
		if i > 2 {
			zone = "mty-b"
		}
		if _, err := l.plan(fmt.Sprintf("%s-%s-%d", role, zone, i+1), zone, role); err != nil {
			return "", err
		}
	}
	for _, n := range l.nodes {
		if err := l.start(n); err != nil {
			return "", err
		}
	}
	for _, n := range l.entries() {
		if err := l.awaitReady(n); err != nil {
			return "", err
		}
	}
	time.Sleep(6 * time.Second) // CatchUpS is 5.2 s
	zone := l.entries()[:3]
	reader, other := zone[1], zone[2*(round%2)]        // the others of the zone read the config through this one
	l.store.set("config", "main", regressConfig(5, 0)) // changes no route
	if l.trouble {
		// The others read the config each second from now on. One of them freezes, so that it does
		// so at other times than the third.
		time.Sleep(300 * time.Millisecond)
		l.signal(other, syscall.SIGSTOP)
		time.Sleep(1200 * time.Millisecond)
		l.signal(other, syscall.SIGCONT)
	}
	time.Sleep(5600 * time.Millisecond) // ContactMs is 3 s, CatchUpS 5.2 s
	if l.trouble {
		l.signal(reader, syscall.SIGSTOP)
		time.Sleep(50 * time.Millisecond)
	}
	mu.Lock()
	effects = nil
	mu.Unlock()
	l.store.set("config", "main", regressConfig(7, 1))
	l.record.line("config", "version 7 is confirmed; all routes lead to the services with 1")
	return l.watchRegress(zone, reader, round, 1, &mu, &effects), nil
}

// backMs is the bound BackMs.
const backMs = 250 * time.Millisecond

// watchRegress sends requests to the machines of a zone for 2 s after a change of the config. As
// soon as one machine serves by the new version, it gets a batch job of each trainer. It
// returns how a machine regressed, or nothing.
func (l *lab) watchRegress(zone []*node, frozen *node, cycle, side int, mu *sync.Mutex, effects *[]effect) string {
	var wait sync.WaitGroup
	var once sync.Once
	broken, longest := "", backMs
	stop := time.Now().Add(2 * time.Second)
	for i, n := range zone {
		if n == frozen && l.trouble {
			continue
		}
		wait.Go(func() {
			for k := 0; time.Now().Before(stop); k++ {
				id := fmt.Sprintf("look%02d%d%06d", cycle, i, k)
				sent := time.Now()
				a := l.send(n, request{method: "GET", path: "/look/1", id: id, deadline: time.Second})
				by := l.sideOf(id)
				if a.status != http.StatusOK || by < 0 {
					continue
				}
				if by == side {
					once.Do(func() { go l.submitAll(n, cycle) })
					continue
				}
				mu.Lock()
				for _, e := range *effects {
					if e.node == n && e.side == side && sent.Sub(e.at) > longest {
						longest = sent.Sub(e.at)
						broken = fmt.Sprintf("CONFIG: %s sent an item by the new version, and served request %s, sent %.0f ms later, by the old one", n.name, id, sent.Sub(e.at).Seconds()*1000)
					}
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return broken
}

// sideOf returns the side of the plain service that ran a request; -1 if none did.
func (l *lab) sideOf(id string) int {
	for _, s := range l.servers {
		if strings.HasPrefix(s.service, "desk") && s.ran(id) > 0 {
			return int(s.service[4] - '0')
		}
	}
	return -1
}

// submitAll submits a batch job of each trainer at a node.
func (l *lab) submitAll(n *node, cycle int) {
	for i, m := range regressModels {
		go func() {
			batch := fmt.Sprintf("7c41e09b%02d52d6%d", cycle, i)
			var items []item
			for k := range 4 {
				it := newItem(fmt.Sprintf("e5b2%02d%dc14da6f%d", cycle, i, k), fmt.Sprintf("/plan/3/%d", k), fmt.Sprintf("g%s", batch))
				it.Headers["X-Pomelocross-Model"] = m
				items = append(items, it)
			}
			l.send(n, request{method: "POST", path: "/plan/" + batch, id: batch, body: submissionOf(cycle, m, items, 1)})
		}()
	}
}
