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

// Intervals of a member's standing work.
const (
	listInterval   = 2 * time.Second
	ledgerInterval = 10 * time.Second
)

// Member is one instance's standing work at the platform: it seeks its domain's
// upstream role and billing, follows configuration and weights, reads the
// instance list and writes a ledger.
type Member struct {
	client *objects.Client
	roles  []*lease.Keeper
	config atomic.Int64
	ledger atomic.Int64
}

// StartMember starts the work of the nth instance, in domains of a size, until
// ctx ends.
func StartMember(ctx context.Context, client *objects.Client, n, domainSize int) *Member {
	m := &Member{client: client}
	name := fmt.Sprint("entry-", n)
	m.seek(ctx, fmt.Sprint("upstreams-", n/domainSize), name, n%domainSize)
	m.seek(ctx, "billing", name, n)
	go objects.Follow(ctx, client, objects.KindConfig, m.takeConfig)
	go objects.Follow(ctx, client, objects.KindWeights, func(objects.Object) {})
	go m.readList(ctx)
	go m.writeLedger(ctx, name)
	return m
}

// activeCandidates is how many candidates follow a lease closely.
const activeCandidates = 2

func (m *Member) seek(ctx context.Context, role, name string, rank int) {
	keeper := lease.NewKeeper(role, name, m.client, clockwork.NewRealClock(), lease.DefaultTiming())
	keeper.SetStandby(func() bool { return rank >= activeCandidates })
	m.roles = append(m.roles, keeper)
	go keeper.Run(ctx, func(error) {})
}

func (m *Member) takeConfig(o objects.Object) {
	var value int64
	if json.Unmarshal(o.Value, &value) == nil {
		m.config.Store(value)
	}
}

func (m *Member) readList(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = m.client.Members(ctx) // counted by the stand-in
		wait(ctx, listInterval)
	}
}

// writeLedger writes a rising number until a write is not done.
func (m *Member) writeLedger(ctx context.Context, name string) {
	var version objects.Version
	for n := int64(1); ctx.Err() == nil; n++ {
		written := objects.PutUntilDefinitive(ctx, m.client, objects.KindRun, name, version, n)
		if written.Outcome != objects.Done {
			return
		}
		version = written.Object.Version
		m.ledger.Store(n)
		wait(ctx, ledgerInterval)
	}
}

// Config returns the configuration last followed.
func (m *Member) Config() int64 { return m.config.Load() }

// Ledger returns the number last written.
func (m *Member) Ledger() int64 { return m.ledger.Load() }

// Roles returns the roles that are held now.
func (m *Member) Roles() []string {
	var held []string
	for _, keeper := range m.roles {
		if _, ok := keeper.Grant(0); ok {
			held = append(held, keeper.Role())
		}
	}
	return held
}

// Observe lets d pass and returns the mean and the greatest number of calls in
// a second, by a counter of all calls.
func MeasureRate(calls func() int64, d time.Duration) (mean, most float64) {
	start := calls()
	before := start
	for range int(d / time.Second) {
		time.Sleep(time.Second)
		now := calls()
		most, before = max(most, float64(now-before)), now
	}
	return float64(before-start) / d.Seconds(), most
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
