package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

// Kinds of object that batches are kept in.
const (
	KindHead     = "batches"
	KindPart     = "batch-parts"
	KindChunk    = "batch-chunks"
	KindProgress = "batch-progress"
)

// maxPartBytes bounds the items of one stored part below the largest value.
const maxPartBytes = 600 << 10

// Outcomes of calls that callers tell apart.
var (
	ErrNotFound = errors.New("no such batch")
	// ErrUnsettled means that a write may still take effect.
	ErrOutcomeUnknown = errors.New("it is not known whether the batch was stored")
	ErrTooLarge       = errors.New("an item is larger than a stored value may be")
)

// settleTimeout bounds the settling of a write whose answer was lost, within
// the time that callers wait for an acceptance.
const settleTimeout = 1500 * time.Millisecond

// Keeper stores batches.
type Store struct {
	store objects.Store
	self  string // incarnation
	// settle bounds the settling of a write whose answer was lost.
	settle time.Duration
}

// NewKeeper returns a Keeper that writes as an incarnation.
func NewStore(store objects.Store, incarnation string) *Store {
	return &Store{store: store, self: incarnation, settle: settleTimeout}
}

// Stored is a head with its version.
type Stored struct {
	Head
	ID      string
	Version objects.Version
}

// Create stores a batch. It returns the stored head and whether it was this call
// that created it. An error that is ErrUnsettled leaves open whether the batch
// exists; after any other it does not and will not.
func (k *Store) Create(ctx context.Context, s *Submission, h Head) (Stored, bool, error) {
	parts, err := split(s)
	if err != nil {
		return Stored{}, false, err
	}
	h.Parts, h.Items = len(parts), len(s.Items)
	for n := range parts {
		if err := k.createPart(ctx, partName(s.ID, n), &parts[n]); err != nil {
			return Stored{}, false, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, k.settle)
	defer cancel()
	w := objects.PutUntilDefinitive(ctx, k.store, KindHead, s.ID, 0, h)
	switch {
	case w.Outcome == objects.Done:
		return Stored{Head: h, ID: s.ID, Version: w.Object.Version}, true, nil
	case anotherFirst(w):
		found, err := k.Head(ctx, s.ID)
		return found, false, err
	case w.Outcome == objects.NotDone:
		return Stored{}, false, oops.In("batch").With("step", "store head", "batch", s.ID).Wrap(w.Err)
	}
	return Stored{}, false, oops.In("batch").With("step", "store head", "batch", s.ID).Wrap(errors.Join(ErrOutcomeUnknown, w.Err))
}

// anotherFirst reports whether another writer created the object.
func anotherFirst(w objects.PutResult) bool {
	return w.Outcome == objects.Conflict || w.Outcome == objects.Unknown && errors.Is(w.Err, objects.ErrConflict)
}

// createPart stores a part under its name. One that is there already came with
// an earlier submission of the same batch.
func (k *Store) createPart(ctx context.Context, name string, part *Submission) error {
	_, err := k.store.Put(ctx, KindPart, name, 0, part)
	if err == nil || errors.Is(err, objects.ErrConflict) {
		return nil
	}
	return oops.In("batch").With("step", "store part", "part", name).Wrap(err)
}

func split(s *Submission) ([]Submission, error) {
	var parts []Submission
	size := maxPartBytes + 1
	for i := range s.Items {
		item := &s.Items[i]
		bytes := len(item.Body)*4/3 + len(item.Path) + 512
		if bytes > maxPartBytes {
			return nil, oops.In("batch").With("batch", s.ID, "item", item.ID).Wrap(ErrTooLarge)
		}
		if size+bytes > maxPartBytes {
			part := *s
			part.Items = nil
			parts, size = append(parts, part), 0
		}
		size += bytes
		last := &parts[len(parts)-1]
		last.Items = append(last.Items, *item)
	}
	return parts, nil
}

func partName(id string, n int) string { return fmt.Sprintf("%s.%04d", id, n) }

// Locate returns a head that may be some seconds old, which tells whom to ask. Such
// a head is read from heads.
func (k *Store) Locate(ctx context.Context, heads objects.Store, id string) (Stored, error) {
	if stale, ok := heads.(objects.StaleReader); ok {
		if o, err := stale.GetStale(ctx, KindHead, id); err == nil {
			return decodeHead(o)
		}
	}
	return k.Head(ctx, id)
}

// Head returns the head of a batch.
func (k *Store) Head(ctx context.Context, id string) (Stored, error) {
	o, err := k.store.Get(ctx, KindHead, id)
	if errors.Is(err, objects.ErrNotFound) {
		return Stored{}, oops.In("batch").With("batch", id).Wrap(ErrNotFound)
	}
	if err != nil {
		return Stored{}, oops.In("batch").With("step", "read head", "batch", id).Wrap(err)
	}
	return decodeHead(o)
}

func decodeHead(o objects.Object) (Stored, error) {
	s := Stored{ID: o.Name, Version: o.Version}
	if err := json.Unmarshal(o.Value, &s.Head); err != nil {
		return s, oops.In("batch").With("step", "decode head", "batch", o.Name).Wrap(err)
	}
	return s, nil
}

// Change replaces the head of a batch by what change makes of it, until no other
// writer comes in between. change returns false when nothing is to be written.
func (k *Store) Change(ctx context.Context, id string, change func(*Head) bool) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, k.settle)
	defer cancel()
	for {
		s, err := k.Head(ctx, id)
		if err != nil || !change(&s.Head) {
			return s, err
		}
		o, err := k.store.Put(ctx, KindHead, id, s.Version, s.Head)
		if err == nil {
			s.Version = o.Version
			return s, nil
		}
		if errors.Is(err, objects.ErrConflict) {
			continue
		}
		return s, oops.In("batch").With("step", "write head", "batch", id).Wrap(err)
	}
}

// Load reads a batch's submission, the log of its results and what is kept of
// unfinished texts.
func (k *Store) Load(ctx context.Context, h Stored) (*Submission, *Ledger, map[string]Partial, error) {
	whole, err := k.submission(ctx, h)
	if err != nil {
		return nil, nil, nil, err
	}
	ledger := NewLedger(len(whole.Items))
	if err := k.CatchUp(ctx, h.ID, ledger); err != nil {
		return nil, nil, nil, err
	}
	partials, err := k.progress(ctx, h.ID)
	return whole, ledger, partials, err
}

func (k *Store) submission(ctx context.Context, h Stored) (*Submission, error) {
	var whole *Submission
	for n := range h.Parts {
		o, err := objects.GetImmutable(ctx, k.store, KindPart, partName(h.ID, n))
		if err != nil {
			return nil, oops.In("batch").With("step", "read part", "batch", h.ID, "part", n).Wrap(err)
		}
		var part Submission
		if err := json.Unmarshal(o.Value, &part); err != nil {
			return nil, oops.In("batch").With("step", "decode part", "batch", h.ID, "part", n).Wrap(err)
		}
		if whole == nil {
			whole = &part
			continue
		}
		whole.Items = append(whole.Items, part.Items...)
	}
	if whole == nil {
		whole = &Submission{ID: h.ID}
	}
	return whole, nil
}

// Body returns the body of an item, or ErrUnknown.
func (k *Store) Body(ctx context.Context, h Stored, item string) ([]byte, error) {
	whole, err := k.submission(ctx, h)
	if err != nil {
		return nil, err
	}
	for i := range whole.Items {
		if whole.Items[i].ID == item {
			return whole.Items[i].Body, nil
		}
	}
	return nil, oops.In("batch").With("batch", h.ID, "item", item).Wrap(ErrNotFound)
}

// Follow applies the next stored chunk to a ledger and reports whether there was
// one as of now.
func (k *Store) Follow(ctx context.Context, id string, l *Ledger) (bool, error) {
	return k.follow(ctx, id, l, k.store.Get)
}

// CatchUp applies all stored chunks behind the known ones.
func (k *Store) CatchUp(ctx context.Context, id string, l *Ledger) error {
	lasting := func(ctx context.Context, kind, name string) (objects.Object, error) {
		return objects.GetImmutable(ctx, k.store, kind, name)
	}
	for {
		if more, err := k.follow(ctx, id, l, lasting); err != nil || !more {
			return err
		}
	}
}

func (k *Store) follow(ctx context.Context, id string, l *Ledger, get func(context.Context, string, string) (objects.Object, error)) (bool, error) {
	o, err := get(ctx, KindChunk, partName(id, l.Chunks()))
	if errors.Is(err, objects.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, oops.In("batch").With("step", "read chunk", "batch", id, "chunk", l.Chunks()).Wrap(err)
	}
	var c chunk
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return false, oops.In("batch").With("step", "decode chunk", "batch", id, "chunk", l.Chunks()).Wrap(err)
	}
	l.Apply(c.Results)
	return true, nil
}

// Append stores the next chunk of results. written is false when another writer
// stored that chunk first, which must be followed.
func (k *Store) Append(ctx context.Context, id string, n int, results []Result) (written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.settle)
	defer cancel()
	w := objects.PutUntilDefinitive(ctx, k.store, KindChunk, partName(id, n), 0, chunk{By: k.self, Results: results})
	switch {
	case w.Outcome == objects.Done:
		return true, nil
	case anotherFirst(w):
		return false, nil
	}
	return false, oops.In("batch").With("step", "store chunk", "batch", id, "chunk", n).Wrap(w.Err)
}

// SaveProgress keeps the texts of unfinished items for the next owner. expect is
// the version of those kept before; 0 when it is not known.
func (k *Store) SaveProgress(ctx context.Context, id string, expect objects.Version, partials map[string]Partial) (objects.Version, error) {
	if expect == 0 {
		o, err := k.store.Get(ctx, KindProgress, id)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return 0, oops.In("batch").With("step", "read progress", "batch", id).Wrap(err)
		}
		expect = o.Version
	}
	o, err := k.store.Put(ctx, KindProgress, id, expect, trimmed(partials))
	if err != nil {
		return 0, oops.In("batch").With("step", "store progress", "batch", id).Wrap(err)
	}
	return o.Version, nil
}

// trimmed returns the longest texts that a stored value holds.
func trimmed(partials map[string]Partial) map[string]Partial {
	ids := slices.Collect(maps.Keys(partials))
	slices.SortFunc(ids, func(a, b string) int { return len(partials[b].Text) - len(partials[a].Text) })
	kept, size := map[string]Partial{}, 0
	for _, id := range ids {
		size += len(partials[id].Text) + 128
		if size > maxChunkBytes {
			break
		}
		kept[id] = partials[id]
	}
	return kept
}

func (k *Store) progress(ctx context.Context, id string) (map[string]Partial, error) {
	o, err := k.store.Get(ctx, KindProgress, id)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, oops.In("batch").With("step", "read progress", "batch", id).Wrap(err)
	}
	partials := map[string]Partial{}
	if err := json.Unmarshal(o.Value, &partials); err != nil {
		return nil, oops.In("batch").With("step", "decode progress", "batch", id).Wrap(err)
	}
	return partials, nil
}

// Erase removes all that is stored of a batch; the head goes last.
func (k *Store) Erase(ctx context.Context, h Stored, chunks int) error {
	var errs []error
	remove := func(kind, name string) {
		o, err := k.store.Get(ctx, kind, name)
		if err == nil {
			err = k.store.Delete(ctx, kind, name, o.Version)
		}
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			errs = append(errs, err)
		}
	}
	for n := range chunks {
		remove(KindChunk, partName(h.ID, n))
	}
	for n := range h.Parts {
		remove(KindPart, partName(h.ID, n))
	}
	remove(KindProgress, h.ID)
	if len(errs) == 0 {
		remove(KindHead, h.ID)
	}
	return errors.Join(errs...)
}
