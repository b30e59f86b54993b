package surface

import "github.com/bluebellsail/bluebellsail/internal/errkind"

// Redirect is a refusal of a call that another host may answer.
type Redirect struct {
	// Address is where that host accepts the same calls, "ip:port".
	Address string
	// Refusal is the answer for a caller that can't be redirected there.
	Refusal *errkind.Error
}

// Error implements error.
func (e *Redirect) Error() string { return e.Refusal.Error() + "; ask " + e.Address }

// Unwrap returns the refusal for errors.As.
func (e *Redirect) Unwrap() error { return e.Refusal }
