package usage

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// DefaultRetention is how long an account keeps the totals of a source that sends no
// data. A source that was unreachable for longer must restart under a new name, since
// its totals would be billed again.
const DefaultRetention = 24 * time.Hour

// ErrRoleLost means that the billing role was lost during billing.
var ErrRoleLost = errors.New("billing role is no longer held")

// ReportFunc sends a report unless held returns false before the report is sent
// completely.
type ReportFunc func(ctx context.Context, r objects.UsageReport, held func() bool) error

// Biller freezes and reports windows. Only the holder of the billing role may use it. It
// is not safe for concurrent use.
type Biller struct {
	Store     objects.Store
	Report    ReportFunc
	Retention time.Duration

	accounts map[string]*storedAccount // by team
}

// storedAccount is the last state of an account that this holder read or wrote.
type storedAccount struct {
	account  *Account // nil if the team has none yet
	version  objects.Version
	reported bool // whether this holder has reported the account's window
}

// Grant is the holder's grant of the billing role.
type Grant struct {
	Holder string
	Epoch  int64
	// Held reports whether the role is still held, with enough time left for one
	// write or report.
	Held func() bool
}

// Close freezes and reports, for each team in lines, all windows up to last that are not
// frozen yet. After a failure it continues with the other teams. It returns all errors.
func (b *Biller) Close(ctx context.Context, grant Grant, lines []Line, last time.Time) error {
	var failures []error
	for team, teamLines := range groupByTeam(lines) {
		if err := b.closeTeam(ctx, grant, team, teamLines, last); err != nil {
			failures = append(failures, oops.In("usage").With("team", team).Wrap(err))
		}
	}
	return errors.Join(failures...)
}

// Reset discards the cached accounts. It must be called when the role is acquired again,
// since another holder may have changed the stored accounts.
func (b *Biller) Reset() { b.accounts = nil }

// closeTeam reports the frozen window of a team if needed, then freezes and reports the
// windows that are due.
func (b *Biller) closeTeam(ctx context.Context, grant Grant, team string, lines []Line, last time.Time) error {
	current, err := b.loadAccount(ctx, team)
	if err != nil {
		return err
	}
	if err := b.reportAccount(ctx, grant, current); err != nil {
		return err
	}
	for _, window := range dueWindows(current.account, lines, last) {
		next := Freeze(current.account, team, window, lines, b.Retention)
		if next == nil {
			continue
		}
		if err := b.saveAccount(ctx, grant, current, next); err != nil {
			delete(b.accounts, team) // the next Close reads the stored account
			return err
		}
		if err := b.reportAccount(ctx, grant, current); err != nil {
			return err
		}
	}
	return nil
}

// loadAccount returns the cached account of a team, or reads it from the store.
func (b *Biller) loadAccount(ctx context.Context, team string) (*storedAccount, error) {
	if known := b.accounts[team]; known != nil {
		return known, nil
	}
	o, err := b.Store.Get(ctx, objects.KindUsage, team)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return nil, oops.With("step", "read account").Wrap(err)
	}
	loaded := &storedAccount{version: o.Version}
	if err == nil {
		loaded.account = &Account{}
		if err := json.Unmarshal(o.Value, loaded.account); err != nil {
			return nil, oops.With("step", "decode account").Wrap(err)
		}
	}
	if b.accounts == nil {
		b.accounts = map[string]*storedAccount{}
	}
	b.accounts[team] = loaded
	return loaded, nil
}

// saveAccount stores next, which freezes its window. After any failure, including a lost
// response, the stored account must be read again before anything is reported.
func (b *Biller) saveAccount(ctx context.Context, grant Grant, current *storedAccount, next *Account) error {
	if !grant.Held() {
		return ErrRoleLost
	}
	o, err := b.Store.Put(ctx, objects.KindUsage, next.Team, current.version, next)
	if err != nil {
		return oops.With("step", "freeze").Wrap(err)
	}
	current.account, current.version, current.reported = next, o.Version, false
	return nil
}

// reportAccount reports the frozen window unless this holder has already done so. A new
// holder reports it again, since it does not know whether the previous holder did.
func (b *Biller) reportAccount(ctx context.Context, grant Grant, current *storedAccount) error {
	if current.account == nil || current.reported {
		return nil
	}
	if !grant.Held() {
		return ErrRoleLost
	}
	report := current.account.Report()
	report.Reporter, report.Epoch = grant.Holder, grant.Epoch
	if err := b.Report(ctx, report, grant.Held); err != nil {
		return oops.With("step", "report").Wrap(err)
	}
	current.reported = true
	return nil
}
