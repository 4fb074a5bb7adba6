package usage

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// DefaultRetention is how long a silent source's totals stay in an account.
// A source that is cut off for longer must start a new incarnation.
const DefaultRetention = 24 * time.Hour

// ErrLost means that the billing role ended while it was being exercised.
var ErrRoleLost = errors.New("billing role is no longer held")

// ReportFunc sends a report unless held turns false before it has left.
type ReportFunc func(ctx context.Context, r objects.UsageReport, held func() bool) error

// Biller freezes and reports windows. Only the holder of the billing role runs
// it, from one goroutine.
type Biller struct {
	Store     objects.Store
	Report    ReportFunc
	Retention time.Duration

	accounts map[string]*stored
}

// stored is an account as this holder knows it.
type stored struct {
	account  *Account // nil when the team has none yet
	version  objects.Version
	reported bool // the account's window, by this holder
}

// Tenure is the holder's right to bill.
type Grant struct {
	Holder string
	Epoch  int64
	// Held tells whether the role is still held with enough time left to write
	// or report once.
	Held func() bool
}

// Close freezes and reports every window up to last that gathered lines speak
// of. It goes on with other teams after a failure and returns all failures.
func (b *Biller) Close(ctx context.Context, tenure Grant, lines []Line, last time.Time) error {
	var failures []error
	for team, own := range byTeam(lines) {
		if err := b.closeTeam(ctx, tenure, team, own, last); err != nil {
			failures = append(failures, oops.In("usage").With("team", team).Wrap(err))
		}
	}
	return errors.Join(failures...)
}

// Forget drops what the holder knows, for when the role is taken up again.
func (b *Biller) Reset() { b.accounts = nil }

func (b *Biller) closeTeam(ctx context.Context, tenure Grant, team string, lines []Line, last time.Time) error {
	known, err := b.load(ctx, team)
	if err != nil {
		return err
	}
	if err := b.report(ctx, tenure, known); err != nil {
		return err
	}
	for _, window := range due(known.account, lines, last) {
		next := Freeze(known.account, team, window, lines, b.Retention)
		if next == nil {
			continue
		}
		if err := b.save(ctx, tenure, known, next); err != nil {
			delete(b.accounts, team) // read again what is stored
			return err
		}
		if err := b.report(ctx, tenure, known); err != nil {
			return err
		}
	}
	return nil
}

func (b *Biller) load(ctx context.Context, team string) (*stored, error) {
	if known := b.accounts[team]; known != nil {
		return known, nil
	}
	o, err := b.Store.Get(ctx, objects.KindUsage, team)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return nil, oops.With("step", "read account").Wrap(err)
	}
	known := &stored{version: o.Version}
	if err == nil {
		known.account = &Account{}
		if err := json.Unmarshal(o.Value, known.account); err != nil {
			return nil, oops.With("step", "decode account").Wrap(err)
		}
	}
	if b.accounts == nil {
		b.accounts = map[string]*stored{}
	}
	b.accounts[team] = known
	return known, nil
}

// save freezes next. After any failure, an answer lost on the way included, the
// stored account is read again before anything is reported.
func (b *Biller) save(ctx context.Context, tenure Grant, known *stored, next *Account) error {
	if !tenure.Held() {
		return ErrRoleLost
	}
	o, err := b.Store.Put(ctx, objects.KindUsage, next.Team, known.version, next)
	if err != nil {
		return oops.With("step", "freeze").Wrap(err)
	}
	known.account, known.version, known.reported = next, o.Version, false
	return nil
}

// report sends the frozen figure unless this holder has done so. A new holder
// sends it again, since it cannot know whether the last one did.
func (b *Biller) report(ctx context.Context, tenure Grant, known *stored) error {
	if known.account == nil || known.reported {
		return nil
	}
	if !tenure.Held() {
		return ErrRoleLost
	}
	report := known.account.Report()
	report.Reporter, report.Epoch = tenure.Holder, tenure.Epoch
	if err := b.Report(ctx, report, tenure.Held); err != nil {
		return oops.With("step", "report").Wrap(err)
	}
	known.reported = true
	return nil
}
