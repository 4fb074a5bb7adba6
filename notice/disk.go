package notice

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/samber/oops"

	"github.com/pomelocross/pomelocross/objects"
)

const (
	fileName   = "accepted.json"
	filePerm   = 0o600
	folderPerm = 0o700
)

// State is what an instance with a disk keeps over a restart.
type State struct {
	Items   []Item           `json:"items"`
	Members []objects.Member `json:"members"`
}

// Disk keeps the newest state in one file, which is replaced as a whole.
type Disk struct{ path string }

// NewDisk returns a Disk in a folder, which it creates.
func NewDisk(folder string) (*Disk, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, oops.In("notice").With("step", "create folder").Wrap(err)
	}
	return &Disk{path: filepath.Join(folder, fileName)}, nil
}

// Load returns the kept state, or an empty one when there is none.
func (d *Disk) Load() (State, error) {
	var state State
	data, err := os.ReadFile(d.path)
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil
	}
	if err != nil {
		return state, oops.In("notice").With("step", "load").Wrap(err)
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return State{}, oops.In("notice").With("step", "load").Wrapf(err, "%s", d.path)
	}
	return state, nil
}

// Save replaces the kept state. A crash leaves the old state or the new one.
func (d *Disk) Save(state State) error {
	data, err := json.Marshal(state)
	if err != nil {
		return oops.In("notice").With("step", "save").Wrap(err)
	}
	return oops.In("notice").With("step", "save").Wrap(renameio.WriteFile(d.path, data, filePerm))
}
