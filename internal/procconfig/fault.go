package procconfig

import (
	"strings"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Fault is one fault in a settings file.
type Fault struct {
	// Path of the fault, such as "/control/members/1/address"; empty for the whole file.
	Path string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Faults is the error with all faults found in one settings file.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first fault as a refusal of the kind InvalidSettings.
func (f Faults) Unwrap() error {
	if len(f) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidSettings, "%s", f[0].Message).At(f[0].Path)
}
