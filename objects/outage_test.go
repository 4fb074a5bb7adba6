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

// Sizes of the fleet at its target and of the part of it that the tests run.
const (
	fleetInstances     = 330
	domainSize         = 6
	simulatedInstances = 2 * domainSize
)

// startInterval is the delay between the starts of successive instances.
const startInterval = 300 * time.Millisecond

// fleetRates are the platform's rate limits for the whole fleet.
var fleetRates = objects.Rates{Reads: 2000, Writes: 300}

// fleet is the running part of the fleet, connected to one simulated platform.
type fleet struct {
	t       *testing.T
	server  *standin.Server
	members []*experiment.Member
}

// runFleet starts a fleet under a fake clock, runs the scenario and stops the fleet.
func runFleet(t *testing.T, scenario func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{t: t, server: standin.New()}
		f.setConfig(1)
		for n := range simulatedInstances {
			f.members = append(f.members, experiment.StartMember(ctx, client(f.server, fleetRates.Share(fleetInstances)), n, domainSize))
			time.Sleep(startInterval)
		}
		scenario(f)
		cancel()
		f.server.SetFaults(standin.Faults{})
		synctest.Wait()
		time.Sleep(time.Minute) // lets watches pending at the simulated platform end
	})
}

// calls returns the number of calls that the simulated platform received.
func (f *fleet) calls() int64 {
	sum := int64(0)
	for _, n := range f.server.Record().Calls {
		sum += n
	}
	return sum
}

func (f *fleet) setConfig(value int64) {
	c := client(f.server, unlimited)
	o, _ := c.Get(context.Background(), objects.KindConfig, "deployment")
	if _, err := c.Put(context.Background(), objects.KindConfig, "deployment", o.Version, value); err != nil {
		f.t.Fatal(err)
	}
}

// observePhase measures the call rate for d and checks that the instances stay within
// their share of the fleet's rates. It returns calls per second.
func (f *fleet) observePhase(name string, d time.Duration) (mean, peak float64) {
	mean, peak = experiment.MeasureRate(f.calls, d)
	share := (fleetRates.Reads + fleetRates.Writes) / fleetInstances * simulatedInstances
	f.t.Logf("%-8s %v: mean %.1f, peak %.0f calls/s of %d instances; scaled linearly %.0f and %.0f of %d; share %.0f",
		name, d, mean, peak, simulatedInstances, mean/simulatedInstances*fleetInstances, peak/simulatedInstances*fleetInstances, fleetInstances, share)
	if peak > share {
		f.t.Errorf("%s: peak of %.0f calls/s exceeds the share of %.0f", name, peak, share)
	}
	return mean, peak
}

// expectHealthy checks that all instances have config value, that each role has exactly
// one holder and that every ledger advances within ledgerWait.
func (f *fleet) expectHealthy(value int64, ledgerWait time.Duration) {
	holders := map[string]int{}
	before := make([]int64, len(f.members))
	for n, m := range f.members {
		before[n] = m.Ledger()
		if m.Config() != value {
			f.t.Errorf("instance %d has config %d, want %d", n, m.Config(), value)
		}
		for _, role := range m.Roles() {
			holders[role]++
		}
	}
	if len(holders) != 3 || holders["billing"] != 1 || holders["upstreams-0"] != 1 || holders["upstreams-1"] != 1 {
		f.t.Errorf("holders by role are %v, want one each of billing, upstreams-0 and upstreams-1", holders)
	}
	time.Sleep(ledgerWait)
	for n, m := range f.members {
		if m.Ledger() <= before[n] {
			f.t.Errorf("ledger of instance %d did not advance beyond %d", n, before[n])
		}
	}
}

// The recovery of the platform after a long outage must not cause a burst of calls,
// which would occur if all instances retried at once.
func TestRecoveryAfterLongOutageStaysWithinRates(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.observePhase("start", time.Minute)
		f.observePhase("steady", 5*time.Minute)
		f.expectHealthy(1, 30*time.Second)
		f.server.SetFaults(standin.Faults{Down: true})
		f.observePhase("down", time.Hour)
		f.server.SetFaults(standin.Faults{})
		f.setConfig(2)
		f.observePhase("recovery", time.Minute)
		f.expectHealthy(2, 30*time.Second)
		f.observePhase("after", 5*time.Minute)
	})
}

// A platform with responses of 2.5 s, just below callTimeout, must not cause extra calls
// or stop changes from arriving.
func TestSlowPlatformStaysWithinRates(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.observePhase("start", time.Minute)
		f.server.SetFaults(standin.Faults{Delay: 2500 * time.Millisecond})
		f.observePhase("slow", 10*time.Minute)
		f.setConfig(2)
		time.Sleep(10 * time.Second)
		f.expectHealthy(2, time.Minute)
		f.server.SetFaults(standin.Faults{})
		f.observePhase("recovery", time.Minute)
		f.expectHealthy(2, 30*time.Second)
	})
}

// Calls refused by the platform's rate limit, and watches that always return ErrGap,
// must not cause retries beyond the share.
func TestRefusedCallsAndWatchGapsStayWithinRates(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.observePhase("start", time.Minute)
		f.server.SetFaults(standin.Faults{Rate: simulatedInstances / 4})
		f.observePhase("refused", 10*time.Minute)
		f.server.SetFaults(standin.Faults{Gaps: true})
		f.observePhase("gaps", 5*time.Minute)
		f.setConfig(2)
		time.Sleep(30 * time.Second)
		f.expectHealthy(2, 30*time.Second)
	})
}
