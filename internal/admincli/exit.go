package admincli

import "github.com/pkg/errors"

// Exit codes of the program.
const (
	// exitOK: done.
	exitOK = 0
	// exitRefused: the fleet refused, and nothing was changed.
	exitRefused = 1
	// exitUsage: the command line or a file that it names is wrong; nothing was sent.
	exitUsage = 2
	// exitUnreachable: no host could be reached, or the outcome of a change is unknown.
	exitUnreachable = 3
)

// exitError is an error with the exit code it ends the program with.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &exitError{code: exitUsage, err: errors.Errorf(format, args...)}
}

// exitCode of a command's error. An error without one comes from parsing the
// command line.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitUsage
}
