package versions

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"
	"pgregory.net/rapid"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

const service = "pool"

// fleet is a set of hosts. Those whose names begin with c run a replica of the control group.
type fleet struct {
	mu    sync.Mutex
	hosts map[string]*Keeper
	// local has the versions that a host knows from its registry.
	local map[string][]string
	// groups has the side of a partition on which a host is; hosts of different sides do not reach each other.
	groups map[string]int
	calls  int
}

func newFleet(names ...string) *fleet {
	f := &fleet{hosts: make(map[string]*Keeper), local: make(map[string][]string), groups: make(map[string]int)}
	for _, name := range names {
		f.start(name)
	}
	return f
}

func isControl(name string) bool { return name[0] == 'c' }

// start starts a host, which has been told nothing yet.
func (f *fleet) start(name string) {
	k := New(Config{
		Local:    func(string) []string { return f.localOf(name) },
		Controls: func() (ControlGroup, bool) { return f.group(name), true },
		Client:   func(to string) pb.PeerClient { return &client{f: f, from: name, to: to} },
		Log:      zerolog.Nop(),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[name] = k
}

func (f *fleet) group(self string) (g ControlGroup) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Self = isControl(self)
	for name := range f.hosts {
		if isControl(name) && name != self {
			g.Others = append(g.Others, name)
		}
	}
	return g
}

func (f *fleet) localOf(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.local[name])
}

// announce has a host know a server of a version.
func (f *fleet) announce(host, version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Contains(f.local[host], version) {
		f.local[host] = append(f.local[host], version)
	}
}

// moveTo puts a host on a side of the partition.
func (f *fleet) moveTo(name string, side int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.groups[name] = side
}

func (f *fleet) connected(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.groups[a] == f.groups[b]
}

func (f *fleet) host(name string) *Keeper {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

// client calls another host of the fleet.
type client struct {
	pb.PeerClient
	f        *fleet
	from, to string
}

func (c *client) ShareVersions(ctx context.Context, r *pb.ShareVersionsRequest, _ ...grpc.CallOption) (*pb.ShareVersionsReply, error) {
	c.f.mu.Lock()
	c.f.calls++
	c.f.mu.Unlock()
	if !c.f.connected(c.from, c.to) {
		<-ctx.Done()
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	time.Sleep(time.Millisecond)
	return c.f.host(c.to).HandleShare(r)
}

// inFleet runs a test with three control hosts and three others, all of which have been up for long.
func inFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(names...)
		time.Sleep(settleTime)
		test(t, f)
		synctest.Wait()
	})
}

func (f *fleet) announceEverywhere(version string) {
	for name := range f.hosts {
		f.announce(name, version)
	}
}

func (f *fleet) wantSole(t *testing.T, host, version string) {
	t.Helper()
	if got, err := f.host(host).Sole(testutil.Within(t, time.Minute), service); err != nil || got != version {
		t.Errorf("%s: got %q, %v, want %q", host, got, err, version)
	}
}

func (f *fleet) wantRefusal(t *testing.T, host, when string) {
	t.Helper()
	version, err := f.host(host).Sole(testutil.Within(t, time.Minute), service)
	testutil.Refused(t, err, errkind.StreamUnknown, when)
	if err != nil && errkind.From(err).Ran() != errkind.RanNo {
		t.Errorf("%s: got %q, ran %s", when, version, errkind.From(err).Ran())
	}
}

// Guards against a host that takes the version it knows for the only one, though others began streams at another one while
// it stood still or was cut off.
func TestSoleVersionIsThatOfAQuorum(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.announceEverywhere("v1")
		f.wantSole(t, "g1", "v1")
		f.announce("g2", "v2")
		if shared, others := f.host("g2").Share(t.Context(), service, "v2"); !shared {
			t.Fatalf("not shared, others %q", others)
		}
		f.wantRefusal(t, "g1", "another host has begun a stream at v2")
		calls := f.calls
		f.wantRefusal(t, "g1", "again")
		if f.calls > calls {
			t.Error("control hosts are asked though this host knows of v2 by now")
		}
		f.wantRefusal(t, "c1", "at a control host")
	})
}

// Guards against a host that decides on its own knowledge while it reaches no quorum, and against callers who wait long for
// that refusal.
func TestHostWithoutAQuorumKnowsNoSoleVersion(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.announceEverywhere("v1")
		for _, name := range []string{"c1", "c2"} {
			f.moveTo(name, 1)
		}
		asked := time.Now()
		f.wantRefusal(t, "g1", "two of three control hosts are out of reach")
		if took, most := time.Since(asked), rounds*askTimeout+roundPause; took > most {
			t.Errorf("refused after %v, want %v at most", took, most)
		}
		f.moveTo("c1", 0)
		f.wantSole(t, "g1", "v1")
	})
}

// Guards against answers of control hosts that have just started and know nothing.
func TestStartedControlHostsDoNotCount(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.announceEverywhere("v1")
		f.start("c1")
		f.wantSole(t, "g1", "v1")
		f.start("c2")
		f.wantRefusal(t, "g1", "two of three have just started")
		if shared, _ := f.host("g1").Share(t.Context(), service, "v1"); !shared {
			t.Error("a host that has just started keeps no version")
		}
		time.Sleep(settleTime)
		f.wantSole(t, "g1", "v1")
	})
}

// Guards against streams that begin at a version which only hosts on one side of a partition know, and against streams that
// are refused there at versions that were known before.
func TestVersionIsNotSharedWithoutAQuorum(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		g := f.host("g1")
		if shared, _ := g.Share(t.Context(), service, "v1"); !shared {
			t.Fatal("v1 is not shared")
		}
		f.moveTo("g1", 1)
		shared, others := g.Share(t.Context(), service, "v2")
		if shared || !slices.Equal(others, []string{"v1"}) {
			t.Errorf("v2 shared %v, others %q", shared, others)
		}
		asked := time.Now()
		if _, _ = g.Share(t.Context(), service, "v2"); time.Since(asked) > 0 {
			t.Error("the next stream waits, too")
		}
		for range 3 {
			time.Sleep(instance.DefaultForget / 2)
			if shared, _ := g.Share(t.Context(), service, "v1"); !shared {
				t.Error("v1 counts no longer as shared")
			}
		}
		f.moveTo("g1", 0)
		time.Sleep(shareRetry)
		if shared, _ := g.Share(t.Context(), service, "v2"); !shared {
			t.Error("v2 is not shared after the partition")
		}
	})
}

// Guards against a question to the control hosts for each stream, and against versions in use that they forget.
func TestSharedVersionIsRenewed(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		for range 10 {
			_, _ = f.host("g1").Share(t.Context(), service, "v2")
		}
		if f.calls > 3 {
			t.Errorf("%d calls for one version", f.calls)
		}
		for range 5 {
			time.Sleep(retention)
			_, _ = f.host("g1").Share(t.Context(), service, "v2")
			time.Sleep(time.Second)
		}
		f.announce("g2", "v1")
		f.wantRefusal(t, "g2", "streams begin at v2 all the time")
		time.Sleep(instance.DefaultForget)
		f.wantSole(t, "g2", "v1")
	})
}

// Guards against a version that is never forgotten since hosts tell each other of it, though no server has it.
func TestQuestionsDoNotKeepVersions(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		_, _ = f.host("g1").Share(t.Context(), service, "v1")
		f.announceEverywhere("v2")
		end := time.Now().Add(2 * instance.DefaultForget)
		for time.Now().Before(end) {
			_, _ = f.host("g2").Sole(t.Context(), service)
			time.Sleep(time.Second)
		}
		f.wantSole(t, "g2", "v2")
	})
}

// Guards against memory that grows with what other hosts send, and against acknowledging a version that is not kept.
func TestKeptVersionsAreBounded(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		k := f.host("c1")
		for half := range 2 {
			var many []string
			for n := range maxKept {
				many = append(many, fmt.Sprint("v", half, n))
			}
			if _, err := k.HandleShare(&pb.ShareVersionsRequest{Service: service, Versions: many}); (err == nil) != (half == 0) {
				t.Errorf("half %d: got %v", half, err)
			}
		}
		if _, err := k.HandleShare(&pb.ShareVersionsRequest{Service: "other", Versions: []string{string(make([]byte, maxText+1))}}); err == nil {
			t.Error("a version of more than the longest text is acknowledged")
		}
		if len(k.kept) != maxKept {
			t.Errorf("%d are kept, want %d", len(k.kept), maxKept)
		}
		time.Sleep(instance.DefaultForget)
		if reply, err := k.HandleShare(&pb.ShareVersionsRequest{Service: service, Versions: []string{"v1"}}); err != nil || len(reply.GetVersions()) != 1 {
			t.Errorf("%d versions are known after the time for which they are kept, %v", len(reply.GetVersions()), err)
		}
	})
}

// Guards against a host that can't keep what the control hosts know, and takes its own version for the only one.
func TestFullHostStillCountsTheAnswers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.announceEverywhere("v1")
		for n := range maxKept {
			f.host("g1").kept[named{"other", fmt.Sprint(n)}] = time.Now()
		}
		if shared, _ := f.host("g2").Share(t.Context(), service, "v2"); !shared {
			t.Fatal("v2 is not shared")
		}
		f.wantRefusal(t, "g1", "another host has begun a stream at v2")
	})
}

// world is a fleet with the versions at which streams have begun.
type world struct {
	*fleet
	begun []string
}

// action is one step of a run.
type action struct {
	kind                 string
	host, other, version string
	side, ms             int
}

var (
	names = []string{"c1", "c2", "c3", "g1", "g2", "g3"}
	// actions draws steps. Servers announce themselves to one host, hosts tell others of their servers, partitions change, time
	// passes, streams begin and are taken up without their names.
	actions = rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
		return action{
			kind: rapid.SampledFrom([]string{"announce", "tell", "tell", "move", "wait", "begin", "begin", "resume", "resume"}).Draw(rt, "kind"),
			host: rapid.SampledFrom(names).Draw(rt, "host"), other: rapid.SampledFrom(names).Draw(rt, "other"),
			version: rapid.SampledFrom([]string{"v1", "v1", "v2"}).Draw(rt, "version"),
			side:    rapid.SampledFrom([]int{0, 0, 1}).Draw(rt, "side"), ms: rapid.SampledFrom([]int{1, 30, 1000}).Draw(rt, "ms"),
		}
	}), 20, 100)
)

func (w *world) step(t *testing.T, a action) error {
	switch a.kind {
	case "announce":
		w.announce(a.host, a.version)
	case "tell":
		if w.connected(a.host, a.other) {
			for _, v := range w.localOf(a.host) {
				w.announce(a.other, v)
			}
		}
	case "move":
		w.moveTo(a.host, a.side)
	case "wait":
		time.Sleep(time.Duration(a.ms) * time.Millisecond)
	case "begin":
		w.begin(t, a.host, a.version)
	case "resume":
		return w.resume(t, a.host)
	}
	return nil
}

// begin begins a stream at a version if the host knows a server of it and may.
func (w *world) begin(t *testing.T, host, version string) {
	if !slices.Contains(w.localOf(host), version) {
		return
	}
	if shared, _ := w.host(host).Share(t.Context(), service, version); shared {
		w.begun = append(w.begun, version)
	}
}

func (w *world) resume(t *testing.T, host string) error {
	version, err := w.host(host).Sole(t.Context(), service)
	if err != nil {
		return nil // refused
	}
	if slices.ContainsFunc(w.begun, func(v string) bool { return v != version }) {
		return fmt.Errorf("%s takes %q for the only version, streams have begun at %q", host, version, w.begun)
	}
	return nil
}

// Guards against a stream that is taken up as one of another version, whatever hosts hear of each other: servers of several
// versions announce themselves to any host, and partitions come and go.
func TestSoleVersionIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := actions.Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			w := &world{fleet: newFleet(names...)}
			time.Sleep(settleTime)
			for n, a := range steps {
				if err := w.step(t, a); err != nil {
					rt.Errorf("step %d: %v", n, err)
					break
				}
			}
			synctest.Wait()
		})
	})
}
