package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// admission counts the calls to filter.Admission.
type admission struct {
	reached, broke, answered int
	// retryErr is returned by AllowRetry, sendErr by AllowSend.
	retryErr, sendErr error
	// last is the last answer reported.
	last filter.ServerAnswer
}

func (p *admission) ServerReached()                       { p.reached++ }
func (p *admission) ConnectionLost(filter.ConnectionLoss) { p.broke++ }
func (p *admission) AllowRetry(context.Context) error     { return p.retryErr }
func (p *admission) AllowSend(context.Context) error      { return p.sendErr }
func (p *admission) Answered(a filter.ServerAnswer) {
	p.last = a
	if a.Whole {
		p.answered++
	}
}
func (p *admission) Status() quarantine.Status { return quarantine.Status{} }
func (p *admission) Close()                    {}

// breaks returns a step in which the server's side ends the connection with a cause.
func breaks(cause engineclient.Cause, ran errkind.Ran) func(context.Context, *engineclient.Forward) (*http.Response, error) {
	return func(context.Context, *engineclient.Forward) (*http.Response, error) {
		return nil, &engineclient.Error{Ran: ran, Cause: cause, Message: string(cause)}
	}
}

// framedAnswer returns an answer with a length, so that its end differs from that of its
// connection.
func framedAnswer(status int) *http.Response {
	res := answer(status, "ok")
	res.ContentLength = 2
	return res
}

// errTimedOut is the read error of a connection whose other end no longer acknowledges anything.
var errTimedOut = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}

// Guards against not recording a crash, and against blaming or clearing a request because of
// attempts that say nothing about it.
func TestAttemptsAreReportedToQuarantine(t *testing.T) {
	cut := func() *http.Response { return stream("id: 1\n", io.ErrUnexpectedEOF) }
	chunked := stream("id: 1\n\n", nil)
	chunked.TransferEncoding = []string{"chunked"}
	longAnswer := answer(http.StatusOK, strings.Repeat("x", 2*maxBuffered))
	longAnswer.Body.(*body).err = errTimedOut
	endless := answer(http.StatusOK, "ok")
	endless.ContentLength = -1
	reported := func(whole, output bool) filter.ServerAnswer {
		return filter.ServerAnswer{Whole: whole, Output: output, Software: "pool//"}
	}
	for name, c := range map[string]struct {
		step func(context.Context, *engineclient.Forward) (*http.Response, error)
		want admission
	}{
		"reset before the answer": {breaks(engineclient.CauseReset, errkind.RanUnknown), admission{reached: 1, broke: 1}},
		"closed before it":        {breaks(engineclient.CauseClosed, errkind.RanUnknown), admission{reached: 1, broke: 1}},
		"cut in its head":         {breaks(engineclient.CauseHeadTruncated, errkind.RanUnknown), admission{reached: 1, broke: 1}},
		"cut in its body":         {answers(cut()), admission{reached: 1, broke: 1}},
		"silent in its body":      {answers(stream("id: 1\n", errTimedOut)), admission{reached: 1}},
		"silent in a stream":      {answers(stream(event(1), errTimedOut)), admission{reached: 1}},
		"silent in a long answer": {answers(longAnswer), admission{reached: 1}},
		"half sent":               {breaks(engineclient.CauseHalfSent, errkind.RanUnknown), admission{reached: 1}},
		"silent":                  {breaks(engineclient.CauseSilent, errkind.RanUnknown), admission{reached: 1}},
		"garbled":                 {breaks(engineclient.CauseGarbled, errkind.RanUnknown), admission{reached: 1}},
		"refused":                 {breaks(engineclient.CauseRefused, errkind.RanNo), admission{}},
		"another instance":        {answers(answer(http.StatusMisdirectedRequest, "")), admission{}},
		"full":                    {answers(answer(http.StatusServiceUnavailable, "", hNotRun, "1")), admission{reached: 1}},
		"another's answer":        {answers(answer(200, "ok", hID, "other")), admission{reached: 1}},
		"answered":                {answers(framedAnswer(200)), admission{reached: 1, answered: 1, last: reported(true, true)}},
		"answered that it is bad": {answers(framedAnswer(400)), admission{reached: 1, answered: 1, last: reported(true, false)}},
		"failed":                  {answers(framedAnswer(500)), admission{reached: 1, last: reported(false, false)}},
		"answered without an end": {answers(endless), admission{reached: 1, last: reported(false, true)}},
		"a whole stream":          {answers(chunked), admission{reached: 1, answered: 1, last: reported(true, true)}},
	} {
		got := &admission{}
		r := newRun(t, routes.NonIdempotent, c.step)
		r.route.MaxAttempts, r.leases.servers, r.admission = 1, []string{"a"}, got
		_ = r.do() // other tests check what the caller receives
		if *got != c.want {
			t.Errorf("%s: %+v, want %+v", name, *got, c.want)
		}
	}
}

// Guards against a retry that the quarantine rejects, and against a refusal that states "did not
// run" after an attempt that may have run.
func TestQuarantineRejectsRetry(t *testing.T) {
	refusal := errkind.New(errkind.RequestQuarantined, "crashed").After(1)
	r := newRun(t, routes.Idempotent, breaks(engineclient.CauseReset, errkind.RanUnknown))
	r.admission = &admission{retryErr: refusal}
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
	r = newRun(t, routes.Idempotent, breaks(engineclient.CauseRefused, errkind.RanNo))
	r.admission = &admission{retryErr: refusal}
	wantKind(t, r.do(), errkind.RequestQuarantined, errkind.RanNo)
}

// Guards against sending a request that was quarantined while it waited for a server.
func TestQuarantineRejectsRequestAfterItsWait(t *testing.T) {
	r := newRun(t, routes.Idempotent)
	r.admission = &admission{sendErr: errkind.New(errkind.RequestQuarantined, "crashed").After(1)}
	wantKind(t, r.do(), errkind.RequestQuarantined, errkind.RanNo)
}

// slowBody sends the events of a stream a pause apart, and then fails.
type slowBody struct {
	events int
	pause  time.Duration
	sent   int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent == b.events {
		return 0, errReset
	}
	time.Sleep(b.pause)
	b.sent++
	return copy(p, event(b.sent)), nil
}

func (b *slowBody) Close() error { return nil }

// Guards against blaming parts of a prompt for the crash of a server that had gone on with its answer, and
// against taking one for sound that crashes servers as they begin to answer.
func TestServerThatGoesOnProvesParts(t *testing.T) {
	for name, c := range map[string]struct {
		body   slowBody
		proved bool
	}{
		"goes on":        {slowBody{events: 4, pause: provedAfter / 2}, true},
		"crashes soon":   {slowBody{events: 4, pause: provedAfter / 8}, false},
		"one late event": {slowBody{events: 1, pause: 2 * provedAfter}, false},
		"without events": {slowBody{}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			res := stream("", nil)
			res.Body = &c.body
			got := &admission{}
			r := newRun(t, routes.Stream, answers(res))
			r.route.MaxAttempts, r.leases.servers, r.admission = 1, []string{"a"}, got
			_ = r.do()
			if got.last.Output != c.proved || got.last.Whole {
				t.Errorf("%s: reported %+v", name, got.last)
			}
		})
	}
}
