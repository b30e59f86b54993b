package httpserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// ErrorAnswer is the body of every refusal.
type ErrorAnswer struct {
	Error ErrorFields `json:"error"`
}

// ErrorFields describes an error: its kind, whether the request ran and whether and when to
// retry.
type ErrorFields struct {
	Kind    errkind.Kind  `json:"kind"`
	Message string        `json:"message"`
	Ran     errkind.Ran   `json:"ran"`
	Retry   errkind.Retry `json:"retry"`
	// RetryAfterMs is the time after which to retry, in milliseconds; 0: unspecified.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// RequestID is the argument of `bluebellsail explain`.
	RequestID string `json:"request_id,omitempty"`
	// Path is the location of the error in a settings tree.
	Path string `json:"path,omitempty"`
	// PresentVersion is the subtree's current version, in a version conflict.
	PresentVersion uint64 `json:"present_version,omitempty"`
}

// ErrorBody returns the JSON body for err.
func ErrorBody(requestID string, err error) []byte {
	e := errkind.From(err)
	b, jsonErr := json.Marshal(ErrorAnswer{Error: ErrorFields{
		Kind:           e.Kind,
		Message:        e.Message,
		Ran:            e.Ran(),
		Retry:          errkind.Lookup(e.Kind).Retry,
		RetryAfterMs:   e.RetryAfter.Milliseconds(),
		RequestID:      requestID,
		Path:           e.Path,
		PresentVersion: e.PresentVersion,
	}})
	if jsonErr != nil {
		return []byte(`{"error":{"kind":"internal","ran":"unknown"}}`)
	}
	return b
}

// WriteError answers with err. All refusals are written here, except in streams that have
// begun, which end with ErrorBody as their last event.
func WriteError(w http.ResponseWriter, requestID string, err error) {
	e := errkind.From(err)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Del("Content-Length")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(wholeSeconds(e.RetryAfter), 10))
	}
	w.WriteHeader(e.Status())
	_, _ = w.Write(ErrorBody(requestID, err))
}

// wholeSeconds rounds up, since a caller that retries too early is rejected again.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
