// Package operator implements the commands of the operators' command line, which apply,
// show and explain the configuration of a deployment.
package operator

import (
	"errors"
	"io"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
)

// Exit codes of the pomelocross command.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command failed
	ExitInvalid  = 2 // the command line or the files are invalid
	ExitConflict = 3 // another operator applied a bundle first; nothing was applied
	ExitLagging  = 4 // accepted, but not in force everywhere in time
)

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ExitCode returns the exit code for an error: ExitOK for nil, the code of an Error,
// and ExitFailed otherwise.
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

// Operator runs the commands.
type Operator struct {
	Store objects.Store
	// Admin is the admin IP:port of any instance. AllStatus, Explain and WaitInForce
	// require it.
	Admin string
	Out   io.Writer
	JSON  bool // print results as JSON instead of text
}

// Load reads and validates configuration files or directories of them.
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
