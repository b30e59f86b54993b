package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// Guards against holding a server responsible for the loss of the peer through which it was reached,
// and against taking a request that it may have run for one that it has not.
func TestLossOfThePeerIsNotTheServersFailure(t *testing.T) {
	lost := func(context.Context, *engineclient.Forward) (*http.Response, error) {
		return nil, &engineclient.Error{Ran: errkind.RanUnknown, Cause: engineclient.CausePeerLost, Message: "lost"}
	}
	r := newRun(t, routes.NonIdempotent, lost)
	wantKind(t, r.do(), errkind.BackendServerFailed, errkind.RanUnknown)
	if fmt.Sprint(r.leases.results) != fmt.Sprint([]balance.Result{balance.Abandoned}) {
		t.Errorf("before the answer: results %v", r.leases.results)
	}

	r = newRun(t, routes.Stream, answers(stream(event(1)+"id: 2\nda", &peertunnel.PeerError{Peer: "p"})), answers(stream(event(2), nil)))
	r.route.Resumable = true
	if err := r.do(); err != nil || r.w.Body.String() != event(1)+event(2) {
		t.Errorf("within a stream: got %v, %q", err, r.w.Body)
	}
	if fmt.Sprint(r.leases.results) != fmt.Sprint([]balance.Result{balance.Abandoned, balance.Served}) || r.x.Attempts[0].Cause != engineclient.CausePeerLost {
		t.Errorf("within a stream: results %v, cause %s", r.leases.results, r.x.Attempts[0].Cause)
	}
}
