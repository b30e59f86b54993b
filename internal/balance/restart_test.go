package balance

import (
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// restarted is a run of an engine.
func restarted(started uint64) instance.Announcement {
	a := engines(1)[0]
	a.Started = started
	return a
}

// Symptom: a server that was started again gets too few requests, or such as it is slow
// with.
// Sequence: it failed or was busy before it crashed, and kept prompt parts; it starts again
// under its id.
// Cause: pauses, load and cached parts of the former run were held against the new one.
func TestNextRunOwesNothing(t *testing.T) {
	w := newWorld("z", restarted(100))
	w.serve(t, prompt(7, 1, 13_000, 3_000), time.Second)
	open := w.choose(t, prompt(7, 2, 13_000, 3_000))
	lost := w.choose(t, prompt(7, 3, 13_000, 3_000))
	w.core.Done(w.now, lost.Ticket, Unreachable)
	_, err := w.core.Choose(w.now, prompt(7, 4, 13_000, 3_000))
	testutil.Refused(t, err, errkind.NoBackendServer, "while the former run pauses")

	w.announce(restarted(200))
	c := w.choose(t, prompt(7, 5, 13_000, 3_000))
	if c.Cached != 0 || c.Running != 0 || c.Wait != readTime(16_000) || c.Instance.Started != 200 {
		t.Errorf("the new run is taken for %+v", c)
	}
	w.core.Done(w.now, c.Ticket, Served)
	// What comes late of the former run's requests is of that run.
	w.core.First(w.now, open.Ticket)
	w.core.Done(w.now, open.Ticket, Broken)
	if c := w.choose(t, prompt(7, 6, 13_000, 3_000)); c.Running != 0 || c.Cached != 13_000 {
		t.Errorf("after the former run's failure the new one is taken for %+v", c)
	}
}

// Symptom: a request is refused for want of a server though one serves.
// Sequence: its server, the last one of the service, crashes with it and starts again under
// its id.
// Cause: the id, not the run, was excluded from the request's next attempt.
func TestNextRunIsAnotherCandidate(t *testing.T) {
	w := newWorld("z", restarted(100))
	work := prompt(7, 1, 100, 100)
	c := w.choose(t, work)
	w.core.Done(w.now, c.Ticket, Broken)
	work.Exclude = append(work.Exclude, c.Instance.Incarnation())
	w.announce(restarted(200))
	next := w.choose(t, work)
	w.core.Done(w.now, next.Ticket, Broken)
	work.Exclude = append(work.Exclude, next.Instance.Incarnation())
	w.now = w.now.Add(maxBackoff)
	_, err := w.core.Choose(w.now, work)
	testutil.Refused(t, err, errkind.NoBackendServer, "both runs had the request")
}

// Symptom: after a server's restart, requests wait there for prompt parts to be read that
// were taken for kept.
// Sequence: another host tells what the former run kept, before or after the new run is
// known.
// Cause: what is known of a cache had the id alone on it.
func TestKnowledgeIsOfOneRun(t *testing.T) {
	parts := []Part{{ID: 1, Tokens: 3_000}, {ID: 7, Tokens: 13_000}}
	of := func(started uint64) []Known {
		return []Known{{Server: instance.Incarnation{ID: "e00", Started: started}, Parts: parts, CacheTokens: memory}}
	}
	w := newWorld("z", restarted(100))
	w.core.Learn(of(100))
	w.core.Learn(of(300)) // this host has not heard of that run yet
	if c := w.choose(t, prompt(7, 2, 13_000, 3_000)); c.Cached != 13_000 {
		t.Errorf("%d cached at the run that keeps the part", c.Cached)
	}
	w.announce(restarted(200))
	w.core.Learn(of(100))
	if c := w.choose(t, prompt(7, 3, 13_000, 3_000)); c.Cached != 0 {
		t.Errorf("%d cached at a run that has read nothing", c.Cached)
	}
	if _, _, ok := w.core.ShardOfServer(instance.Incarnation{ID: "e00", Started: 100}); ok {
		t.Error("what was read by the former run is told on")
	}
	w.announce(restarted(300))
	if c := w.choose(t, prompt(7, 4, 13_000, 3_000)); c.Cached != 13_000 {
		t.Errorf("%d cached at the run that another host has read the part at", c.Cached)
	}
}

func TestFormerRunsAreForgotten(t *testing.T) {
	w := newWorld("z", engines(3)...)
	for started := uint64(1); started < 50; started++ {
		w.announce(restarted(started))
		w.core.Done(w.now, w.choose(t, prompt(7, 1, 100, 100)).Ticket, Served)
		w.core.Expire()
	}
	if n := len(w.core.servers) + len(w.core.touched); n > 6 {
		t.Errorf("%d entries for 3 servers", n)
	}
}
