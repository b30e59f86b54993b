package httpserver

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/httpserver/framing"
	"github.com/bluebellsail/bluebellsail/internal/panics"
)

// guard sits between a connection and nbhttp's parser. It passes on what package framing
// accepts, answers with a refusal to anything else, and bounds the time that a sender may
// take. It runs on the connection's poller, except where noted.
type guard struct {
	server *Server
	conn   *trackedConn
	parser *nbhttp.Parser

	// mu is held while bytes are read and requests begin. Whatever ends the connection because
	// no complete request has arrived also holds it: the idle watch, the slow-sender timer and
	// nbio's close.
	mu     sync.Mutex
	frames framing.Checker
	// rejected: a refusal was sent instead of an answer; further bytes are read and dropped.
	// Closing at once would reset the connection while bytes still arrive, and the caller
	// would not receive the refusal.
	rejected bool
	// rejectCause is the cause if rejected is set.
	rejectCause Cause

	slowTimer *time.Timer
	// timerSeq is incremented whenever the timer is stopped, so that a timer that fires late
	// does not affect the next request.
	timerSeq int64
	// timedPhase is the phase that the running timer bounds, timedRequest the number of the
	// request.
	timedPhase   framing.Phase
	timedRequest uint64
	started      time.Time
}

// UnderlayerConn implements nbhttp.ParserCloser.
func (g *guard) UnderlayerConn() net.Conn { return g.parser.UnderlayerConn() }

// Parse checks data and passes the valid part of it to the parser. Server.read holds mu.
func (g *guard) Parse(data []byte) error {
	if g.rejected || g.conn.closeReason.Load() != nil {
		return nil
	}
	limits := g.server.limits()
	n, fault := g.frames.Check(data, framing.Limits{Header: limits.HeaderBytes, Body: limits.BodyBytes})
	if !g.countBytes(int64(n)) {
		g.reject(errkind.New(errkind.Overloaded, "this host has no room for the bodies of further requests").After(overloadedRetry), CauseNoRoom)
		return nil
	}
	if n > 0 {
		if err := g.parser.Parse(data[:n]); err != nil {
			g.stopTimer()
			return &closeError{CauseUnreadable, err}
		}
	}
	if fault != nil {
		g.reject(fault, CauseUnreadable)
		return nil
	}
	g.updateTimer(limits)
	return nil
}

// CloseAndClean is called after the connection has closed.
func (g *guard) CloseAndClean(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopTimer()
	g.parser.CloseAndClean(err)
	g.server.heldBytes.Add(-g.conn.counted)
	g.conn.counted = 0
}

// countBytes counts n bytes of a request that are about to be buffered; false: there is no
// room for them. They count until the request is answered or the connection closed.
//
// A body of known length counts as a whole once the request's head has been read. Otherwise
// forty bodies that begin together would all be admitted, would together fill the available
// room, and would all be rejected half-way.
func (g *guard) countBytes(n int64) bool {
	before := g.conn.received
	g.conn.received += n
	more := g.conn.received + g.frames.Missing() - g.conn.counted
	if more <= 0 {
		return true
	}
	total := g.server.heldBytes.Add(more)
	g.conn.counted += more
	if g.hasRoom(total) {
		return true
	}
	// What was received before stays in the parser until the connection closes.
	g.server.heldBytes.Add(before - g.conn.counted)
	g.conn.counted = before
	return false
}

// hasRoom reports whether the request being read may be buffered when total bytes are held by
// all requests.
func (g *guard) hasRoom(total int64) bool {
	bound := g.server.cfg.MaxBodiesBytes
	if bound <= 0 || total <= bound {
		return true
	}
	return g.conn.counted <= smallRequest && total <= bound+bound/smallShare
}

// reject answers an invalid request, after the answers before it, and drops further bytes. The
// idle watch closes the connection later.
func (g *guard) reject(e *errkind.Error, cause Cause) {
	g.stopTimer()
	g.rejected, g.rejectCause = true, cause
	g.writeRefusal(e)
}

// writeRefusal sends a refusal outside a handler.
func (g *guard) writeRefusal(e *errkind.Error) {
	body := ErrorBody("", e)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", e.Status(), http.StatusText(e.Status()))
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %d\r\n", wholeSeconds(e.RetryAfter))
	}
	fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(body))
	b.Write(body)
	g.parser.Execute(func() {
		_, _ = g.parser.Conn.Write(b.Bytes())
		g.conn.markActive()
	})
}

// updateTimer bounds the time in which a request that has begun must be received: its head
// within HeaderTimeout and all of it within ReadTimeout. A request that arrives in one piece
// needs no timer.
func (g *guard) updateTimer(l Limits) {
	phase, number := g.frames.Phase(), g.frames.Begun()
	if phase == g.timedPhase && (phase == framing.Idle || number == g.timedRequest) {
		return
	}
	g.stopTimer()
	if number != g.timedRequest {
		g.started = time.Now()
	}
	g.timedPhase, g.timedRequest = phase, number
	limit := g.server.cfg.ReadTimeout
	switch phase {
	case framing.Idle:
		return
	case framing.Head:
		limit = min(limit, l.HeaderTimeout)
	}
	n := g.timerSeq
	g.slowTimer = time.AfterFunc(time.Until(g.started.Add(limit)), func() {
		defer panics.Log(g.server.log, "timing a sender")
		g.rejectSlow(n, limit)
	})
}

func (g *guard) stopTimer() {
	g.timerSeq++
	if g.slowTimer != nil {
		g.slowTimer.Stop()
	}
}

// rejectSlow runs on a timer's goroutine when part of a request has not arrived in time. It
// closes the connection after the refusal; if part of an answer is still queued for the
// caller, the idle watch does so later.
func (g *guard) rejectSlow(n int64, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timerSeq != n {
		return
	}
	g.reject(errkind.New(errkind.RequestTimeout, "the request was not received completely within %v", limit), CauseSlowSender)
	g.parser.Execute(func() {
		if g.conn.unsent.Load() <= 0 {
			g.conn.closeWithCause(CauseSlowSender, nil)
		}
	})
}
