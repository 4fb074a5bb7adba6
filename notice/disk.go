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

// State is what an instance with a data directory restores after a restart.
type State struct {
	Items   []Item           `json:"items"`
	Members []objects.Member `json:"members"`
}

// Disk stores the newest state in one JSON file, which is replaced atomically.
type Disk struct{ path string }

// NewDisk returns a Disk that stores its file in folder. It creates the folder
// if needed.
func NewDisk(folder string) (*Disk, error) {
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return nil, oops.In("notice").With("step", "create folder").Wrap(err)
	}
	return &Disk{path: filepath.Join(folder, fileName)}, nil
}

// Load returns the saved state, or an empty one if none was saved.
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
		return State{}, oops.In("notice").With("step", "load").Wrapf(err, "parse state file %s", d.path)
	}
	return state, nil
}

// Save replaces the saved state. After a crash the file holds either the old or
// the new state.
func (d *Disk) Save(state State) error {
	data, err := json.Marshal(state)
	if err != nil {
		return oops.In("notice").With("step", "save").Wrap(err)
	}
	return oops.In("notice").With("step", "save").Wrap(renameio.WriteFile(d.path, data, filePerm))
}
