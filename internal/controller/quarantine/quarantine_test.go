package quarantine

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

var poison = quarantine.ID{Account: "account", Fingerprint: quarantine.FingerprintOf("account", "host", "/x", []byte("poison"))}

// host is a guard with its fellows, all in this process. The first host owns every request.
type host struct {
	*Guard
	fleet *fleet
	name  string
	// cut: it reaches nobody, and nobody reaches it.
	cut atomic.Bool
}

type fleet struct {
	hosts []*host
	// alive are the servers that answer.
	alive atomic.Bool
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.add(t, fmt.Sprintf("host-%d", i), nil)
	}
	for _, h := range f.hosts {
		h.synced.Store(true)
	}
	return f
}

func (f *fleet) add(t *testing.T, name string, store Store) *host {
	h := &host{fleet: f, name: name}
	h.Guard = New(Config{
		Host: name, Run: name, Owners: h, Client: h.client, Peers: h.peers, Tell: h.tell, Store: store, Log: zerolog.Nop(),
		Answers: func(context.Context, string, string) bool { return f.alive.Load() },
	})
	f.hosts = append(f.hosts, h)
	t.Cleanup(h.behind.Wait)
	return h
}

func (h *host) Of(string, int) []owners.Host {
	first := h.fleet.hosts[0]
	if first == h {
		return []owners.Host{{Name: h.name}}
	}
	return []owners.Host{{Name: first.name, Address: first.name}}
}
func (h *host) Unanswered(string) {}
func (h *host) Answered(string)   {}

func (h *host) peers() []string {
	var out []string
	for _, other := range h.fleet.hosts {
		if other != h {
			out = append(out, other.name)
		}
	}
	return out
}

func (h *host) tell(s *pb.Suspect) {
	for _, other := range h.fleet.hosts {
		if other != h && !h.cut.Load() && !other.cut.Load() {
			other.HandleTold([]*pb.Suspect{s}, h.name)
		}
	}
}

func (h *host) client(address string) pb.PeerClient {
	for _, other := range h.fleet.hosts {
		if other.name == address {
			return client{from: h, to: other}
		}
	}
	return nil
}

// client reaches another host.
type client struct {
	pb.PeerClient
	from, to *host
}

func (c client) reach() error {
	if c.from.cut.Load() || c.to.cut.Load() {
		return errors.New("cut off")
	}
	return nil
}

func (c client) FetchSuspects(_ context.Context, r *pb.FetchSuspectsRequest, _ ...grpc.CallOption) (*pb.FetchSuspectsReply, error) {
	if err := c.reach(); err != nil {
		return nil, err
	}
	return c.to.HandleFetch(r), nil
}

func (c client) AdmitSuspect(_ context.Context, r *pb.AdmitSuspectRequest, _ ...grpc.CallOption) (*pb.AdmitSuspectReply, error) {
	if err := c.reach(); err != nil {
		return nil, err
	}
	return c.to.HandleAdmit(r), nil
}

func (c client) EndSuspect(_ context.Context, r *pb.EndSuspectRequest, _ ...grpc.CallOption) (*pb.EndSuspectReply, error) {
	if err := c.reach(); err != nil {
		return nil, err
	}
	return c.to.HandleEnd(r), nil
}

// breakAt tells of a connection to a run of a server that broke, after the attempt had lasted.
func breakAt(n int, lasted time.Duration) filter.ConnectionLoss {
	return filter.ConnectionLoss{Incarnation: instance.Incarnation{ID: fmt.Sprintf("server-%d", n)}, Started: time.Now().Add(-lasted)}
}

// crash has a server end under a request at a host.
func (h *host) crash(id quarantine.ID, server int) { <-h.judge(id, breakAt(server, time.Second)) }

func (h *host) level(id quarantine.ID) quarantine.Level { return h.standing(id).Level }

// admitted asks for a run, and ends it.
func (h *host) admitted(id quarantine.ID) error {
	p, err := h.Admit(context.Background(), id)
	if err == nil {
		p.Close()
	}
	return err
}

// Guards against requests that are taken for the cause of crashes because a server, or the
// network, resets connections.
func TestServerThatAnswersHasNotCrashed(t *testing.T) {
	f := newFleet(t, 1)
	f.alive.Store(true)
	for n := range 10 {
		f.hosts[0].crash(poison, n)
	}
	if got := f.hosts[0].level(poison); got != quarantine.Free {
		t.Error(got)
	}
}

// Guards against requests that are blamed for a server that had crashed before they met it.
func TestAttemptAfterTheCrashIsNotItsCause(t *testing.T) {
	f := newFleet(t, 2)
	f.hosts[0].crash(poison, 1)
	late := poison
	late.Fingerprint[0]++
	for _, h := range f.hosts {
		<-h.judge(late, breakAt(1, 0))
		if got := h.level(late); got != quarantine.Free {
			t.Errorf("%s: %s", h.name, got)
		}
		if got := h.level(poison); got != quarantine.Suspected {
			t.Errorf("%s: %s of the cause", h.name, got)
		}
	}
}

// Guards against a request that each host lets crash servers for itself.
func TestCrashesOfAllHostsCount(t *testing.T) {
	f := newFleet(t, 3)
	for n, h := range f.hosts {
		h.crash(poison, n)
	}
	for _, h := range f.hosts {
		err := h.admitted(poison)
		if !errkind.Is(err, errkind.RequestQuarantined) || errkind.From(err).RetryAfter <= 0 {
			t.Errorf("%s: %v", h.name, err)
		}
	}
}

// Guards against a request that runs in as many places at once as there are hosts: each of them
// asks the owner, and waits for the run under way.
func TestOneRunInTheFleetAtATime(t *testing.T) {
	f := newFleet(t, 3)
	f.hosts[1].crash(poison, 1)
	first, err := f.hosts[1].Admit(t.Context(), poison)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.hosts[2].admitted(poison); !errkind.Is(err, errkind.RequestQuarantined) {
		t.Errorf("beside a run: %v", err)
	}
	first.Answered()
	first.Close()
	if err := f.hosts[2].admitted(poison); err != nil {
		t.Errorf("after its answer: %v", err)
	}
}

// Guards against an owner out of reach for which suspected requests are refused, or quarantined
// ones tried on every side of a partition.
func TestOwnerOutOfReach(t *testing.T) {
	f := newFleet(t, 2)
	other := f.hosts[1]
	other.crash(poison, 1)
	f.hosts[0].cut.Store(true)
	if err := other.admitted(poison); err != nil {
		t.Errorf("suspected: %v", err)
	}
	other.crash(poison, 2)
	other.crash(poison, 3)
	if err := other.admitted(poison); !errkind.Is(err, errkind.RequestQuarantined) {
		t.Errorf("quarantined: %v", err)
	}
}

// Guards against a host that missed crashes in a partition and goes on without them after it.
func TestHostThatWasCutOffLearns(t *testing.T) {
	f := newFleet(t, 2)
	f.hosts[1].cut.Store(true)
	for n := range quarantine.MaxCrashes {
		f.hosts[0].crash(poison, n)
	}
	if got := f.hosts[1].level(poison); got != quarantine.Free {
		t.Fatal(got)
	}
	f.hosts[1].cut.Store(false)
	f.hosts[1].compare(t.Context())
	if got := f.hosts[1].level(poison); got != quarantine.Quarantined {
		t.Error(got)
	}
}

// Guards against a host that starts beside others which know as little as itself, and takes
// that for all there is to know.
func TestStartedHostLearnsFromOneThatKnows(t *testing.T) {
	f := newFleet(t, 1)
	for n := range quarantine.MaxCrashes {
		f.hosts[0].crash(poison, n)
	}
	f.hosts[0].cut.Store(true)
	a, b := f.add(t, "a", nil), f.add(t, "b", nil)
	for range 20 {
		a.compare(t.Context())
	}
	if a.Synced() {
		t.Fatal("synced with a host that has just started")
	}
	f.hosts[0].cut.Store(false)
	for range 100 {
		a.compare(t.Context())
		b.compare(t.Context())
	}
	for _, h := range []*host{a, b} {
		if !h.Synced() || h.level(poison) != quarantine.Quarantined {
			t.Errorf("%s: synced %v, %s", h.name, h.Synced(), h.level(poison))
		}
	}
}

// Guards against a loss of all hosts at once after which nobody knows what crashed servers.
func TestStoreOutlivesAllHosts(t *testing.T) {
	store := File{FS: wal.OS{}, Dir: t.TempDir()}
	f := &fleet{}
	h := f.add(t, "before", store)
	if !h.Synced() {
		t.Fatal("a host with an empty store waits for others")
	}
	for n := range quarantine.MaxCrashes {
		h.crash(poison, n)
	}
	h.save()
	if again := (&fleet{}).add(t, "after", store); again.level(poison) != quarantine.Quarantined {
		t.Error(again.level(poison))
	}
}

// Guards against a start that fails, or knows nothing and says that it knows all, because of a
// damaged file.
func TestDamagedStore(t *testing.T) {
	store := File{FS: wal.OS{}, Dir: t.TempDir()}
	if err := os.WriteFile(filepath.Join(store.Dir, storeFile), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if h := (&fleet{}).add(t, "host", store); h.Synced() {
		t.Error("synced by a file that can't be read")
	}
}

// stalled is a store whose disk does not answer.
type stalled struct{ until chan struct{} }

func (s stalled) Load() ([]*pb.Suspect, error) { return nil, nil }

func (s stalled) Save([]*pb.Suspect) error {
	<-s.until
	return nil
}

// Guards against a process that does not end, or serves no request, because its disk stands still.
func TestStalledDiskHoldsNothingUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := stalled{until: make(chan struct{})}
		h := (&fleet{}).add(t, "host", store)
		h.synced.Store(true)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.RunStore(ctx)
		}()
		h.crash(poison, 1)
		time.Sleep(time.Minute)
		h.crash(poison, 2)
		if err := h.admitted(poison); err != nil {
			t.Error(err)
		}
		stop()
		begin := time.Now()
		<-ended
		if took := time.Since(begin); took > closeWait {
			t.Errorf("the end took %v", took)
		}
		close(store.until)
	})
}

// failing is a store whose disk takes writes only after some tries.
type failing struct {
	failures int
	saved    []*pb.Suspect
}

func (s *failing) Load() ([]*pb.Suspect, error) { return nil, nil }

func (s *failing) Save(all []*pb.Suspect) error {
	if s.failures > 0 {
		s.failures--
		return errors.New("no space left")
	}
	s.saved = all
	return nil
}

// Guards against a crash that is lost with the next loss of power because the disk was full when
// it was to be kept.
func TestSaveIsTriedAgain(t *testing.T) {
	store := &failing{failures: 2}
	h := (&fleet{}).add(t, "host", store)
	h.crash(poison, 1)
	for range 3 {
		h.save()
	}
	if len(store.saved) != 1 {
		t.Errorf("saved: %v", store.saved)
	}
}
