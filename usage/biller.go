package usage

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/platform"
)

// Frozen is the stored, final figure of a team and window.
type Frozen struct {
	Report   platform.UsageReport `json:"report"`
	Reported bool                 `json:"reported"`
}

// Biller freezes and reports windows. Only the holder of the billing role runs it.
type Biller struct {
	Store    platform.Store
	Reporter platform.Reporter
}

// Close freezes and reports one team's window. If another holder has frozen it
// before, that figure is the one reported.
func (b *Biller) Close(ctx context.Context, report platform.UsageReport) error {
	frozen, version, err := b.freeze(ctx, report)
	if err != nil {
		return err
	}
	if frozen.Reported {
		return nil
	}
	if err := b.Reporter.ReportUsage(ctx, frozen.Report); err != nil {
		return oops.In("usage").With("step", "report", "team", report.Team).Wrap(err)
	}
	frozen.Reported = true
	_, err = b.Store.Put(ctx, platform.KindUsage, objectName(report), version, frozen)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return oops.In("usage").With("step", "mark", "team", report.Team).Wrap(err)
	}
	return nil
}

func (b *Biller) freeze(ctx context.Context, report platform.UsageReport) (Frozen, platform.Version, error) {
	frozen := Frozen{Report: report}
	o, err := b.Store.Put(ctx, platform.KindUsage, objectName(report), 0, frozen)
	if err == nil {
		return frozen, o.Version, nil
	}
	o, err = b.Store.Get(ctx, platform.KindUsage, objectName(report))
	if err != nil {
		return Frozen{}, 0, oops.In("usage").With("step", "freeze", "team", report.Team).Wrap(err)
	}
	if err := json.Unmarshal(o.Value, &frozen); err != nil {
		return Frozen{}, 0, oops.In("usage").With("step", "decode", "team", report.Team).Wrap(err)
	}
	return frozen, o.Version, nil
}

func objectName(r platform.UsageReport) string {
	return r.Team + "-" + r.Window.UTC().Format("20060102T150405Z")
}

// Reports sums the counts of all instances into a report for each team of a window.
func Reports(window time.Time, all []Counts) []platform.UsageReport {
	teams := map[string]platform.UsageReport{}
	for _, counts := range all {
		for account, figure := range counts {
			if !account.Window.Equal(window) {
				continue
			}
			report, ok := teams[account.Team]
			if !ok {
				report = platform.UsageReport{Team: account.Team, Window: window, Figures: map[string]platform.UsageFigure{}}
			}
			report.Figures[account.Service] = sum(report.Figures[account.Service], figure)
			teams[account.Team] = report
		}
	}
	reports := make([]platform.UsageReport, 0, len(teams))
	for _, report := range teams {
		reports = append(reports, report)
	}
	return reports
}

func sum(a, b platform.UsageFigure) platform.UsageFigure {
	a.Requests += b.Requests
	a.PromptTokens += b.PromptTokens
	a.OutputTokens += b.OutputTokens
	a.LateRequests += b.LateRequests
	a.LateTokens += b.LateTokens
	return a
}
