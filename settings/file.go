package settings

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/joho/godotenv"
	"github.com/samber/oops"
)

// readFile returns the variables of a settings file, a line NAME=value each, and
// its faults: a file that cannot be read, and names that target has no setting for.
func readFile(path string, target any) (map[string]string, []error) {
	if path == "" {
		return map[string]string{}, nil
	}
	variables, err := godotenv.Read(path)
	if err != nil {
		return map[string]string{}, []error{oops.In("settings").With("file", path).Wrapf(err, "settings file %s", path)}
	}
	known := map[string]bool{}
	for _, f := range fields(target) {
		known[f.Tag.Get("env")] = true
	}
	var faults []error
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		if !known[name] {
			faults = append(faults, fmt.Errorf("settings file %s: there is no setting %s", path, name))
		}
	}
	return variables, faults
}

// Differences returns the flags of the settings in which two structs with the tags
// that Settings has differ: those that a running process takes over, which have the
// tag reload, and the others, which need a restart.
func Differences(before, after any) (live, restart []string) {
	old := fields(before)
	for i, f := range fields(after) {
		if reflect.DeepEqual(old[i].value.Interface(), f.value.Interface()) {
			continue
		}
		if f.Tag.Get("reload") == "true" {
			live = append(live, f.flag())
		} else {
			restart = append(restart, f.flag())
		}
	}
	return live, restart
}

// fileInterval is how often a settings file is looked at: it may change without a
// signal, and what it says must be in force within seconds.
const fileInterval = time.Second

// WatchFile calls changed whenever the content of a file differs from before, and
// at each signal, until ctx ends.
func WatchFile(ctx context.Context, path string, signals <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(fileInterval)
	defer ticker.Stop()
	before := digest(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			before = digest(path)
			changed()
		case <-ticker.C:
			if now := digest(path); now != before {
				before = now
				changed()
			}
		}
	}
}

// digest tells contents apart. A file that cannot be read has none; its reader
// reports why.
func digest(path string) [sha256.Size]byte {
	content, err := os.ReadFile(path)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(content)
}
