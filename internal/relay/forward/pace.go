package forward

import (
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

const (
	// aheadPiece is by how much an answer is read ahead at a time, in bytes.
	aheadPiece = 8 << 10
	// unreadTimeout is how long an answer has to be left unread for its end to say nothing about its
	// server.
	unreadTimeout = time.Second
)

// readAhead reads an answer that is not a stream until it is whole, or too long to be buffered. With a
// Pacer it stops earlier while there is no room: the rest is then passed on as it arrives. release gives
// back the room.
func (t *task) readAhead(res received) (body []byte, whole bool, release func(), err error) {
	if t.f.Pacer == nil {
		body, err = io.ReadAll(io.LimitReader(res.Body, maxBuffered+1))
		return body, len(body) <= maxBuffered, func() {}, err
	}
	room := t.f.Pacer.Ahead(t.x.AccountName())
	for err == nil && len(body) <= maxBuffered {
		if len(body) == cap(body) {
			if !room.Take(aheadPiece) && len(body) > 0 {
				return body, false, room.Close, nil
			}
			body = slices.Grow(body, aheadPiece)
		}
		var n int
		n, err = res.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if err == io.EOF {
		return body, len(body) <= maxBuffered, room.Close, nil
	}
	return body, false, room.Close, err
}

// writePaced writes bytes of the answer in steps for which there is room. It returns false, and sets cut,
// if the rest can't be written.
func (t *task) writePaced(b []byte) bool {
	t.x.Begun = true
	for len(b) > 0 && !t.cut {
		began := time.Now()
		n, done, err := t.f.Pacer.Write(t.ctx, t.w, t.x.AccountName(), t.x.ID, len(b))
		t.unread = max(t.unread, time.Since(began))
		if err == nil {
			_, err = t.w.Write(b[:n])
			t.flush()
			done()
		}
		if err != nil {
			t.cut = true
			return false
		}
		t.x.BytesSent += n
		b = b[n:]
	}
	return !t.cut
}

func (t *task) flush() {
	if f, ok := t.w.(http.Flusher); ok {
		f.Flush()
	}
}

// cutOutcome returns the outcome of an attempt whose answer could not be passed on: the caller has left,
// reads nothing, or did not read it by the deadline. The server is not to blame.
func (t *task) cutOutcome() outcome {
	return outcome{
		err:   errkind.New(errkind.CallerGone, "the caller did not read the answer").WithRan(errkind.RanYes),
		cause: engineclient.CauseRequestEnded, result: balance.Abandoned,
	}
}
