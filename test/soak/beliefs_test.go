package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pomelocross/pomelocross/platform/standin"
)

// beliefs records what gateways must not go on believing: that an upstream takes new
// work after one of its responses has said that it leaves, and that a key is valid after
// it was withdrawn.
type beliefs struct {
	mu           sync.Mutex // guards the fields below
	leaves       []leave
	disturbances []disturbance
	starts       []time.Time // of gateways
	withdrawn    time.Time   // of guestKey, as confirmed by the store
	guests       []guestRequest
}

// leave is a period in which an incarnation of an upstream says that it leaves.
type leave struct {
	engine     *standin.Engine
	begin, end time.Time // end is zero while it lasts
}

// disturbance is a signal to a gateway or its start, after which it need not know what it
// knew before.
type disturbance struct {
	gateway string
	at      time.Time
}

type guestRequest struct {
	gateway string
	sent    time.Time
	status  int
}

const (
	// guestKey is a key of team north that is withdrawn during the faults.
	guestKey = "key-guest"
	// strictRevokeBound is the bound of the gateway with strict revocation, and
	// confirmationDelay the time for which the delay of a confirmation may go unnoticed.
	strictRevokeBound = 3 * time.Second
	confirmationDelay = strictRevokeBound / 5
)

// leaveAndRestart lets an upstream say for a duration that it leaves, while its
// registration still says that it is ready, and then restarts it.
func leaveAndRestart(d *deployment, e *standin.Engine, duration time.Duration) {
	b := &d.beliefs
	b.mu.Lock()
	if slices.ContainsFunc(b.leaves, func(l leave) bool { return l.engine == e && l.end.IsZero() }) {
		b.mu.Unlock()
		return
	}
	b.leaves = append(b.leaves, leave{engine: e, begin: time.Now()})
	n := len(b.leaves) - 1
	b.mu.Unlock()
	d.logf("  %s leaves", e.ID)
	e.SetLeaving(true)
	time.Sleep(duration)
	b.mu.Lock()
	b.leaves[n].end = time.Now()
	b.mu.Unlock()
	e.Restart()
}

// disturb records a signal to a gateway or its start.
func (b *beliefs) disturb(gateway string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disturbances = append(b.disturbances, disturbance{gateway, time.Now()})
}

// recordStart records the start of a gateway.
func (b *beliefs) recordStart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts = append(b.starts, time.Now())
}

// startsWithin returns the number of starts of gateways in a period.
func (b *beliefs) startsWithin(from, to time.Time) (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.starts {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// sendAsGuest sends requests with guestKey on connections that stay open, until stop is
// closed. It withdraws the key after a delay.
func sendAsGuest(d *deployment, r *rand.Rand, delay time.Duration, stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	withdraw := time.After(delay)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-withdraw:
			d.withdrawGuest()
		case <-time.After(time.Duration(20+r.IntN(40)) * time.Millisecond):
		}
		g := d.gateways[r.IntN(len(d.gateways))]
		request, err := http.NewRequest("POST", "http://"+g.listen+"/kits/1", bytes.NewReader(nil))
		if err != nil {
			panic(err)
		}
		request.Host = host
		request.Header.Set("X-Api-Key", guestKey)
		request.Header.Set("X-Pomelocross-Request-Id", fmt.Sprint("guest-", n))
		sent := guestRequest{gateway: g.name, sent: time.Now()}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body) // keeps the connection open
		response.Body.Close()
		sent.status = response.StatusCode
		d.beliefs.mu.Lock()
		d.beliefs.guests = append(d.beliefs.guests, sent)
		d.beliefs.mu.Unlock()
	}
}

// withdrawGuest withdraws guestKey.
func (d *deployment) withdrawGuest() {
	d.mu.Lock()
	delete(d.keys, guestKey)
	d.mu.Unlock()
	d.writeConfig()
	d.logf("key withdrawn")
	d.beliefs.mu.Lock()
	defer d.beliefs.mu.Unlock()
	d.beliefs.withdrawn = time.Now()
}

// checkBeliefs checks that no undisturbed gateway has sent a request to an upstream after
// it had passed on that the upstream leaves, and that the gateway with strict revocation
// has accepted no withdrawn key beyond its bound. It returns the number of requests that
// it could judge of each kind.
func checkBeliefs(d *deployment, obs *observations) (afterLeave, afterWithdrawal int) {
	b := &d.beliefs
	for _, l := range b.leaves {
		ran := map[string]bool{} // requests that the incarnation that leaves received
		for _, run := range l.engine.Runs() {
			ran[run.ID] = run.At.After(l.begin) && (l.end.IsZero() || run.At.Before(l.end))
		}
		known := map[string]time.Time{} // by gateway: when it had first passed the news on
		for _, request := range obs.requests {
			at, already := known[request.gateway]
			if request.leaving && ran[request.id] && (!already || request.done.Before(at)) {
				known[request.gateway] = request.done
			}
		}
		for _, request := range obs.requests {
			at, knows := known[request.gateway]
			if !knows || request.sent.Before(at) || !l.end.IsZero() && request.sent.After(l.end) || b.disturbed(request.gateway, at, request.done) {
				continue
			}
			afterLeave++
			if ran[request.id] {
				obs.violationf("%s sent request %s to %s %v after it had passed on that it leaves", request.gateway, request.id, l.engine.ID, request.sent.Sub(at))
			}
		}
	}
	strict := d.gateways[len(d.gateways)-1].name
	for _, guest := range b.guests {
		late := guest.sent.Sub(b.withdrawn)
		if b.withdrawn.IsZero() || guest.gateway != strict || late <= strictRevokeBound+confirmationDelay {
			continue
		}
		afterWithdrawal++
		if guest.status == http.StatusOK {
			obs.violationf("%s accepted a key %v after it was withdrawn", guest.gateway, late)
		}
	}
	return afterLeave, afterWithdrawal
}

// disturbed reports whether a gateway was started or got a signal in a period.
func (b *beliefs) disturbed(gateway string, begin, end time.Time) bool {
	return slices.ContainsFunc(b.disturbances, func(d disturbance) bool {
		return d.gateway == gateway && d.at.After(begin) && d.at.Before(end)
	})
}
