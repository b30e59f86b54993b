package httpserver

import (
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// processor observes a connection's requests as they are parsed. It runs on the connection's
// poller.
type processor struct {
	nbhttp.Processor
	conn *trackedConn
}

func newProcessor(conn *trackedConn) *processor {
	return &processor{Processor: nbhttp.NewServerProcessor(), conn: conn}
}

// OnHeader answers "Expect: 100-continue", which nbhttp doesn't support: some clients wait a
// second for it before they send a large body.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if key == "Expect" && strings.EqualFold(value, "100-continue") {
		parser.Execute(func() { _, _ = parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) })
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnComplete passes the request to the server's handler.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	held := p.conn.counted
	p.conn.received, p.conn.counted = 0, 0
	if p.conn.openRequests.Add(1) == 1 {
		p.conn.writtenBefore.Store(p.conn.written.Load())
	}
	p.Processor.OnComplete(parser)
	// Jobs of a connection run in order, so this one runs after the answer is written, even if
	// the connection has closed by then.
	p.conn.MustExecute(func() {
		p.conn.server.heldBytes.Add(-held)
		p.answered()
	})
}

// answered is called after an answer is written.
func (p *processor) answered() {
	p.conn.reportIfClosed()
	p.conn.requestID.Store(nil)
	p.conn.markActive()
	p.conn.openRequests.Add(-1)
}
