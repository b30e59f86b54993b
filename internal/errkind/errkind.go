// Package errkind defines the closed list of error kinds of bluebellsail and the table that maps
// each kind to the answer for a caller or operator. Every refusal is answered by this table; a test
// checks docs/ERRORS.md against it.
package errkind

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Kind is one way in which a request or an operation can be rejected.
type Kind string

// Kinds of errors. The list is closed.
const (
	BadRequest           Kind = "bad_request"
	BodyTooLarge         Kind = "body_too_large"
	HeadersTooLarge      Kind = "headers_too_large"
	RequestTooLarge      Kind = "request_too_large"
	RequestTimeout       Kind = "request_timeout"
	Unauthenticated      Kind = "unauthenticated"
	Forbidden            Kind = "forbidden"
	UnknownPath          Kind = "unknown_path"
	UnknownModel         Kind = "unknown_model"
	UnknownService       Kind = "unknown_service"
	DeadlineMissing      Kind = "deadline_missing"
	DeadlineInvalid      Kind = "deadline_invalid"
	DeadlineUnreachable  Kind = "deadline_unreachable"
	DeadlineExceeded     Kind = "deadline_exceeded"
	BudgetUnknown        Kind = "budget_unknown"
	BudgetExhausted      Kind = "budget_exhausted"
	BudgetUnreachable    Kind = "budget_unreachable"
	Overloaded           Kind = "overloaded"
	NoBackendServer      Kind = "no_backend_server"
	BackendServerFailed  Kind = "backend_server_failed"
	StreamUnknown        Kind = "stream_unknown"
	RequestQuarantined   Kind = "request_quarantined"
	KeyExpired           Kind = "idempotency_key_expired"
	KeyConflict          Kind = "idempotency_key_conflict"
	InProgress           Kind = "in_progress"
	AnswerNotKept        Kind = "answer_not_kept"
	ClaimUnavailable     Kind = "claim_unavailable"
	OutcomeUnknown       Kind = "outcome_unknown"
	ReservationExhausted Kind = "reservation_exhausted"
	HostLeaving          Kind = "host_leaving"
	HostNotReady         Kind = "host_not_ready"
	CallerGone           Kind = "caller_gone"
	VersionConflict      Kind = "version_conflict"
	InvalidSettings      Kind = "invalid_settings"
	NotFound             Kind = "not_found"
	AlreadyExists        Kind = "already_exists"
	NoQuorum             Kind = "no_quorum"
	NotReplicated        Kind = "not_replicated"
	StaleFence           Kind = "stale_fence"
	Internal             Kind = "internal"
)

// Ran is whether the rejected request ran at a backend server.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
	// RanVaries occurs in Table only: each error of such a kind sets its own value with WithRan.
	RanVaries Ran = "varies"
)

// Retry is what a caller may do after a refusal.
type Retry string

// Values of Retry.
const (
	// RetryNever means that the same request would be rejected again.
	RetryNever Retry = "never"
	// RetryAfter means that the caller may retry after the time in the header Retry-After.
	RetryAfter Retry = "after"
	// RetryElsewhere means that the caller should ask another address at once.
	RetryElsewhere Retry = "elsewhere"
	// RetrySameKey means that the caller may ask for the outcome with the same idempotency key.
	RetrySameKey Retry = "same_key"
)

// Answer is the row of Table for one kind.
type Answer struct {
	Kind   Kind
	Status int // HTTP status code
	Ran    Ran
	Retry  Retry
	Means  string
}

// Table has one row per kind, in the order of the constants.
var Table = []Answer{
	{BadRequest, 400, RanNo, RetryNever, "the body or a header can't be understood"},
	{BodyTooLarge, 413, RanNo, RetryNever, "the body is over the limit"},
	{HeadersTooLarge, 431, RanNo, RetryNever, "the headers are over the limit"},
	{RequestTooLarge, 413, RanNo, RetryNever, "the prompt and its answer are larger than the memory of a model engine"},
	{RequestTimeout, 408, RanNo, RetryAfter, "the request did not arrive whole in time"},
	{Unauthenticated, 401, RanNo, RetryNever, "no key, or a key that no client account has"},
	{Forbidden, 403, RanNo, RetryNever, "the key is good but may not do this"},
	{UnknownPath, 404, RanNo, RetryNever, "no such path"},
	{UnknownModel, 404, RanNo, RetryNever, "no backend server has announced this model, or the team may not use it"},
	{UnknownService, 404, RanNo, RetryNever, "no backend server has announced this service, or the team may not use it"},
	{DeadlineMissing, 400, RanNo, RetryNever, "no deadline given and the team has no default"},
	{DeadlineInvalid, 400, RanNo, RetryNever, "the deadline is not a positive number of milliseconds within the limit"},
	{DeadlineUnreachable, 503, RanNo, RetryAfter, "the request can't be finished before its deadline"},
	{DeadlineExceeded, 504, RanVaries, RetrySameKey, "the deadline passed before the whole answer was there"},
	{BudgetUnknown, 403, RanNo, RetryNever, "the client account has no such budget"},
	{BudgetExhausted, 402, RanNo, RetryAfter, "the budget has not enough tokens left for the worst case of this request"},
	{BudgetUnreachable, 503, RanNo, RetryAfter, "this host holds not enough of the budget and can't reach the ledger or a peer that does"},
	{Overloaded, 429, RanNo, RetryAfter, "there is no room for the request in time, or the queue for this priority or client account is full"},
	{NoBackendServer, 503, RanNo, RetryAfter, "no backend server for this model or service is in service"},
	{BackendServerFailed, 502, RanVaries, RetrySameKey, "the backend server failed and the request may not be sent again"},
	{StreamUnknown, 503, RanNo, RetryAfter, "the stream to resume is not known here, nor to the hosts that keep such streams; it can only be begun anew if that lasts"},
	{RequestQuarantined, 503, RanNo, RetryAfter, "backend servers crashed while they ran this request, or others with the same part of their prompt; it is tried again now and then, one run at a time"},
	{KeyExpired, 410, RanNo, RetryNever, "the idempotency key is older than the window in which it is remembered"},
	{KeyConflict, 422, RanNo, RetryNever, "the idempotency key was used with another body"},
	{InProgress, 409, RanYes, RetrySameKey, "the request with this idempotency key is still running"},
	{AnswerNotKept, 409, RanYes, RetryNever, "the request ran and was billed, but its answer is no longer kept"},
	{ClaimUnavailable, 503, RanNo, RetryAfter, "a request marked not idempotent needs the control group, which has no quorum here"},
	{OutcomeUnknown, 409, RanUnknown, RetrySameKey, "a request marked not idempotent was started and its outcome is not known"},
	{ReservationExhausted, 502, RanYes, RetryNever, "the backend server went past the output cap and the stream was cut"},
	{HostLeaving, 503, RanNo, RetryElsewhere, "this host is shutting down"},
	{HostNotReady, 503, RanNo, RetryElsewhere, "this host has not yet the settings in force"},
	{CallerGone, 499, RanVaries, RetrySameKey, "the caller closed its connection"},
	{VersionConflict, 409, RanNo, RetryNever, "what is to be changed has another version than the change expected"},
	{InvalidSettings, 422, RanNo, RetryNever, "the settings have a fault, at the path given"},
	{NotFound, 404, RanNo, RetryNever, "the named thing does not exist"},
	{AlreadyExists, 409, RanNo, RetryNever, "the named thing exists"},
	{NoQuorum, 503, RanUnknown, RetrySameKey, "the control group has no quorum here; a change that was sent may still take effect"},
	{NotReplicated, 503, RanUnknown, RetryElsewhere, "no other host is known to hold the change: it is in force at this host at most, and may be lost with it"},
	{StaleFence, 409, RanNo, RetryNever, "the order carries an old fencing number"},
	{Internal, 500, RanUnknown, RetrySameKey, "a fault of bluebellsail itself"},
}

var byKind = func() map[Kind]Answer {
	m := make(map[Kind]Answer, len(Table))
	for _, a := range Table {
		m[a.Kind] = a
	}
	return m
}()

// Lookup returns the row of a kind, or the row of Internal for an unknown kind.
func Lookup(k Kind) Answer {
	a, ok := byKind[k]
	if !ok {
		return byKind[Internal]
	}
	return a
}

// Error is a refusal of a certain kind. It is the only error type that is passed across package
// boundaries to be answered.
type Error struct {
	Kind    Kind
	Message string
	// Path is the path of the invalid value in a settings tree or file; empty if there is none.
	Path string
	// RetryAfter is the time after which to retry; 0 if none is given.
	RetryAfter time.Duration
	// PresentVersion is the current version of what is to be changed; set with VersionConflict.
	PresentVersion uint64
	ran            Ran
}

// New returns an error of kind k.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Path != "" {
		return string(e.Kind) + ": " + e.Path + ": " + e.Message
	}
	return string(e.Kind) + ": " + e.Message
}

// After sets the time after which to retry and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// At sets the path of the invalid value and returns e.
func (e *Error) At(path string) *Error {
	e.Path = path
	return e
}

// WithRan sets whether the request ran, in place of the value in the kind's row, and returns e.
func (e *Error) WithRan(r Ran) *Error {
	e.ran = r
	return e
}

// Ran returns whether the request ran; RanUnknown if the kind varies and no value was set.
func (e *Error) Ran() Ran {
	if e.ran != "" {
		return e.ran
	}
	r := Lookup(e.Kind).Ran
	if r == RanVaries {
		return RanUnknown
	}
	return r
}

// Status returns the HTTP status code of the answer.
func (e *Error) Status() int { return Lookup(e.Kind).Status }

// From returns the *Error in err's chain. Any other error becomes Internal; nil stays nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Is reports whether err is a refusal of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
