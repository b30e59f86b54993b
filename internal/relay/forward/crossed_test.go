package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// misdirected is the answer of an instance that is not the one addressed.
func misdirected(id string) string {
	return "HTTP/1.1 421 Misdirected Request\r\n" + hID + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// Guards against an answer to another request that is believed when it says that the request did not run: a second server
// would run it.
func TestAnswerOfAnotherRequestSaysNothingAboutThisOne(t *testing.T) {
	for name, late := range map[string]*http.Response{
		"another instance":             answer(http.StatusMisdirectedRequest, "", hID, "r0"),
		"another instance, without ID": answer(http.StatusMisdirectedRequest, "", hID, ""),
		"not run":                      answer(http.StatusServiceUnavailable, "", hID, "r0", hNotRun, "1"),
	} {
		t.Run(name, func(t *testing.T) {
			for header, value := range map[string]string{hLoad: "4", hLimit: "1", hBrittle: "1", hCooldown: "1", hLeaving: "1"} {
				late.Header.Set(header, value)
			}
			r := newRun(t, routes.NonIdempotent, func(_ context.Context, f *engineclient.Forward) (*http.Response, error) {
				f.Reused = true
				return late, nil
			})
			wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
			if r.x.Attempts[0].Cause != engineclient.CauseOtherRequest {
				t.Errorf("cause %s", r.x.Attempts[0].Cause)
			}
			l := r.leases
			if len(l.wrong)+len(l.loads)+len(l.leaving)+len(l.cooldowns)+len(r.limits.observed)+len(r.limits.brittle) > 0 {
				t.Errorf("recorded of the server: wrong %v, loads %v, leaving %v, cooldowns %v, limits %v %v",
					l.wrong, l.loads, l.leaving, l.cooldowns, r.limits.observed, r.limits.brittle)
			}
		})
	}
}

// repeatsMisdirected returns a script that answers the server's first request with 421 and all others as a sound server does. If
// the connection of the first one is used again, the 421 is sent once more, as the first answer to the second request.
func repeatsMisdirected(b *backend) serve {
	var misdirectedID atomic.Pointer[string]
	whole := healthy(b)
	return func(n int, c net.Conn, r *bufio.Reader) bool {
		if id := misdirectedID.Load(); id != nil {
			if n > 1 {
				if _, err := r.Peek(1); err != nil {
					return false
				}
				_, _ = io.WriteString(c, misdirected(*id))
			}
			return whole(n, c, r)
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return false
		}
		id := req.Header.Get(hID)
		misdirectedID.Store(&id)
		_, err = io.WriteString(c, misdirected(id))
		return err == nil
	}
}

// Guards against a second run of a request when a server sends its 421 to an earlier request once more, as the first answer to
// this one.
func TestRepeatedMisdirectedAnswerIsNotTakenForTheNextRequest(t *testing.T) {
	first, second := newBackend(t, repeatsMisdirected), newBackend(t, healthy)
	address, _ := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, first, second)
	caller := dialCaller(t, address)
	caller.askWhole("r1")
	caller.askWhole("r2")
	if runs := first.ran("r2") + second.ran("r2"); runs != 1 {
		t.Errorf("the request ran %d times", runs)
	}
}

// Guards against a second run of a request that goes to the same address again, to the instance that is there now, when the 421 to
// its first attempt arrives once more: both attempts have the same ID.
func TestRepeatedMisdirectedAnswerIsNotTakenForTheNextAttempt(t *testing.T) {
	first, other := newBackend(t, repeatsMisdirected), newBackend(t, healthy)
	address, _ := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, first, first, other)
	answer := dialCaller(t, address).ask("r1", "/", "")
	runs := first.ran("r1") + other.ran("r1")
	if runs != 1 || answer.status != http.StatusOK || answer.body != wholeBody {
		t.Errorf("the request ran %d times, answer %+v", runs, answer)
	}
}

// Guards against a connection that is kept after a late answer without a body: the answer to each request would be taken for
// that to the next one.
func TestConnectionIsNotKeptAfterALateAnswerWithoutABody(t *testing.T) {
	server := newBackend(t, func(b *backend) serve {
		return func(n int, c net.Conn, r *bufio.Reader) bool {
			req, ok := b.read(r)
			if !ok {
				return false
			}
			if req.Header.Get(hID) == "r2" {
				_, _ = io.WriteString(c, misdirected("r0"))
				if _, err := r.Peek(1); err != nil {
					return false
				}
			}
			_, err := io.WriteString(c, answerTo(req))
			return err == nil
		}
	})
	address, log := entryHost(t, routes.Route{Kind: routes.NonIdempotent}, server)
	caller := dialCaller(t, address)
	caller.askWhole("r1")
	if a := caller.ask("r2", "/", ""); a.status != http.StatusBadGateway {
		t.Errorf("the answer to r2 is %+v", a)
	}
	if cause := log.wait(t, "r2").Attempts[0].Cause; cause != engineclient.CauseOtherRequest {
		t.Errorf("cause %s", cause)
	}
	caller.askWhole("r3")
}
