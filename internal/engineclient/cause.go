package engineclient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	pkgerrors "github.com/pkg/errors"
)

// Cause is what became of one exchange with a backend server. The list is closed, so
// that logs can be searched and counters kept by it.
type Cause string

// Causes of exchanges without an answer, in the order in which an exchange proceeds.
const (
	// CauseAnswered: the answer came and was passed on.
	CauseAnswered Cause = "answered"
	// CauseInvalid: the request can't be sent as it is.
	CauseInvalid Cause = "invalid_request"
	// CauseRefused: the server's machine refused the connection.
	CauseRefused Cause = "refused"
	// CauseDialTimeout: the connection was not established in time.
	CauseDialTimeout Cause = "dial_timeout"
	// CauseDialFailed: the connection could not be established for another reason.
	CauseDialFailed Cause = "dial_failed"
	// CauseUnsent: the connection ended before a byte of the request was written to it.
	CauseUnsent Cause = "unsent"
	// CauseHalfSent: the connection ended while the request was written.
	CauseHalfSent Cause = "half_sent"
	// CauseReset: the connection was reset before the answer's first byte.
	CauseReset Cause = "reset_before_answer"
	// CauseClosed: the connection was closed in order before the answer's first byte.
	CauseClosed Cause = "closed_before_answer"
	// CauseSilent: no byte of an answer came in time, or the server's machine
	// acknowledged none of the request's.
	CauseSilent Cause = "silent"
	// CauseHeadTruncated: the connection ended within the answer's status line and headers.
	CauseHeadTruncated Cause = "cut_in_head"
	// CauseGarbled: bytes came that are no answer.
	CauseGarbled Cause = "garbled"
	// CauseRequestEnded: the request's own end, by its caller or its deadline, ended the exchange.
	CauseRequestEnded Cause = "ended_by_request"
)

// Causes that the reader of an answer finds.
const (
	// CauseShed: the server said that it did not run the request.
	CauseShed Cause = "shed"
	// CauseOtherInstance: another instance has the address.
	CauseOtherInstance Cause = "other_instance"
	// CauseOtherRequest: the answer names another request.
	CauseOtherRequest Cause = "other_request"
	// CauseSwitchedProtocols: the server switched protocols unasked.
	CauseSwitchedProtocols Cause = "switched_protocols"
	// CauseBodyTruncated: the answer broke off, and the caller has none of it.
	CauseBodyTruncated Cause = "cut_in_body"
	// CauseStreamTruncated: the answer broke off, and the caller has its beginning.
	CauseStreamTruncated Cause = "cut_in_stream"
	// CauseNoStream: something else came in place of the rest of a stream.
	CauseNoStream Cause = "no_stream"
	// CauseServerFault: the server answered that it failed, and another one was asked.
	CauseServerFault Cause = "server_fault"
)

// CrashLike tells whether an exchange ended as those do whose server crashes: the server had
// all of the request, and its side ended the connection.
func (c Cause) CrashLike() bool {
	switch c {
	case CauseReset, CauseClosed, CauseHeadTruncated, CauseBodyTruncated, CauseStreamTruncated:
		return true
	}
	return false
}

// CauseOf is the cause of a failed call; CauseGarbled for an error that is not an *Error.
func CauseOf(err error) Cause {
	var e *Error
	if pkgerrors.As(err, &e) && e.Cause != "" {
		return e.Cause
	}
	return CauseGarbled
}

// dialCause is the cause of an exchange for which no connection was had.
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

// exchangeCause is the cause of an exchange that failed on connection d.conn.
func exchangeCause(ctx context.Context, d *exchangeTrace, err error) Cause {
	switch {
	case ctx.Err() != nil:
		return CauseRequestEnded
	case d.unsent():
		return CauseUnsent
	case errors.Is(d.conn.writeFailure(), syscall.ETIMEDOUT):
		return CauseSilent
	case !d.answerBegun() && !d.fullyWritten():
		return CauseHalfSent
	case timedOut(err):
		return CauseSilent
	case d.answerBegun() && d.conn.readEnded.Load():
		return CauseHeadTruncated
	case d.answerBegun():
		return CauseGarbled
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return CauseReset
	}
	return CauseClosed
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.As(err, &timeout) && timeout.Timeout()
}
