package resume

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// kept knows the stream that the attempt "first" began.
type kept struct {
	relay.Origins
	origin   streamorigin.Origin
	asked    int
	versions versions
}

func (k *kept) Find(_ context.Context, account, attempt string) (streamorigin.Origin, string, error) {
	k.asked++
	if account != "school" || attempt != "first" {
		return streamorigin.Origin{}, "", errkind.New(errkind.StreamUnknown, "unknown")
	}
	return k.origin, "host-2", nil
}

// versions are the software versions of all services' servers.
type versions []string

func (v versions) Sole(context.Context, string) (string, error) {
	if len(v) != 1 {
		return "", errkind.New(errkind.StreamUnknown, "several")
	}
	return v[0], nil
}
func (v versions) Share(context.Context, string, string) (bool, []string) { return true, nil }

// serve passes a request through the filter. It returns the exchange, and whether it was passed on.
func serve(t *testing.T, k *kept, kind routes.Kind, req relay.Request) (x *relay.Exchange, passed bool, err error) {
	t.Helper()
	table := routes.Table{
		Services: []routes.Service{{Name: "blue", HealthPath: "/h"}, {Name: "green", HealthPath: "/h"}, {Name: "old", HealthPath: "/h"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: kind, Resumable: kind == routes.Stream, MaxAttempts: 1, Timeout: settings.Duration(1e9),
			Targets: []routes.Target{{Service: "blue", Weight: 99}, {Service: "green", Weight: 1}, {Service: "old", Weight: 0}},
		}},
	}
	index := routes.NewIndex(1, &table)
	req.Host, req.Path = "h", "/x"
	x = &relay.Exchange{Request: &req, Account: &routes.Account{Name: "school"}}
	testutil.NoError(t, x.SelectRoute(index))
	x.Service, _ = index.Service("blue")
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r = r.WithContext(relay.WithExchange(r.Context(), x))
	next := filter.HandlerFunc(func(http.ResponseWriter, *http.Request) error { passed = true; return nil })
	err = (&Filter{Origins: k, Versions: k.versions}).ServeHTTP(httptest.NewRecorder(), r, next)
	return x, passed, err
}

// Guards against a stream that goes on at another service of a split route than the one that began it.
func TestResumedStreamReturnsToItsService(t *testing.T) {
	k := &kept{origin: streamorigin.Origin{Service: "green", Version: "v2"}}
	x, passed, err := serve(t, k, routes.Stream, relay.Request{ResumeAfter: "3", Resumes: "first"})
	testutil.NoError(t, err)
	if !passed || x.Service.Name != "green" || x.Origin == nil || *x.Origin != k.origin || x.OriginFrom != "host-2" {
		t.Errorf("passed on %v to %s, origin %+v from %q", passed, x.Service.Name, x.Origin, x.OriginFrom)
	}
}

// Guards against treating an unknown stream as one that may go on anywhere.
func TestUnknownStreamIsRefused(t *testing.T) {
	for name, resumes := range map[string]string{"other": "second", "none": ""} {
		_, passed, err := serve(t, &kept{versions: versions{"v1", "v2"}}, routes.Stream, relay.Request{ResumeAfter: "3", Resumes: resumes})
		testutil.Refused(t, err, errkind.StreamUnknown, name)
		if passed || errkind.From(err).Ran() != errkind.RanNo {
			t.Errorf("%s: passed on %v, ran %s", name, passed, errkind.From(err).Ran())
		}
	}
}

// Guards against refusing callers that name no attempt where all servers run one version, and against
// serving them at any version should another one appear. A named attempt that is unknown is refused even so:
// a new version may be known to other hosts only.
func TestUnnamedStreamRequiresTheSoleVersion(t *testing.T) {
	x, passed, err := serve(t, &kept{versions: versions{"v1"}}, routes.Stream, relay.Request{ResumeAfter: "3"})
	testutil.NoError(t, err)
	if want := (streamorigin.Origin{Service: "blue", Version: "v1"}); !passed || x.Origin == nil || *x.Origin != want {
		t.Errorf("passed on %v, origin %+v", passed, x.Origin)
	}
	_, passed, err = serve(t, &kept{versions: versions{"v1"}}, routes.Stream, relay.Request{ResumeAfter: "3", Resumes: "second"})
	testutil.Refused(t, err, errkind.StreamUnknown, "a named attempt that nobody knows")
	if passed {
		t.Error("it was passed on")
	}
}

// Guards against running a stream at a service to which its route does not lead, or no longer.
func TestStreamOfAMovedRouteIsRefused(t *testing.T) {
	for _, service := range []string{"old", "removed"} {
		_, passed, err := serve(t, &kept{origin: streamorigin.Origin{Service: service, Version: "v1"}}, routes.Stream, relay.Request{ResumeAfter: "3", Resumes: "first"})
		testutil.Refused(t, err, errkind.NoBackendServer, service)
		if passed || errkind.From(err).RetryAfter == 0 {
			t.Errorf("%s: passed on %v, Retry-After %v", service, passed, errkind.From(err).RetryAfter)
		}
	}
}

// Guards against asking other hosts about requests that resume nothing.
func TestNewRequestsPass(t *testing.T) {
	for _, test := range []struct {
		kind routes.Kind
		req  relay.Request
	}{
		{routes.Stream, relay.Request{}},
		{routes.Stream, relay.Request{Resumes: "first"}}, // without an event there is nothing to continue
		{routes.Idempotent, relay.Request{ResumeAfter: "3", Resumes: "first"}},
	} {
		k := &kept{}
		x, passed, err := serve(t, k, test.kind, test.req)
		if err != nil || !passed || k.asked > 0 || x.Origin != nil {
			t.Errorf("%s %+v: got %v, passed on %v, asked %d times", test.kind, test.req, err, passed, k.asked)
		}
	}
}
