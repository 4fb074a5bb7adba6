package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

const (
	// kindStep holds the specs of open steps.
	kindStep = "step"
	// partBytes keeps a part, encoded as base64, within one platform object.
	partBytes = 512 << 10
	// storeTimeout bounds one change of the ledger, reads to settle it included.
	storeTimeout = 10 * time.Second
)

// Read returns the stored ledger of a run with its version, or ErrUnknownRun.
func Read(ctx context.Context, store objects.Store, run string) (*Ledger, objects.Version, error) {
	return book{store}.ledger(ctx, run)
}

// book reads and writes what a run keeps in the platform.
type book struct{ store objects.Store }

func (b book) ledger(ctx context.Context, run string) (*Ledger, objects.Version, error) {
	o, err := b.store.Get(ctx, objects.KindRun, run)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, 0, ErrUnknownRun
	}
	if err != nil {
		return nil, 0, oops.In("rollout").With("step", "read ledger", "run", run).Wrap(unavailable(err))
	}
	l := &Ledger{}
	if err := json.Unmarshal(o.Value, l); err != nil {
		return nil, 0, oops.In("rollout").With("step", "decode ledger", "run", run).Wrap(err)
	}
	return l, o.Version, nil
}

func (b book) save(ctx context.Context, l *Ledger, expect objects.Version) (objects.Version, error) {
	o, err := b.store.Put(ctx, objects.KindRun, l.Run, expect, l)
	if err != nil {
		return 0, oops.In("rollout").With("step", "write ledger", "run", l.Run).Wrap(err)
	}
	return o.Version, nil
}

// part is the stored form of a piece of a blob.
type part struct {
	Data []byte `json:"data"`
	Last bool   `json:"last"`
}

func partName(name string, index int) string { return fmt.Sprintf("%s-%d", name, index) }

// write stores data under a name that never stands for anything else, so a part
// that exists already has the same content.
func (b book) write(ctx context.Context, kind, name string, data []byte) (Blob, error) {
	blob := Blob{Kind: kind, Name: name}
	for last := false; !last; {
		piece := data[:min(partBytes, len(data))]
		data = data[len(piece):]
		last = len(data) == 0
		o, err := b.store.Put(ctx, kind, partName(name, len(blob.Parts)), 0, part{Data: piece, Last: last})
		if err != nil && !errors.Is(err, objects.ErrConflict) {
			return blob, oops.In("rollout").With("step", "write "+kind, "object", name).Wrap(unavailable(err))
		}
		blob.Parts = append(blob.Parts, o.Version)
	}
	return blob, nil
}

// read returns the data of a blob. Content that does not have the hash is an error.
func (b book) read(ctx context.Context, blob Blob, hash string) ([]byte, error) {
	var data []byte
	for index := range blob.Parts {
		o, err := b.store.Get(ctx, blob.Kind, partName(blob.Name, index))
		if err != nil {
			return nil, oops.In("rollout").With("step", "read "+blob.Kind, "object", blob.Name).Wrap(unavailable(err))
		}
		var piece part
		if err := json.Unmarshal(o.Value, &piece); err != nil {
			return nil, oops.In("rollout").With("step", "decode "+blob.Kind, "object", blob.Name).Wrap(err)
		}
		data = append(data, piece.Data...)
	}
	if hashOf(data) != hash {
		return nil, oops.In("rollout").With("step", "check "+blob.Kind, "object", blob.Name).Errorf("stored content is damaged")
	}
	return data, nil
}

// remove deletes a blob. It may be repeated.
func (b book) remove(ctx context.Context, blob Blob) error {
	for index := 0; len(blob.Parts) == 0 || index < len(blob.Parts); index++ {
		version, err := b.partVersion(ctx, blob, index)
		if err == nil {
			err = b.store.Delete(ctx, blob.Kind, partName(blob.Name, index), version)
		}
		if errors.Is(err, objects.ErrNotFound) && len(blob.Parts) == 0 {
			return nil
		}
		gone := errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrConflict)
		if err != nil && !gone {
			return oops.In("rollout").With("step", "delete "+blob.Kind, "object", blob.Name).Wrap(unavailable(err))
		}
	}
	return nil
}

func (b book) partVersion(ctx context.Context, blob Blob, index int) (objects.Version, error) {
	if index < len(blob.Parts) && blob.Parts[index] != 0 {
		return blob.Parts[index], nil
	}
	o, err := b.store.Get(ctx, blob.Kind, partName(blob.Name, index))
	return o.Version, err
}
