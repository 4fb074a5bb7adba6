package batch

import (
	"cmp"
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

// Kinds of stored objects.
const (
	KindHead     = "batches"
	KindPart     = "batch-parts"
	KindChunk    = "batch-chunks"
	KindProgress = "batch-progress"
)

// Errors returned by this package.
var (
	ErrNotFound = errors.New("no such batch")
	// ErrOutcomeUnknown means that it is not known whether a write takes effect, now
	// or later.
	ErrOutcomeUnknown = errors.New("it is not known whether the batch or its change was stored")
	ErrTooLarge       = errors.New("the batch or one of its items cannot be stored because of its size")
	// ErrNoRoom means that the open batches take too much memory. The batch may have been
	// accepted before.
	ErrNoRoom = errors.New("the open batches take too much memory")
)

// writeTimeout limits the time to write an object and, if a response is lost, to
// determine the outcome of the write. It is shorter than the time that callers wait for
// a submission to be accepted.
const writeTimeout = 1500 * time.Millisecond

// Store reads and writes batches in an object store.
type Store struct {
	objects     objects.Store
	incarnation string // incarnation of this instance
	// writeTimeout is the constant of the same name except in tests.
	writeTimeout time.Duration
}

// NewStore returns a Store that writes on behalf of an incarnation of this instance.
func NewStore(store objects.Store, incarnation string) *Store {
	return &Store{objects: store, incarnation: incarnation, writeTimeout: writeTimeout}
}

// Stored is a stored head with the ID of its batch and its version.
type Stored struct {
	Head
	ID      string
	Version objects.Version
	// readAt is a time of the boot clock before the head was read from the store or
	// written to it; zero if it came from elsewhere.
	readAt time.Time
}

// Create stores a batch. It returns the stored head and whether this call created it.
// On ErrOutcomeUnknown the batch may exist or appear later; on any other error it does
// not exist and will not.
func (st *Store) Create(ctx context.Context, s *Submission, h Head) (Stored, bool, error) {
	parts, err := splitParts(s)
	if err != nil {
		return Stored{}, false, err
	}
	h.Parts, h.Items = len(parts), len(s.Items)
	for n := range parts {
		if err := st.createPart(ctx, numberedName(s.ID, n), &parts[n]); err != nil {
			return Stored{}, false, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, st.writeTimeout)
	defer cancel()
	w := objects.PutUntilDefinitive(ctx, st.objects, KindHead, s.ID, 0, h)
	switch {
	case w.Outcome == objects.Done:
		return Stored{Head: h, ID: s.ID, Version: w.Object.Version}, true, nil
	case createdByOther(w):
		found, err := st.Head(ctx, s.ID)
		if err != nil { // the batch was accepted
			err = errors.Join(ErrOutcomeUnknown, err)
		}
		return found, false, err
	case w.Outcome == objects.NotDone:
		return Stored{}, false, oops.In("batch").With("step", "store head", "batch", s.ID).Wrap(tooLargeIfRejected(w.Err))
	}
	return Stored{}, false, oops.In("batch").With("step", "store head", "batch", s.ID).Wrap(errors.Join(ErrOutcomeUnknown, w.Err))
}

// createdByOther reports whether another writer created the object first.
func createdByOther(w objects.PutResult) bool {
	return w.Outcome == objects.Conflict || w.Outcome == objects.Unknown && errors.Is(w.Err, objects.ErrConflict)
}

// createPart stores a part. An existing part of this name comes from an earlier
// submission of the same batch and is kept.
func (st *Store) createPart(ctx context.Context, name string, part *Submission) error {
	_, err := st.objects.Put(ctx, KindPart, name, 0, part)
	if err == nil || errors.Is(err, objects.ErrConflict) {
		return nil
	}
	return oops.In("batch").With("step", "store part", "part", name).Wrap(tooLargeIfRejected(err))
}

// tooLargeIfRejected adds ErrTooLarge to the error of a write that the store rejects each time.
func tooLargeIfRejected(err error) error {
	if errors.Is(err, objects.ErrRejected) {
		return errors.Join(ErrTooLarge, err)
	}
	return err
}

// splitParts splits a submission into parts that fit into stored values.
func splitParts(s *Submission) ([]Submission, error) {
	var parts []Submission
	header := *s
	header.Items = nil
	envelope, size := encodedSize(header), maxPartBytes+1
	for i := range s.Items {
		item := &s.Items[i]
		bytes := item.encodedSize() + entryOverhead
		if envelope+bytes > maxValueBytes {
			return nil, oops.In("batch").With("batch", s.ID, "item", item.ID).Wrap(ErrTooLarge)
		}
		if size+bytes > maxPartBytes {
			parts, size = append(parts, header), envelope
		}
		size += bytes
		last := &parts[len(parts)-1]
		last.Items = append(last.Items, *item)
	}
	return parts, nil
}

// numberedName returns the name of the n-th part or chunk of a batch.
func numberedName(id string, n int) string { return fmt.Sprintf("%s.%04d", id, n) }

// StaleHead returns a head that may be some seconds old, which is enough to find the
// owner to call. It is read from heads if that is an objects.StaleReader and has it,
// and otherwise from the store.
func (st *Store) StaleHead(ctx context.Context, heads objects.Store, id string) (Stored, error) {
	if stale, ok := heads.(objects.StaleReader); ok {
		if o, err := stale.GetStale(ctx, KindHead, id); err == nil {
			return decodeHead(o)
		}
	}
	return st.Head(ctx, id)
}

// Head returns the current head of a batch, or ErrNotFound.
func (st *Store) Head(ctx context.Context, id string) (Stored, error) {
	o, err := st.objects.Get(ctx, KindHead, id)
	if errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrRejected) { // no object can have a rejected name
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

// UpdateHead applies change to the head of a batch and writes it, repeating both on
// conflicts with other writers. If change returns false, nothing is written. It returns
// the resulting head. On ErrOutcomeUnknown the change may take effect, now or later.
func (st *Store) UpdateHead(ctx context.Context, id string, change func(*Head) bool) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, st.writeTimeout)
	defer cancel()
	for {
		s, err := st.Head(ctx, id)
		if err != nil || !change(&s.Head) {
			return s, err
		}
		o, err := st.objects.Put(ctx, KindHead, id, s.Version, s.Head)
		if err == nil {
			s.Version = o.Version
			return s, nil
		}
		if errors.Is(err, objects.ErrConflict) {
			continue
		}
		if objects.OutcomeOf(err) == objects.Unknown {
			err = errors.Join(ErrOutcomeUnknown, err)
		}
		return s, oops.In("batch").With("step", "write head", "batch", id).Wrap(err)
	}
}

// Load reads a batch's submission, the log of its results and the stored texts of its
// unfinished items.
func (st *Store) Load(ctx context.Context, h Stored) (*Submission, *ResultLog, map[string]Partial, error) {
	sub, err := st.loadSubmission(ctx, h)
	if err != nil {
		return nil, nil, nil, err
	}
	results := NewResultLog(len(sub.Items))
	if err := st.CatchUp(ctx, h.ID, results); err != nil {
		return nil, nil, nil, err
	}
	partials, err := st.loadProgress(ctx, h.ID)
	return sub, results, partials, err
}

func (st *Store) loadSubmission(ctx context.Context, h Stored) (*Submission, error) {
	var sub *Submission
	for n := range h.Parts {
		o, err := objects.GetImmutable(ctx, st.objects, KindPart, numberedName(h.ID, n))
		if err != nil {
			return nil, oops.In("batch").With("step", "read part", "batch", h.ID, "part", n).Wrap(err)
		}
		var part Submission
		if err := json.Unmarshal(o.Value, &part); err != nil {
			return nil, oops.In("batch").With("step", "decode part", "batch", h.ID, "part", n).Wrap(err)
		}
		if sub == nil {
			sub = &part
			continue
		}
		sub.Items = append(sub.Items, part.Items...)
	}
	if sub == nil {
		sub = &Submission{ID: h.ID}
	}
	return sub, nil
}

// Body returns the body of an item, or ErrNotFound.
func (st *Store) Body(ctx context.Context, h Stored, item string) ([]byte, error) {
	sub, err := st.loadSubmission(ctx, h)
	if err != nil {
		return nil, err
	}
	for i := range sub.Items {
		if sub.Items[i].ID == item {
			return sub.Items[i].Body, nil
		}
	}
	return nil, oops.In("batch").With("batch", h.ID, "item", item).Wrap(ErrNotFound)
}

// ApplyNext applies the next stored chunk to a result log and reports whether there
// was one.
func (st *Store) ApplyNext(ctx context.Context, id string, results *ResultLog) (bool, error) {
	return st.applyNext(ctx, id, results, st.objects.Get)
}

// CatchUp applies all further stored chunks to a result log.
func (st *Store) CatchUp(ctx context.Context, id string, results *ResultLog) error {
	getImmutable := func(ctx context.Context, kind, name string) (objects.Object, error) {
		return objects.GetImmutable(ctx, st.objects, kind, name)
	}
	for {
		if more, err := st.applyNext(ctx, id, results, getImmutable); err != nil || !more {
			return err
		}
	}
}

func (st *Store) applyNext(ctx context.Context, id string, results *ResultLog, get func(context.Context, string, string) (objects.Object, error)) (bool, error) {
	o, err := get(ctx, KindChunk, numberedName(id, results.Chunks()))
	if errors.Is(err, objects.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, oops.In("batch").With("step", "read chunk", "batch", id, "chunk", results.Chunks()).Wrap(err)
	}
	var c chunk
	if err := json.Unmarshal(o.Value, &c); err != nil {
		return false, oops.In("batch").With("step", "decode chunk", "batch", id, "chunk", results.Chunks()).Wrap(err)
	}
	results.Apply(c.Results)
	return true, nil
}

// Append stores the n-th chunk of results. written is false if another writer stored
// that chunk first; the caller must apply that chunk before it appends again.
func (st *Store) Append(ctx context.Context, id string, n int, results []Result) (written bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, st.writeTimeout)
	defer cancel()
	w := objects.PutUntilDefinitive(ctx, st.objects, KindChunk, numberedName(id, n), 0, chunk{By: st.incarnation, Results: results})
	switch {
	case w.Outcome == objects.Done:
		return true, nil
	case createdByOther(w):
		return false, nil
	}
	return false, oops.In("batch").With("step", "store chunk", "batch", id, "chunk", n).Wrap(w.Err)
}

// SaveProgress stores the texts of unfinished items for the next owner and returns their
// version. expect is the version of the texts stored before, or 0 if it is not known.
func (st *Store) SaveProgress(ctx context.Context, id string, expect objects.Version, partials map[string]Partial) (objects.Version, error) {
	if expect == 0 {
		o, err := st.objects.Get(ctx, KindProgress, id)
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			return 0, oops.In("batch").With("step", "read progress", "batch", id).Wrap(err)
		}
		expect = o.Version
	}
	o, err := st.objects.Put(ctx, KindProgress, id, expect, longestPartials(partials))
	if err != nil {
		return 0, oops.In("batch").With("step", "store progress", "batch", id).Wrap(err)
	}
	return o.Version, nil
}

// longestPartials returns the items that have failed and the longest texts, as many as fit into a
// stored value. Of an item that has failed and doesn't fit, the failures remain.
func longestPartials(partials map[string]Partial) map[string]Partial {
	ids := slices.Collect(maps.Keys(partials))
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(compareBool(partials[b].Failures > 0, partials[a].Failures > 0), len(partials[b].Text)-len(partials[a].Text))
	})
	longest, size := map[string]Partial{}, 0
	add := func(id string, p Partial) bool {
		bytes := encodedSize(map[string]Partial{id: p})
		if size+bytes > maxProgressBytes {
			return false
		}
		longest[id], size = p, size+bytes
		return true
	}
	for _, id := range ids {
		if p := partials[id]; !add(id, p) && p.Failures > 0 {
			add(id, Partial{Last: noEvent, Failures: p.Failures})
		}
	}
	return longest
}

func (st *Store) loadProgress(ctx context.Context, id string) (map[string]Partial, error) {
	o, err := st.objects.Get(ctx, KindProgress, id)
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

// Delete deletes all objects of a batch. The head is deleted last, and only if the other
// deletions succeeded.
func (st *Store) Delete(ctx context.Context, h Stored, chunks int) error {
	var errs []error
	remove := func(kind, name string) {
		o, err := st.objects.Get(ctx, kind, name)
		if err == nil {
			err = st.objects.Delete(ctx, kind, name, o.Version)
		}
		if err != nil && !errors.Is(err, objects.ErrNotFound) {
			errs = append(errs, err)
		}
	}
	for n := range chunks {
		remove(KindChunk, numberedName(h.ID, n))
	}
	for n := range h.Parts {
		remove(KindPart, numberedName(h.ID, n))
	}
	remove(KindProgress, h.ID)
	if len(errs) == 0 {
		remove(KindHead, h.ID)
	}
	return errors.Join(errs...)
}
