package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/platform"
)

// kindStep holds the specs of open steps.
const kindStep = "step"

// book reads and writes what a run keeps in the platform.
type book struct{ store platform.Store }

func (b book) ledger(ctx context.Context, run string) (*Ledger, platform.Version, error) {
	o, err := b.store.Get(ctx, platform.KindRun, run)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, ErrUnknownRun
	}
	if err != nil {
		return nil, 0, oops.In("rollout").With("step", "read ledger", "run", run).Wrap(err)
	}
	l := &Ledger{}
	if err := json.Unmarshal(o.Value, l); err != nil {
		return nil, 0, oops.In("rollout").With("step", "decode ledger", "run", run).Wrap(err)
	}
	return l, o.Version, nil
}

func (b book) save(ctx context.Context, l *Ledger, expect platform.Version) (platform.Version, error) {
	o, err := b.store.Put(ctx, platform.KindRun, l.Run, expect, l)
	if err != nil {
		return 0, oops.In("rollout").With("step", "write ledger", "run", l.Run).Wrap(err)
	}
	return o.Version, nil
}

// create writes an object that never changes. One that exists has the same
// content, since its name tells the content.
func (b book) create(ctx context.Context, kind, name string, value any) error {
	_, err := b.store.Put(ctx, kind, name, 0, value)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return oops.In("rollout").With("step", "write "+kind, "object", name).Wrap(err)
	}
	return nil
}

func (b book) read(ctx context.Context, kind, name string, into any) error {
	o, err := b.store.Get(ctx, kind, name)
	if err != nil {
		return oops.In("rollout").With("step", "read "+kind, "object", name).Wrap(err)
	}
	if err := json.Unmarshal(o.Value, into); err != nil {
		return oops.In("rollout").With("step", "decode "+kind, "object", name).Wrap(err)
	}
	return nil
}

func stepObject(run string, step int64, hash string) string {
	return fmt.Sprintf("%s-%d-%.16s", run, step, hash)
}

func batchObject(run string, number int64, hash string) string {
	return fmt.Sprintf("%s-%d-%.16s", run, number, hash)
}
