package httpserver

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// bodyTooLong in a request's ContentLength marks a chunked body that went past the
// limit and was dropped.
const bodyTooLong = -2

// processor watches a connection's requests as they are parsed. It runs on the
// connection's reading goroutine, except where noted.
type processor struct {
	nbhttp.Processor
	cfg     Config
	conn    *trackedConn
	body    int64
	tooLong bool
	slow    *time.Timer
	// reading counts requests begun, so that a late timer of one leaves the next alone.
	reading atomic.Int64
}

func newProcessor(cfg Config, conn *trackedConn) *processor {
	return &processor{Processor: nbhttp.NewServerProcessor(), cfg: cfg, conn: conn}
}

// OnMethod is called with the first bytes of a request: the time to read it starts.
func (p *processor) OnMethod(parser *nbhttp.Parser, method string) {
	handovers.Load()
	p.body, p.tooLong = 0, false
	n := p.reading.Add(1)
	p.slow = time.AfterFunc(p.cfg.ReadTimeout, func() { p.refuseSlow(parser, n) })
	p.Processor.OnMethod(parser, method)
}

// OnHeader answers "Expect: 100-continue", which nbhttp doesn't know: some clients
// wait a second for it before they send a large body.
func (p *processor) OnHeader(parser *nbhttp.Parser, key, value string) {
	if key == "Expect" && strings.EqualFold(value, "100-continue") {
		parser.Execute(func() { _, _ = parser.Conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) })
	}
	p.Processor.OnHeader(parser, key, value)
}

// OnContentLength refuses a body that is declared too long before any of it is kept.
func (p *processor) OnContentLength(parser *nbhttp.Parser, n int) {
	p.Processor.OnContentLength(parser, n)
	if int64(n) <= p.cfg.MaxBodyBytes {
		return
	}
	p.stopTimer()
	parser.ParserCloser = &discard{conn: parser.Conn}
	_ = p.conn.SetReadDeadline(time.Now().Add(p.cfg.ReadTimeout))
	refuse(parser, errkind.New(errkind.BodyTooLarge, "the body is over %d bytes", p.cfg.MaxBodyBytes))
}

// OnBody keeps a piece of the body, or drops it once the body is too long.
func (p *processor) OnBody(parser *nbhttp.Parser, data []byte) error {
	p.body += int64(len(data))
	if p.body > p.cfg.MaxBodyBytes {
		p.tooLong = true
		return nil
	}
	return p.Processor.OnBody(parser, data)
}

// OnComplete hands the request to the server's handler.
func (p *processor) OnComplete(parser *nbhttp.Parser) {
	p.stopTimer()
	if p.tooLong {
		p.Processor.OnContentLength(parser, bodyTooLong)
	}
	p.conn.busy.Add(1)
	p.Processor.OnComplete(parser)
	// Jobs of one connection run in order: this one runs after the answer is written.
	if !parser.Execute(func() { p.conn.busy.Add(-1) }) {
		p.conn.busy.Add(-1)
	}
}

// Close is called when the connection has closed.
func (p *processor) Close(parser *nbhttp.Parser, err error) {
	handovers.Load()
	p.stopTimer()
	p.Processor.Close(parser, err)
}

func (p *processor) stopTimer() {
	p.reading.Add(1)
	if p.slow != nil {
		p.slow.Stop()
	}
}

// refuseSlow runs on a timer's goroutine when a request has not arrived whole in time.
func (p *processor) refuseSlow(parser *nbhttp.Parser, n int64) {
	if p.reading.Load() != n {
		return
	}
	refuse(parser, errkind.New(errkind.BadRequest, "the request did not arrive whole within %v", p.cfg.ReadTimeout))
	parser.Execute(func() { _ = p.conn.Close() })
}

// refuse answers outside a handler, in order after the answers before it.
func refuse(parser *nbhttp.Parser, e *errkind.Error) {
	body := ErrorBody("", e)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", e.Status(), http.StatusText(e.Status()))
	fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(body))
	b.Write(body)
	parser.Execute(func() { _, _ = parser.Conn.Write(b.Bytes()) })
}

// discard reads a connection to its end and keeps nothing. Closing at once would
// reset the connection under the bytes still arriving and the caller would lose
// the refusal.
type discard struct{ conn net.Conn }

// UnderlayerConn is part of nbhttp.ParserCloser.
func (d *discard) UnderlayerConn() net.Conn { return d.conn }

// Parse drops data.
func (d *discard) Parse([]byte) error { return nil }

// CloseAndClean is part of nbhttp.ParserCloser.
func (d *discard) CloseAndClean(error) {}
