package httpserver

import (
	"strings"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// processor watches a connection's requests as they are parsed. It runs on the
// connection's reading goroutine.
type processor struct {
	nbhttp.Processor
	server *Server
	conn   *trackedConn
}

func newProcessor(s *Server, conn *trackedConn) *processor {
	return &processor{Processor: nbhttp.NewServerProcessor(), server: s, conn: conn}
}

// OnHeader answers "Expect: 100-continue", which nbhttp doesn't know: some clients
// wait a second for it before they send a large body.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if key == "Expect" && strings.EqualFold(value, "100-continue") {
		parser.Execute(func() { _, _ = parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) })
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnComplete hands the request to the server's handler.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	p.conn.busy.Add(1)
	held := p.conn.held
	p.conn.came, p.conn.held = 0, 0
	p.Processor.OnComplete(parser)
	// Jobs of one connection run in order: this one runs after the answer is written.
	if !parser.Execute(func() {
		p.server.bodies.Add(-held)
		p.answered()
	}) {
		p.server.bodies.Add(-held)
		p.conn.busy.Add(-1)
	}
}

// answered runs once an answer is written. nbhttp has then set the idle timeout that the
// server started with; the one in force may be another.
func (p *processor) answered() {
	if p.conn.busy.Add(-1) == 0 && p.server.cfg.Limits != nil {
		_ = p.conn.SetReadDeadline(time.Now().Add(p.server.limits().IdleTimeout))
	}
}
