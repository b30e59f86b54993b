package admincli

import "github.com/pkg/errors"

// The exit codes of the program.
const (
	// exitOK means success.
	exitOK = 0
	// exitRefused means that the fleet rejected the request and nothing was changed.
	exitRefused = 1
	// exitUsage means that the command line, or a file given on it, is invalid. Nothing was
	// sent.
	exitUsage = 2
	// exitUnreachable means that no host could be reached, or that the outcome of a change is
	// unknown.
	exitUnreachable = 3
)

// exitError is an error together with the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &exitError{code: exitUsage, err: errors.Errorf(format, args...)}
}

// exitCode returns the exit code for a command's error. An error without an exit code comes
// from parsing the command line.
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
