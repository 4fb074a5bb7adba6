package objects_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelocross/pomelocross/internal/experiment"
	standin "github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/objects"
)

// The fleet at target size, of which some instances run here.
const (
	fleetInstances = 330
	domainSize     = 6
	simulated      = 2 * domainSize
)

// startPause lies between the starts of two instances.
const startPause = 300 * time.Millisecond

// fleetRates are what the platform gives the whole fleet.
var fleetRates = objects.Rates{Reads: 2000, Writes: 300}

// rig is some instances of the fleet before one stand-in.
type rig struct {
	t       *testing.T
	server  *standin.Server
	members []*experiment.Member
}

// run starts a rig under a fake clock and ends it after play.
func run(t *testing.T, play func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &rig{t: t, server: standin.New()}
		r.setConfig(1)
		for n := range simulated {
			r.members = append(r.members, experiment.StartMember(ctx, client(r.server, fleetRates.Share(fleetInstances)), n, domainSize))
			time.Sleep(startPause)
		}
		play(r)
		cancel()
		r.server.SetFaults(standin.Faults{})
		synctest.Wait()
		time.Sleep(time.Minute) // watches that the stand-in still holds end
	})
}

// calls returns how many calls the stand-in was sent.
func (r *rig) calls() int64 {
	sum := int64(0)
	for _, n := range r.server.Record().Calls {
		sum += n
	}
	return sum
}

func (r *rig) setConfig(value int64) {
	c := client(r.server, ample)
	o, _ := c.Get(context.Background(), objects.KindConfig, "deployment")
	if _, err := c.Put(context.Background(), objects.KindConfig, "deployment", o.Version, value); err != nil {
		r.t.Fatal(err)
	}
}

// phase observes for d and checks that the instances stay within their share.
func (r *rig) phase(name string, d time.Duration) (mean, most float64) {
	mean, most = experiment.MeasureRate(r.calls, d)
	share := (fleetRates.Reads + fleetRates.Writes) / fleetInstances * simulated
	r.t.Logf("%-8s %v: mean %.1f, most %.0f calls/s of %d instances; by slope %.0f and %.0f of %d; share %.0f",
		name, d, mean, most, simulated, mean/simulated*fleetInstances, most/simulated*fleetInstances, fleetInstances, share)
	if most > share {
		r.t.Errorf("%s: %.0f calls in a second, share is %.0f", name, most, share)
	}
	return mean, most
}

// expectWorking checks that config value is in force everywhere, that roles are
// held by one each and that ledgers advance.
func (r *rig) expectWorking(value int64, window time.Duration) {
	holders := map[string]int{}
	before := make([]int64, len(r.members))
	for n, m := range r.members {
		before[n] = m.Ledger()
		if m.Config() != value {
			r.t.Errorf("instance %d follows config %d, want %d", n, m.Config(), value)
		}
		for _, role := range m.Roles() {
			holders[role]++
		}
	}
	if len(holders) != 3 || holders["billing"] != 1 || holders["upstreams-0"] != 1 || holders["upstreams-1"] != 1 {
		r.t.Errorf("holders are %v", holders)
	}
	time.Sleep(window)
	for n, m := range r.members {
		if m.Ledger() <= before[n] {
			r.t.Errorf("instance %d's ledger stands at %d", n, before[n])
		}
	}
}

func TestOutageOfAnHourEndsWithoutAStorm(t *testing.T) {
	run(t, func(r *rig) {
		r.phase("start", time.Minute)
		r.phase("rest", 5*time.Minute)
		r.expectWorking(1, 30*time.Second)
		r.server.SetFaults(standin.Faults{Down: true})
		r.phase("down", time.Hour)
		r.server.SetFaults(standin.Faults{})
		r.setConfig(2)
		r.phase("return", time.Minute)
		r.expectWorking(2, 30*time.Second)
		r.phase("after", 5*time.Minute)
	})
}

func TestSlowStoreIsLivedWith(t *testing.T) {
	run(t, func(r *rig) {
		r.phase("start", time.Minute)
		r.server.SetFaults(standin.Faults{Delay: 2500 * time.Millisecond})
		r.phase("slow", 10*time.Minute)
		r.setConfig(2)
		time.Sleep(10 * time.Second)
		r.expectWorking(2, time.Minute)
		r.server.SetFaults(standin.Faults{})
		r.phase("return", time.Minute)
		r.expectWorking(2, 30*time.Second)
	})
}

func TestRefusalByRateAndGapsAreLivedWith(t *testing.T) {
	run(t, func(r *rig) {
		r.phase("start", time.Minute)
		r.server.SetFaults(standin.Faults{Rate: simulated / 4})
		r.phase("refused", 10*time.Minute)
		r.server.SetFaults(standin.Faults{Gaps: true})
		r.phase("gaps", 5*time.Minute)
		r.setConfig(2)
		time.Sleep(30 * time.Second)
		r.expectWorking(2, 30*time.Second)
	})
}
