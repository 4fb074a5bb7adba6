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
	// kindStep is the kind of stored object that holds the specs of open steps.
	kindStep = "step"
	// maxPartBytes is the size of a blob part before encoding. As base64 it still
	// fits into one platform object.
	maxPartBytes = 512 << 10
	// storeTimeout limits one update of the ledger, including the reads that
	// resolve an unknown outcome.
	storeTimeout = 10 * time.Second
)

// Read returns the stored ledger of a run and its object version. It returns
// ErrUnknownRun if there is none and ErrUnavailable if the store cannot be read.
func Read(ctx context.Context, store objects.Store, run string) (*Ledger, objects.Version, error) {
	return ledgerStore{store}.readLedger(ctx, run)
}

// ledgerStore reads and writes the ledgers and blobs of runs on the platform.
type ledgerStore struct{ store objects.Store }

func (s ledgerStore) readLedger(ctx context.Context, run string) (*Ledger, objects.Version, error) {
	o, err := s.store.Get(ctx, objects.KindRun, run)
	if errors.Is(err, objects.ErrNotFound) {
		return nil, 0, ErrUnknownRun
	}
	if err != nil {
		return nil, 0, oops.In("rollout").With("step", "read ledger", "run", run).Wrap(wrapUnavailable(err))
	}
	l := &Ledger{}
	if err := json.Unmarshal(o.Value, l); err != nil {
		return nil, 0, oops.In("rollout").With("step", "decode ledger", "run", run).Wrap(err)
	}
	return l, o.Version, nil
}

func (s ledgerStore) writeLedger(ctx context.Context, l *Ledger, expect objects.Version) (objects.Version, error) {
	o, err := s.store.Put(ctx, objects.KindRun, l.Run, expect, l)
	if err != nil {
		return 0, oops.In("rollout").With("step", "write ledger", "run", l.Run).Wrap(err)
	}
	return o.Version, nil
}

// blobPart is the stored form of one part of a blob.
type blobPart struct {
	Data []byte `json:"data"`
	Last bool   `json:"last"`
}

func partName(name string, index int) string { return fmt.Sprintf("%s-%d", name, index) }

// writeBlob stores data in parts under name. Names are never reused for other
// data, so a part that already exists has the same content and a conflict is not
// an error. On error it returns the blob with the parts written so far.
func (s ledgerStore) writeBlob(ctx context.Context, kind, name string, data []byte) (Blob, error) {
	blob := Blob{Kind: kind, Name: name}
	for last := false; !last; {
		part := data[:min(maxPartBytes, len(data))]
		data = data[len(part):]
		last = len(data) == 0
		o, err := s.store.Put(ctx, kind, partName(name, len(blob.Parts)), 0, blobPart{Data: part, Last: last})
		if err != nil && !errors.Is(err, objects.ErrConflict) {
			return blob, oops.In("rollout").With("step", "write "+kind, "object", name).Wrap(wrapUnavailable(err))
		}
		blob.Parts = append(blob.Parts, o.Version)
	}
	return blob, nil
}

// readBlob returns the data of a blob. It is an error if the data does not match
// hash.
func (s ledgerStore) readBlob(ctx context.Context, blob Blob, hash string) ([]byte, error) {
	var data []byte
	for index := range blob.Parts {
		o, err := s.store.Get(ctx, blob.Kind, partName(blob.Name, index))
		if err != nil {
			return nil, oops.In("rollout").With("step", "read "+blob.Kind, "object", blob.Name).Wrap(wrapUnavailable(err))
		}
		var part blobPart
		if err := json.Unmarshal(o.Value, &part); err != nil {
			return nil, oops.In("rollout").With("step", "decode "+blob.Kind, "object", blob.Name).Wrap(err)
		}
		data = append(data, part.Data...)
	}
	if contentHash(data) != hash {
		return nil, oops.In("rollout").With("step", "check "+blob.Kind, "object", blob.Name).Errorf("stored data does not match its hash")
	}
	return data, nil
}

// deleteBlob deletes all parts of a blob. It is idempotent. A blob without known
// parts is deleted part by part until one does not exist.
func (s ledgerStore) deleteBlob(ctx context.Context, blob Blob) error {
	for index := 0; len(blob.Parts) == 0 || index < len(blob.Parts); index++ {
		version, err := s.partVersion(ctx, blob, index)
		if err == nil {
			err = s.store.Delete(ctx, blob.Kind, partName(blob.Name, index), version)
		}
		if errors.Is(err, objects.ErrNotFound) && len(blob.Parts) == 0 {
			return nil
		}
		absent := errors.Is(err, objects.ErrNotFound) || errors.Is(err, objects.ErrConflict)
		if err != nil && !absent {
			return oops.In("rollout").With("step", "delete "+blob.Kind, "object", blob.Name).Wrap(wrapUnavailable(err))
		}
	}
	return nil
}

func (s ledgerStore) partVersion(ctx context.Context, blob Blob, index int) (objects.Version, error) {
	if index < len(blob.Parts) && blob.Parts[index] != 0 {
		return blob.Parts[index], nil
	}
	o, err := s.store.Get(ctx, blob.Kind, partName(blob.Name, index))
	return o.Version, err
}
