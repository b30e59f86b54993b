// Package errkind is the closed list of error kinds of bluebellsail and the
// table from each kind to the answer a caller or operator gets. Every refusal
// passes through this table; docs/ERRORS.md is checked against it by a test.
package errkind

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Kind names one way a request or an operation can be refused.
type Kind string

// The closed list of kinds.
const (
	BadRequest           Kind = "bad_request"
	BodyTooLarge         Kind = "body_too_large"
	HeadersTooLarge      Kind = "headers_too_large"
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
	StaleFence           Kind = "stale_fence"
	Internal             Kind = "internal"
)

// Ran says whether the refused request ran at a backend server.
type Ran string

// What a refusal can say of the run.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
	// RanVaries stands only in the table: the error itself must say.
	RanVaries Ran = "varies"
)

// Retry says what a caller may do about a refusal.
type Retry string

// Rules for coming back.
const (
	// RetryNever: the same request can only be refused again.
	RetryNever Retry = "never"
	// RetryAfter: come back after the time in Retry-After.
	RetryAfter Retry = "after"
	// RetryElsewhere: ask another address at once.
	RetryElsewhere Retry = "elsewhere"
	// RetrySameKey: ask again with the same idempotency key to learn the outcome.
	RetrySameKey Retry = "same_key"
)

// Answer is the row of the table for one kind.
type Answer struct {
	Kind   Kind
	Status int // HTTP status code
	Ran    Ran
	Retry  Retry
	Means  string
}

// Table holds one row per kind, in the order of the list.
var Table = []Answer{
	{BadRequest, 400, RanNo, RetryNever, "the body or a header can't be understood"},
	{BodyTooLarge, 413, RanNo, RetryNever, "the body is over the limit"},
	{HeadersTooLarge, 431, RanNo, RetryNever, "the headers are over the limit"},
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
	{Overloaded, 429, RanNo, RetryAfter, "the queue for this priority or client account is full"},
	{NoBackendServer, 503, RanNo, RetryAfter, "no backend server for this model or service is in service"},
	{BackendServerFailed, 502, RanVaries, RetrySameKey, "the backend server failed and the request may not be sent again"},
	{RequestQuarantined, 503, RanNo, RetryAfter, "backend servers crashed while they ran this request; it is tried again now and then, one run at a time"},
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
	{VersionConflict, 409, RanNo, RetryNever, "the subtree has another version than the change expected"},
	{InvalidSettings, 422, RanNo, RetryNever, "the settings have a fault, at the path given"},
	{NotFound, 404, RanNo, RetryNever, "the named thing does not exist"},
	{AlreadyExists, 409, RanNo, RetryNever, "the named thing exists"},
	{NoQuorum, 503, RanUnknown, RetrySameKey, "the control group has no quorum here; a change that was sent may still take effect"},
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

// Lookup returns the table's row for a kind; an unknown kind gets the row of Internal.
func Lookup(k Kind) Answer {
	a, ok := byKind[k]
	if !ok {
		return byKind[Internal]
	}
	return a
}

// Error is a refusal of a kind. It is the only error type that crosses a
// package boundary towards an answer.
type Error struct {
	Kind    Kind
	Message string
	// Path of the fault in a settings tree or file, if any.
	Path string
	// RetryAfter is when to come back; zero: not said.
	RetryAfter time.Duration
	// PresentVersion of the subtree, with VersionConflict.
	PresentVersion uint64
	ran            Ran
}

// New makes an error of kind k.
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

// After sets when to come back and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// At sets the path of the fault and returns e.
func (e *Error) At(path string) *Error {
	e.Path = path
	return e
}

// WithRan sets what is known of the run and returns e; for kinds whose row says RanVaries.
func (e *Error) WithRan(r Ran) *Error {
	e.ran = r
	return e
}

// Ran says whether the request ran. A kind that varies and was not told is unknown.
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

// Status is the HTTP status code of the answer.
func (e *Error) Status() int { return Lookup(e.Kind).Status }

// From finds the *Error in err's chain; any other error becomes Internal. It returns nil for nil.
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

// Is tells whether err is a refusal of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
