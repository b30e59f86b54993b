package ratelimits

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/ratelimit"
)

var server = instance.Incarnation{ID: "s", Started: 1}

// fakeOwners is a table in which one host owns all limits.
type fakeOwners struct {
	owner      owners.Host
	rank       int
	fraction   float64
	unanswered atomic.Int64
	// settled is set if rank and fraction have been the same for long.
	settled bool
	// agreed is for how long all hosts are known to have the same view.
	agreed time.Duration
}

func (o *fakeOwners) AgreedFor() time.Duration { return o.agreed }

func (o *fakeOwners) EachRecent(_ string, _ time.Duration, f func(rank int, alive float64)) bool {
	f(o.rank, o.fraction)
	return o.settled
}

func (o *fakeOwners) FirstRanked(string, int) []owners.Host { return []owners.Host{o.owner} }
func (o *fakeOwners) Rank(string) (int, bool)               { return o.rank, true }
func (o *fakeOwners) AliveFraction() float64                { return o.fraction }
func (o *fakeOwners) MarkUnanswered(string)                 { o.unanswered.Add(1) }
func (o *fakeOwners) MarkAnswered(string)                   {}

// peer is the client of another host.
type peer struct {
	pb.PeerClient
	to    *Limiter
	calls atomic.Int64
	fail  bool
}

func (p *peer) TakePermits(_ context.Context, r *pb.TakePermitsRequest, _ ...grpc.CallOption) (*pb.TakePermitsReply, error) {
	p.calls.Add(1)
	time.Sleep(5 * time.Millisecond)
	if p.fail {
		return nil, errors.New("no answer")
	}
	return p.to.HandleTake(r), nil
}

func newLimiter(o *fakeOwners, p *peer) *Limiter {
	return New(Config{
		Host: "h", Owners: o, Client: func(string) pb.PeerClient { return p }, Broadcast: func(*pb.ServerLimit) {}, Log: zerolog.Nop(),
	})
}

func self() *fakeOwners { return &fakeOwners{fraction: 1} }

func remote() *fakeOwners {
	return &fakeOwners{owner: owners.Host{Name: "o", Address: "10.0.0.1:1"}, fraction: 1}
}

// requestUntilHeld requests permits as a request does until one is held.
func requestUntilHeld(t *testing.T, l *Limiter) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		switch state, _ := l.Check(time.Now(), server); state {
		case ratelimit.Held:
			return
		case ratelimit.MustRequest:
			l.RequestPermits(t.Context(), server)
		}
	}
	t.Fatal("no permit within 5 s")
}

func TestOwnerIssuesPermitsToAnotherHost(t *testing.T) {
	owner := newLimiter(self(), nil)
	p := &peer{to: owner}
	l := newLimiter(remote(), p)
	l.Observe(server, ratelimit.Observation{Limit: 20, At: time.Now()}, "r")
	requestUntilHeld(t, l)
	l.Use(time.Now(), server)
	if obs := owner.table.Observed(server); !obs.Limited() || obs.Limit != 20 {
		t.Errorf("the owner observed %v from the call", obs)
	}
}

// Guards against a host that keeps a limit which the owner knows to be lifted.
func TestOwnerReportsALiftedLimit(t *testing.T) {
	owner := newLimiter(self(), nil)
	l := newLimiter(remote(), &peer{to: owner})
	observedAt := time.Now().Add(-time.Second)
	l.Observe(server, ratelimit.Observation{Limit: 20, At: observedAt}, "r")
	owner.Observe(server, ratelimit.Observation{Limit: 20, At: observedAt}, "r")
	owner.Observe(server, ratelimit.Observation{Limit: ratelimit.None, At: time.Now().Add(-100 * time.Millisecond)}, "r")
	l.RequestPermits(t.Context(), server)
	if state, _ := l.Check(time.Now(), server); state != ratelimit.Free {
		t.Errorf("state %v", state)
	}
}

func TestConcurrentRequestsShareOneCall(t *testing.T) {
	p := &peer{to: newLimiter(self(), nil)}
	l := newLimiter(remote(), p)
	l.Observe(server, ratelimit.Observation{Limit: 1, At: time.Now()}, "r")
	var asks sync.WaitGroup
	for range 20 {
		asks.Go(func() { l.RequestPermits(t.Context(), server) })
	}
	asks.Wait()
	if n := p.calls.Load(); n >= 20 {
		t.Errorf("20 concurrent requests made %d calls", n)
	}
}

// Guards against requests that wait for a failed owner or ignore the limit that it owns.
func TestNoPermitsWhenOwnerDoesNotAnswer(t *testing.T) {
	o := remote()
	l := newLimiter(o, &peer{fail: true})
	l.Observe(server, ratelimit.Observation{Limit: 100, At: time.Now()}, "r")
	l.RequestPermits(t.Context(), server)
	if state, wait := l.Check(time.Now(), server); state != ratelimit.Exhausted || wait > unansweredBackoff {
		t.Errorf("state %v for %v", state, wait)
	}
	if o.unanswered.Load() != 1 {
		t.Error("the owner was not marked as unanswered")
	}
}

func TestLowRankedHostIssuesNoPermits(t *testing.T) {
	o := self()
	o.rank = 2
	l := newLimiter(o, nil)
	l.Observe(server, ratelimit.Observation{Limit: 1000, At: time.Now().Add(-time.Minute)}, "r")
	for range 5 {
		if r := l.HandleTake(&pb.TakePermitsRequest{Host: "x", Want: 1, Limit: &pb.ServerLimit{Run: &pb.ServerRun{Id: "s", Incarnation: 1}}}); r.GetGranted() != 0 {
			t.Fatal("a permit was issued")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a host whose record of a limit has expired and which lifts the limit at the owner
// with its request.
func TestRequestWithExpiredLimitDoesNotLiftIt(t *testing.T) {
	owner := newLimiter(self(), nil)
	l := newLimiter(remote(), &peer{to: owner})
	owner.Observe(server, ratelimit.Observation{Limit: 20, At: time.Now().Add(-time.Minute)}, "r")
	l.RequestPermits(t.Context(), server)
	if !owner.table.Observed(server).Limited() || !l.table.Observed(server).Limited() {
		t.Error("the limit is lifted")
	}
}

// Guards against malformed messages of other hosts that crash this host or change its limits.
func TestMalformedPeerLimitsAreIgnored(t *testing.T) {
	l := newLimiter(self(), nil)
	l.Merge([]*pb.ServerLimit{
		nil, {}, {Run: &pb.ServerRun{Id: "s"}, Limited: true, PerSecond: -3}, {Run: &pb.ServerRun{Id: "a b"}, Limited: true, PerSecond: 1},
		{Run: &pb.ServerRun{Id: "t"}, Limited: true, PerSecond: 1, AgeMs: -1 << 62},
	})
	if n := len(l.Limits()); n != 1 {
		t.Errorf("%d limits are known, want only that of t, which has a valid number", n)
	}
	l.HandleTake(nil)
	l.HandleTake(&pb.TakePermitsRequest{})
}
