package forward

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

// restartKnown is how long after a connection to a server was opened a later incarnation of the server that
// has accepted it counts as known. An incarnation announces itself as it starts, and hosts notify each other
// at once; one whose announcement takes longer is mistaken for the former one.
const restartKnown = 300 * time.Millisecond

// versionShared reports whether a stream may begin at the server of a lease: other hosts, at which its caller may take it up
// without naming it, know of the server's version. Else it restricts the request to the versions that they know. If they know
// none, this host is cut off from those that keep versions, and any will do.
func (t *task) versionShared(lease relay.Lease) bool {
	if t.x.Origin != nil || t.x.Route.Kind != routes.Stream || !t.x.Route.Resumable {
		return true
	}
	version, known := lease.Version()
	if !known {
		return true // the stream is of unknown version and is not taken up
	}
	shared, others := t.f.Versions.Share(t.ctx, t.x.Service.Name, version)
	if shared || len(others) == 0 {
		return true
	}
	t.work.Versions = others
	return false
}

// sameVersion is called before the first event of an attempt is passed on, and before further ones while the
// version of the stream is not known. It returns false if the server may run another software version than
// the one that began the stream.
func (t *task) sameVersion(lease relay.Lease, res received) bool {
	if t.x.Origin == nil {
		switch wait := untilRestartKnown(lease, res); {
		case wait == 0:
			t.setOrigin(lease)
		case !t.x.Begun && t.x.Route.Resumable:
			t.recordOriginLater(lease, wait)
		}
		return true
	}
	t.wait(untilRestartKnown(lease, res))
	version, known := lease.Version()
	if !known || version != t.x.Origin.Version {
		return false
	}
	if !t.x.Begun {
		t.recordOrigin()
	}
	return true
}

// awaitOrigin waits until the version of a begun stream that has broken off with err is known, if it may be
// resumed.
func (t *task) awaitOrigin(lease relay.Lease, res received, err error) {
	if err == nil || !t.x.Begun || t.x.Origin != nil || !t.x.Route.Resumable {
		return
	}
	t.wait(untilRestartKnown(lease, res))
	t.setOrigin(lease)
}

// untilRestartKnown returns the time until restartKnown has passed; 0 if the server's incarnations have
// different IDs, which servers check, as they don't report when they started.
func untilRestartKnown(lease relay.Lease, res received) time.Duration {
	if lease.Choice().Instance.Started == 0 {
		return 0
	}
	return max(restartKnown-time.Since(res.opened), 0)
}

// wait waits for d, or until the request ends.
func (t *task) wait(d time.Duration) {
	if d == 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-t.ctx.Done():
	}
}

// setOrigin restricts all further attempts to the software version that began the stream, if it is known, and
// has the origin kept.
func (t *task) setOrigin(lease relay.Lease) {
	version, known := lease.Version()
	if !known {
		return
	}
	t.x.Origin = &streamorigin.Origin{Service: t.x.Service.Name, Version: version}
	t.work.Versions = []string{version}
	t.recordOrigin()
}

// recordOriginLater has the origin of a stream kept once its version is known. Its caller may have left by
// then, to take it up again.
func (t *task) recordOriginLater(lease relay.Lease, wait time.Duration) {
	record, service := t.originRecorder(), t.x.Service.Name
	time.AfterFunc(wait, func() {
		if version, known := lease.Version(); known {
			record(streamorigin.Origin{Service: service, Version: version})
		}
	})
}

const (
	// originMargin is how much longer than the request may take the origin of its stream is kept, for callers
	// that count the time for each attempt anew.
	originMargin = 30 * time.Second
	// maxOriginLifetime bounds that time, which callers choose.
	maxOriginLifetime = 10 * time.Minute
)

// recordOrigin has the origin of the stream kept for callers that take it up again.
func (t *task) recordOrigin() {
	if t.x.Route.Resumable {
		t.originRecorder()(*t.x.Origin)
	}
}

// originRecorder returns a function that has an origin kept for the request's attempt.
func (t *task) originRecorder() func(streamorigin.Origin) {
	origins, account, id := t.f.Origins, t.x.AccountName(), t.x.ID
	lifetime := min(max(t.x.CallerTimeout, t.x.Route.Timeout.Std())+originMargin, maxOriginLifetime)
	return func(o streamorigin.Origin) { origins.Record(account, id, o, lifetime) }
}
