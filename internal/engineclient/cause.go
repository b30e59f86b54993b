package engineclient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	pkgerrors "github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/engineclient/answerhead"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
)

// Cause is the outcome of one exchange with a backend server. The set of values is fixed, so
// that logs can be searched and counters kept by cause.
type Cause string

// Causes of exchanges without an answer, in the order in which an exchange proceeds.
const (
	// CauseAnswered: the answer arrived and was passed on.
	CauseAnswered Cause = "answered"
	// CauseInvalid: the request is invalid and can't be sent.
	CauseInvalid Cause = "invalid_request"
	// CauseRefused: the server's machine refused the connection.
	CauseRefused Cause = "refused"
	// CauseDialTimeout: the connection was not established in time.
	CauseDialTimeout Cause = "dial_timeout"
	// CauseDialFailed: the connection could not be established for another reason.
	CauseDialFailed Cause = "dial_failed"
	// CauseUnsent: the connection ended before any byte of the request was written to it.
	CauseUnsent Cause = "unsent"
	// CauseHalfSent: the connection ended while the request was being written.
	CauseHalfSent Cause = "half_sent"
	// CauseReset: the connection was reset before the answer's first byte.
	CauseReset Cause = "reset_before_answer"
	// CauseClosed: the connection was closed normally (FIN) before the answer's first byte.
	CauseClosed Cause = "closed_before_answer"
	// CauseSilent: no byte of an answer arrived in time, or the server's machine no longer
	// acknowledged anything, before the answer or in it.
	CauseSilent Cause = "silent"
	// CauseHeadTruncated: the connection ended within the answer's status line and headers.
	CauseHeadTruncated Cause = "cut_in_head"
	// CauseGarbled: the bytes received are not an HTTP answer, or its head is malformed.
	CauseGarbled Cause = "garbled"
	// CausePeerLost: the peer host through which the connection went was lost or ended it.
	CausePeerLost Cause = "peer_lost"
	// CauseRequestEnded: the exchange ended because the request did: its caller left or its
	// deadline passed.
	CauseRequestEnded Cause = "ended_by_request"
)

// Causes determined from the content of the answer, by the code that reads it.
const (
	// CauseShed: the server reported that it did not run the request.
	CauseShed Cause = "shed"
	// CauseOtherInstance: the address now belongs to another instance.
	CauseOtherInstance Cause = "other_instance"
	// CauseOtherRequest: the answer carries the ID of another request.
	CauseOtherRequest Cause = "other_request"
	// CauseSwitchedProtocols: the server switched protocols without being asked to.
	CauseSwitchedProtocols Cause = "switched_protocols"
	// CauseBodyTruncated: the answer was truncated and no part of it was passed to the caller.
	CauseBodyTruncated Cause = "cut_in_body"
	// CauseStreamTruncated: the answer was truncated after its beginning was passed to the
	// caller.
	CauseStreamTruncated Cause = "cut_in_stream"
	// CauseUnread: the answer was truncated after this host had read nothing of it for a while, since its
	// caller read slowly. Servers cut off such answers.
	CauseUnread Cause = "unread"
	// CauseIncompleteEvent: the server ended its stream within an event.
	CauseIncompleteEvent Cause = "incomplete_event"
	// CauseNoStream: the server answered with something other than the rest of a stream.
	CauseNoStream Cause = "no_stream"
	// CauseOtherVersion: the server may run another software version than the stream that it continues.
	CauseOtherVersion Cause = "other_version"
	// CauseServerFault: the server answered with an error status, and the request was sent to
	// another server.
	CauseServerFault Cause = "server_fault"
)

// CrashLike reports whether the exchange ended the way it does when a server crashes: the
// server had received the whole request, and its side ended the connection.
func (c Cause) CrashLike() bool {
	switch c {
	case CauseReset, CauseClosed, CauseHeadTruncated, CauseBodyTruncated, CauseStreamTruncated:
		return true
	}
	return false
}

// CauseOf returns the cause of a failed call; CauseGarbled for an error that is not an *Error.
func CauseOf(err error) Cause {
	var e *Error
	if pkgerrors.As(err, &e) && e.Cause != "" {
		return e.Cause
	}
	return CauseGarbled
}

// dialCause returns the cause of an exchange for which no connection was established.
func dialCause(ctx context.Context, err error) Cause {
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		return CauseRequestEnded
	case errors.Is(err, syscall.ECONNREFUSED):
		return CauseRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return CauseDialTimeout
	}
	return CauseDialFailed
}

// exchangeCause returns the cause of an exchange that failed on its connection.
func exchangeCause(ctx context.Context, trace *exchangeTrace, err error) Cause {
	switch {
	case ctx.Err() != nil:
		return CauseRequestEnded
	case trace.unsent():
		return CauseUnsent
	case PeerLost(err), PeerLost(trace.conn.writeFailure()):
		return CausePeerLost
	case errors.Is(trace.conn.writeFailure(), syscall.ETIMEDOUT):
		return CauseSilent
	case !trace.answerBegun() && !trace.fullyWritten():
		return CauseHalfSent
	case timedOut(err):
		return CauseSilent
	case errors.Is(err, answerhead.ErrMalformed):
		return CauseGarbled
	case trace.answerBegun() && trace.conn.readEnded.Load():
		return CauseHeadTruncated
	case trace.answerBegun():
		return CauseGarbled
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return CauseReset
	}
	return CauseClosed
}

// PeerLost reports whether the connection to a server ended because of the peer host through which it
// went, which says nothing about the server.
func PeerLost(err error) bool {
	var lost *peertunnel.PeerError
	return errors.As(err, &lost)
}

// TruncationCause returns the cause of an exchange whose answer was truncated by a read error:
// CauseSilent if the server's machine no longer acknowledged anything, otherwise cut.
func TruncationCause(err error, cut Cause) Cause {
	if timedOut(err) {
		return CauseSilent
	}
	return cut
}

// IsSilent reports whether a call, or the reading of its answer, failed because nothing arrived
// from the server's machine. This says nothing about the server's process.
func IsSilent(err error) bool {
	var e *Error
	if pkgerrors.As(err, &e) {
		return e.Cause == CauseSilent
	}
	return timedOut(err)
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.As(err, &timeout) && timeout.Timeout()
}
