package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/lease"
	"github.com/pomelocross/pomelocross/objects"
)

// Intervals of a member's periodic calls.
const (
	listInterval   = 2 * time.Second
	ledgerInterval = 10 * time.Second
)

// Member makes the periodic calls of one instance to the platform: it is a
// candidate for its domain's upstream role and the billing role, follows the
// configuration and weights, reads the instance list and writes a ledger.
type Member struct {
	client *objects.Client
	roles  []*lease.Keeper
	config atomic.Int64
	ledger atomic.Int64
}

// StartMember starts the nth instance of a deployment with domainSize instances per
// failure domain. It runs until ctx ends.
func StartMember(ctx context.Context, client *objects.Client, n, domainSize int) *Member {
	m := &Member{client: client}
	name := fmt.Sprint("entry-", n)
	m.runCandidate(ctx, fmt.Sprint("upstreams-", n/domainSize), name, n%domainSize)
	m.runCandidate(ctx, "billing", name, n)
	go objects.Follow(ctx, client, objects.KindConfig, m.applyConfig)
	go objects.Follow(ctx, client, objects.KindWeights, func(objects.Object) {})
	go m.readList(ctx)
	go m.writeLedger(ctx, name)
	return m
}

// activeCandidates is the number of candidates of a role that are not on standby.
const activeCandidates = 2

func (m *Member) runCandidate(ctx context.Context, role, name string, rank int) {
	keeper := lease.NewKeeper(role, name, m.client, clockwork.NewRealClock(), lease.DefaultTiming())
	keeper.SetPollFactor(func() int {
		if rank >= activeCandidates {
			return lease.StandbyFactor
		}
		return 1
	})
	m.roles = append(m.roles, keeper)
	go keeper.Run(ctx, func(error) {})
}

func (m *Member) applyConfig(o objects.Object) {
	var value int64
	if json.Unmarshal(o.Value, &value) == nil {
		m.config.Store(value)
	}
}

func (m *Member) readList(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = m.client.Members(ctx) // only the call count of the stand-in matters
		sleep(ctx, listInterval)
	}
}

// writeLedger stores an increasing number until a write fails.
func (m *Member) writeLedger(ctx context.Context, name string) {
	var version objects.Version
	for n := int64(1); ctx.Err() == nil; n++ {
		written := objects.PutUntilDefinitive(ctx, m.client, objects.KindRun, name, version, n)
		if written.Outcome != objects.Done {
			return
		}
		version = written.Object.Version
		m.ledger.Store(n)
		sleep(ctx, ledgerInterval)
	}
}

// Config returns the latest configuration value received.
func (m *Member) Config() int64 { return m.config.Load() }

// Ledger returns the last number written.
func (m *Member) Ledger() int64 { return m.ledger.Load() }

// Roles returns the roles that this member holds.
func (m *Member) Roles() []string {
	var held []string
	for _, keeper := range m.roles {
		if _, ok := keeper.Grant(0); ok {
			held = append(held, keeper.Role())
		}
	}
	return held
}

// MeasureRate samples the counter calls every second for d and returns the mean
// and the peak number of calls per second.
func MeasureRate(calls func() int64, d time.Duration) (mean, peak float64) {
	start := calls()
	before := start
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := calls()
		peak, before = max(peak, float64(now-before)), now
	}
	return float64(before-start) / d.Seconds(), peak
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
