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

// guard stands between a connection and nbhttp's parser: it hands over what package
// framing finds sound, answers what it doesn't, and bounds the time that a sender takes.
// It runs on the connection's poller, except where noted.
type guard struct {
	server *Server
	conn   *trackedConn
	parser *nbhttp.Parser

	// mu is held while bytes are read and requests begin. What ends the connection for want of
	// a request holds it, too: the idle watch, the timer of slow senders, nbio's close.
	mu     sync.Mutex
	frames framing.Checker
	// rejected: a refusal was sent in place of an answer; the rest is read and dropped. Closing
	// at once would reset the connection under the bytes still arriving and the caller would
	// lose the refusal.
	rejected bool
	// rejectCause is why.
	rejectCause Cause

	slowTimer *time.Timer
	// timerSeq counts the spans that were timed, so that a late timer of one leaves the next
	// alone.
	timerSeq int64
	// timedPhase is the phase that the running timer bounds, of the request begun as number timedOf.
	timedPhase   framing.Phase
	timedRequest uint64
	started      time.Time
}

// UnderlayerConn is part of nbhttp.ParserCloser.
func (g *guard) UnderlayerConn() net.Conn { return g.parser.UnderlayerConn() }

// Parse checks data and hands the sound part of it to the parser. Server.read holds mu.
func (g *guard) Parse(data []byte) error {
	if g.rejected || g.conn.closeReason.Load() != nil {
		return nil
	}
	limits := g.server.limits()
	n, fault := g.frames.Check(data, framing.Limits{Header: limits.HeaderBytes, Body: limits.BodyBytes})
	if !g.countBytes(int64(n)) {
		g.reject(errkind.New(errkind.Overloaded, "this host holds as many bodies of requests as it can").After(overloadedRetry), CauseNoRoom)
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

// CloseAndClean is called when the connection has closed.
func (g *guard) CloseAndClean(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopTimer()
	g.parser.CloseAndClean(err)
	g.server.heldBytes.Add(-g.conn.counted)
	g.conn.counted = 0
}

// countBytes counts bytes of a request that are about to be held; false: there is no room for them.
// They count until the request is answered or the connection closed.
//
// A body whose length is known counts whole from its head on. What goes wrong otherwise: forty
// bodies that begin together all find room, all fill what there is, and all are refused half-way.
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
	// What came before is with the parser until the connection closes.
	g.server.heldBytes.Add(before - g.conn.counted)
	g.conn.counted = before
	return false
}

// hasRoom tells whether the request that is being read may be held when so much is held in all.
func (g *guard) hasRoom(total int64) bool {
	bound := g.server.cfg.MaxBodiesBytes
	if bound <= 0 || total <= bound {
		return true
	}
	return g.conn.counted <= smallRequest && total <= bound+bound/smallShare
}

// reject answers a request that can't be read, after the answers before it, and drops
// what comes after it. The idle watch closes the connection later.
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

// updateTimer has the head of a request that has begun arrive within HeaderTimeout and all
// of it within ReadTimeout. A request that arrives in one piece needs no timer.
func (g *guard) updateTimer(l Limits) {
	phase, of := g.frames.Phase(), g.frames.Begun()
	if phase == g.timedPhase && (phase == framing.Idle || of == g.timedRequest) {
		return
	}
	g.stopTimer()
	if of != g.timedRequest {
		g.started = time.Now()
	}
	g.timedPhase, g.timedRequest = phase, of
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
// closes the connection after the refusal; if part of an answer still waits for the caller
// then, the idle watch does it later.
func (g *guard) rejectSlow(n int64, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timerSeq != n {
		return
	}
	g.reject(errkind.New(errkind.RequestTimeout, "the request did not arrive whole within %v", limit), CauseSlowSender)
	g.parser.Execute(func() {
		if g.conn.unsent.Load() <= 0 {
			g.conn.closeWithCause(CauseSlowSender, nil)
		}
	})
}
