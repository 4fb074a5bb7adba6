package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
)

const (
	// kindHistory is the kind of the objects that hold one history per deployment.
	kindHistory = "history"
	// maxHistoryBytes limits the stored history to well below the maximum object
	// size.
	maxHistoryBytes = 512 << 10
	// maxHistoryAttempts limits the conditional updates of the history by one command.
	maxHistoryAttempts = 5
)

// History returns the retained history of accepted revisions of a deployment, oldest
// first. It also stores entries that an earlier apply failed to store.
func (o *Operator) History(ctx context.Context, deployment string) ([]contract.HistoryEntry, error) {
	accepted, _, err := o.Accepted(ctx, deployment)
	if err != nil {
		return nil, err
	}
	return o.storeHistory(ctx, deployment, accepted.Recent)
}

// storeHistory merges entries into the stored history. If another operator updates
// the history at the same time, it repeats the conditional update.
func (o *Operator) storeHistory(ctx context.Context, deployment string, recent []contract.HistoryEntry) ([]contract.HistoryEntry, error) {
	for range maxHistoryAttempts {
		stored, version, err := o.storedHistory(ctx, deployment)
		if err != nil {
			return nil, err
		}
		merged, added := mergeHistory(stored, recent)
		if !added {
			return merged, nil
		}
		_, err = o.Store.Put(ctx, kindHistory, deployment, version, merged)
		if err == nil {
			return merged, nil
		}
		if !errors.Is(err, objects.ErrConflict) {
			return merged, oops.In("operator").With("step", "store history").Wrap(err)
		}
	}
	return nil, oops.In("operator").With("step", "store history").Errorf("the history was changed by other operators in each of %d attempts; the next apply or history command tries again", maxHistoryAttempts)
}

func (o *Operator) storedHistory(ctx context.Context, deployment string) ([]contract.HistoryEntry, objects.Version, error) {
	object, err := o.Store.Get(ctx, kindHistory, deployment)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var stored []contract.HistoryEntry
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return nil, 0, oops.In("operator").With("step", "decode history").Wrap(err)
	}
	return stored, object.Version, nil
}

// mergeHistory adds the entries of recent whose revision is not in stored and reports
// whether there were any. It removes the oldest entries if the result exceeds
// maxHistoryBytes.
func mergeHistory(stored, recent []contract.HistoryEntry) ([]contract.HistoryEntry, bool) {
	merged := slices.Clone(stored)
	for _, e := range recent {
		if !slices.ContainsFunc(stored, func(s contract.HistoryEntry) bool { return s.Revision == e.Revision }) {
			merged = append(merged, e)
		}
	}
	slices.SortFunc(merged, func(a, b contract.HistoryEntry) int { return cmp.Compare(a.Revision, b.Revision) })
	added := len(merged) > len(stored)
	for encodedSize(merged) > maxHistoryBytes {
		merged = merged[len(merged)/4+1:]
	}
	return merged, added
}

// encodedSize returns the size of v as JSON, in bytes.
func encodedSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(data)
}

// PrintHistory prints the entries, newest first. It reverses entries in place.
func (o *Operator) PrintHistory(entries []contract.HistoryEntry) error {
	slices.Reverse(entries)
	if o.JSON {
		return o.PrintJSON(entries)
	}
	for _, e := range entries {
		fmt.Fprintf(o.Out, "revision %d by %s at %s\n", e.Revision, e.By, e.At.Format("2006-01-02 15:04:05Z"))
		for _, c := range e.Changes {
			fmt.Fprintf(o.Out, "  %s\n", c)
		}
		if e.Omitted > 0 {
			fmt.Fprintf(o.Out, "  and %d more\n", e.Omitted)
		}
	}
	return nil
}

// plural returns "1 noun" or "n nouns".
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, strings.TrimSuffix(noun, "s"))
}
