// Package operator is the operators' command line as a library.
package operator

import (
	"errors"
	"io"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
)

// Exit codes of the command.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command could not be carried out
	ExitInvalid  = 2 // the command line or the files have faults
	ExitConflict = 3 // another operator was first; nothing was applied
	ExitLagging  = 4 // accepted, but not in force everywhere in time
)

// Error carries the exit code of a failure.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error of this package.
func ExitCode(err error) int {
	var coded *Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return coded.Code
	}
	return ExitFailed
}

// Operator carries out commands.
type Operator struct {
	Store objects.Store
	// Admin is the admin IP:port of any instance, for status and waiting.
	Admin string
	Out   io.Writer
	JSON  bool
}

// Load reads and checks configuration files.
func Load(paths []string) (*contract.Bundle, error) {
	if len(paths) == 0 || paths[0] == "" {
		return nil, &Error{Code: ExitInvalid, Err: errors.New("--file is required")}
	}
	files, err := contract.ReadFiles(paths)
	if err != nil {
		return nil, &Error{Code: ExitInvalid, Err: err}
	}
	bundle, err := contract.Parse(files)
	if err != nil {
		return nil, &Error{Code: ExitInvalid, Err: err}
	}
	return bundle, nil
}
