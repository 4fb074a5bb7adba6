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

// readFile reads a settings file with one NAME=value pair per line. It returns the
// variables and all errors: a file that cannot be read or parsed, and each name that
// is not a setting of target. An empty path yields no variables.
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
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(variables)) {
		if !known[name] {
			errs = append(errs, fmt.Errorf("settings file %s: unknown setting %s", path, name))
		}
	}
	return variables, errs
}

// Differences compares two pointers to structs of the same type, tagged like
// Settings, and returns the flags of the settings that differ: reloadable lists
// those with the tag reload:"true", which a running process applies, and restart
// lists those that take effect only after a restart.
func Differences(before, after any) (reloadable, restart []string) {
	beforeFields := fields(before)
	for i, f := range fields(after) {
		if reflect.DeepEqual(beforeFields[i].value.Interface(), f.value.Interface()) {
			continue
		}
		if f.Tag.Get("reload") == "true" {
			reloadable = append(reloadable, f.flag())
		} else {
			restart = append(restart, f.flag())
		}
	}
	return reloadable, restart
}

// filePollInterval is the interval between checks of a settings file. The file can
// change without a signal, and changes must take effect within seconds.
const filePollInterval = time.Second

// WatchFile calls onChange on every signal and whenever the content of the file
// changes, until ctx is done. It polls the file once per second.
func WatchFile(ctx context.Context, path string, signals <-chan os.Signal, onChange func()) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	lastDigest := fileDigest(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			lastDigest = fileDigest(path)
			onChange()
		case <-ticker.C:
			if current := fileDigest(path); current != lastDigest {
				lastDigest = current
				onChange()
			}
		}
	}
}

// fileDigest returns the SHA-256 of a file's content, used to detect changes. It
// returns the zero value for an unreadable file: loading the settings reports that
// error.
func fileDigest(path string) [sha256.Size]byte {
	content, err := os.ReadFile(path)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(content)
}
