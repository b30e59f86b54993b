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
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
	"github.com/bluebellsail/bluebellsail/internal/wal"
)

var poisonID = quarantine.ID{Account: "account", Fingerprint: quarantine.FingerprintOf("account", "host", "/x", []byte("poison"))}

// host is a guard in a fleet within this process. The first host owns every request.
type host struct {
	*Guard
	fleet *fleet
	name  string
	// partitioned is set while the host can't reach any other.
	partitioned atomic.Bool
	// replicated counts the suspects that other hosts were asked to hold.
	replicated int
}

type fleet struct {
	hosts []*host
	// alive is set if the servers answer probes.
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
		Host: name, Incarnation: name, Owners: h, Client: h.client, Peers: h.peers, Broadcast: h.broadcast, Replicate: h.replicate, Store: store, Log: zerolog.Nop(),
		Probe: func(context.Context, string, string) engineclient.Liveness {
			if f.alive.Load() {
				return engineclient.Alive
			}
			return engineclient.Gone
		},
	})
	f.hosts = append(f.hosts, h)
	t.Cleanup(h.background.Wait)
	return h
}

func (h *host) FirstRanked(string, int) []owners.Host {
	first := h.fleet.hosts[0]
	if first == h {
		return []owners.Host{{Name: h.name}}
	}
	return []owners.Host{{Name: first.name, Address: first.name}}
}
func (h *host) MarkUnanswered(string) {}
func (h *host) MarkAnswered(string)   {}

func (h *host) peers() []string {
	var out []string
	for _, other := range h.fleet.hosts {
		if other != h {
			out = append(out, other.name)
		}
	}
	return out
}

func (h *host) broadcast(s *pb.Suspect) {
	for _, other := range h.fleet.hosts {
		if other != h && !h.partitioned.Load() && !other.partitioned.Load() {
			other.HandleUpdates([]*pb.Suspect{s}, h.name)
		}
	}
}

func (h *host) replicate(_ context.Context, s *pb.Suspect) error {
	if h.partitioned.Load() {
		return errkind.New(errkind.NotReplicated, "partitioned")
	}
	h.replicated++
	h.broadcast(s)
	return nil
}

// Guards against a release that is confirmed to the operator while only one host knows of it.
func TestReleaseIsReplicatedBeforeItIsConfirmed(t *testing.T) {
	f := newFleet(t, 3)
	suspect := func() {
		f.hosts[1].update(poisonID, func(now time.Time, t *quarantine.Table) bool {
			return t.RecordCrash(now, poisonID, instance.Incarnation{ID: "s1", Started: 1}, "host-1", 0)
		})
	}
	suspect()
	if released, err := f.hosts[2].Release(t.Context(), poisonID.Fingerprint); !released || err != nil || f.hosts[2].replicated != 1 {
		t.Errorf("released %v, %v, %d times replicated", released, err, f.hosts[2].replicated)
	}
	if released, err := f.hosts[2].Release(t.Context(), poisonID.Fingerprint); released || err != nil {
		t.Errorf("nothing to release: %v, %v", released, err)
	}
	suspect()
	f.hosts[2].partitioned.Store(true)
	if _, err := f.hosts[2].Release(t.Context(), poisonID.Fingerprint); !errkind.Is(err, errkind.NotReplicated) {
		t.Errorf("partitioned: %v", err)
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

// client calls another host.
type client struct {
	pb.PeerClient
	from, to *host
}

func (c client) checkReachable() error {
	if c.from.partitioned.Load() || c.to.partitioned.Load() {
		return errors.New("host is partitioned")
	}
	return nil
}

func (c client) FetchSuspects(_ context.Context, r *pb.FetchSuspectsRequest, _ ...grpc.CallOption) (*pb.FetchSuspectsReply, error) {
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	return c.to.HandleFetch(r), nil
}

func (c client) AdmitSuspect(_ context.Context, r *pb.AdmitSuspectRequest, _ ...grpc.CallOption) (*pb.AdmitSuspectReply, error) {
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	return c.to.HandleAdmit(r), nil
}

func (c client) EndSuspect(_ context.Context, r *pb.EndSuspectRequest, _ ...grpc.CallOption) (*pb.EndSuspectReply, error) {
	if err := c.checkReachable(); err != nil {
		return nil, err
	}
	return c.to.HandleEnd(r), nil
}

// breakAt returns the break of an attempt's connection to server n, after the attempt had lasted
// for a time.
func breakAt(n int, lasted time.Duration) filter.ConnectionLoss {
	return filter.ConnectionLoss{Incarnation: instance.Incarnation{ID: fmt.Sprintf("server-%d", n)}, Started: time.Now().Add(-lasted)}
}

// crash simulates a crash of a server while it runs a request of the host.
func (h *host) crash(id quarantine.ID, server int) {
	<-h.checkCrash(quarantine.Request{ID: id}, breakAt(server, time.Second))
}

func (h *host) level(id quarantine.ID) quarantine.Level { return h.status(id).Level }

// admitted asks for an execution and ends it.
func (h *host) admitted(id quarantine.ID) error {
	p, err := h.Admit(context.Background(), quarantine.Request{ID: id})
	if err == nil {
		p.Close()
	}
	return err
}

// Guards against requests that are blamed for crashes because a server, or the network, resets
// connections.
func TestServerThatAnswersHasNotCrashed(t *testing.T) {
	f := newFleet(t, 1)
	f.alive.Store(true)
	for n := range 10 {
		f.hosts[0].crash(poisonID, n)
	}
	if got := f.hosts[0].level(poisonID); got != quarantine.Free {
		t.Error(got)
	}
}

// Guards against requests that are blamed for the crash of a server that had crashed before they
// were sent to it.
func TestAttemptAfterCrashIsNotBlamed(t *testing.T) {
	f := newFleet(t, 2)
	f.hosts[0].crash(poisonID, 1)
	late := poisonID
	late.Fingerprint[0]++
	for _, h := range f.hosts {
		<-h.checkCrash(quarantine.Request{ID: late}, breakAt(1, 0))
		if got := h.level(late); got != quarantine.Free {
			t.Errorf("%s: %s", h.name, got)
		}
		if got := h.level(poisonID); got != quarantine.Suspected {
			t.Errorf("%s: level %s of the request that caused the crash", h.name, got)
		}
	}
}

// Guards against hosts that count only their own crashes, so that a request may crash servers at
// each host.
func TestCrashesAtAllHostsCount(t *testing.T) {
	f := newFleet(t, 3)
	for n, h := range f.hosts {
		h.crash(poisonID, n)
	}
	for _, h := range f.hosts {
		err := h.admitted(poisonID)
		if !errkind.Is(err, errkind.RequestQuarantined) || errkind.From(err).RetryAfter <= 0 {
			t.Errorf("%s: %v", h.name, err)
		}
	}
}

// Guards against a suspected request that runs at all hosts at once: each host must ask the owner
// and wait for the execution in progress.
func TestOneExecutionInTheFleetAtATime(t *testing.T) {
	f := newFleet(t, 3)
	f.hosts[1].crash(poisonID, 1)
	first, err := f.hosts[1].Admit(t.Context(), quarantine.Request{ID: poisonID})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.hosts[2].admitted(poisonID); !errkind.Is(err, errkind.RequestQuarantined) {
		t.Errorf("during another execution: %v", err)
	}
	first.Answered(filter.ServerAnswer{Whole: true})
	first.Close()
	if err := f.hosts[2].admitted(poisonID); err != nil {
		t.Errorf("after the answer: %v", err)
	}
}

// Guards against suspected requests that are rejected because their owner is unreachable, and
// against quarantined ones that are tried on every side of a partition.
func TestUnreachableOwner(t *testing.T) {
	f := newFleet(t, 2)
	other := f.hosts[1]
	other.crash(poisonID, 1)
	f.hosts[0].partitioned.Store(true)
	if err := other.admitted(poisonID); err != nil {
		t.Errorf("suspected: %v", err)
	}
	other.crash(poisonID, 2)
	other.crash(poisonID, 3)
	if err := other.admitted(poisonID); !errkind.Is(err, errkind.RequestQuarantined) {
		t.Errorf("quarantined: %v", err)
	}
}

// Guards against a host that never learns of crashes that it missed in a partition.
func TestPartitionedHostCatchesUp(t *testing.T) {
	f := newFleet(t, 2)
	f.hosts[1].partitioned.Store(true)
	for n := range quarantine.MaxCrashes {
		f.hosts[0].crash(poisonID, n)
	}
	if got := f.hosts[1].level(poisonID); got != quarantine.Free {
		t.Fatal(got)
	}
	f.hosts[1].partitioned.Store(false)
	f.hosts[1].syncWithPeer(t.Context())
	if got := f.hosts[1].level(poisonID); got != quarantine.Quarantined {
		t.Error(got)
	}
}

// Guards against a starting host that counts as synced after a comparison with another host that
// has just started as well.
func TestStartedHostSyncsOnlyWithSyncedHosts(t *testing.T) {
	f := newFleet(t, 1)
	for n := range quarantine.MaxCrashes {
		f.hosts[0].crash(poisonID, n)
	}
	f.hosts[0].partitioned.Store(true)
	a, b := f.add(t, "a", nil), f.add(t, "b", nil)
	for range 20 {
		a.syncWithPeer(t.Context())
	}
	if a.Synced() {
		t.Fatal("synced with a host that has just started")
	}
	f.hosts[0].partitioned.Store(false)
	for range 100 {
		a.syncWithPeer(t.Context())
		b.syncWithPeer(t.Context())
	}
	for _, h := range []*host{a, b} {
		if !h.Synced() || h.level(poisonID) != quarantine.Quarantined {
			t.Errorf("%s: synced %v, %s", h.name, h.Synced(), h.level(poisonID))
		}
	}
}

// Guards against quarantined requests that are forgotten when all hosts fail at once.
func TestStoreSurvivesFailureOfAllHosts(t *testing.T) {
	store := File{FS: wal.OS{}, Dir: t.TempDir()}
	f := &fleet{}
	h := f.add(t, "before", store)
	if !h.Synced() {
		t.Fatal("a host with an empty store waits for others")
	}
	for n := range quarantine.MaxCrashes {
		h.crash(poisonID, n)
	}
	h.save()
	if again := (&fleet{}).add(t, "after", store); again.level(poisonID) != quarantine.Quarantined {
		t.Error(again.level(poisonID))
	}
}

// Guards against a damaged file that makes the start fail, or an empty host count as synced.
func TestDamagedStore(t *testing.T) {
	store := File{FS: wal.OS{}, Dir: t.TempDir()}
	if err := os.WriteFile(filepath.Join(store.Dir, storeFile), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if h := (&fleet{}).add(t, "host", store); h.Synced() {
		t.Error("a host counts as synced after reading a damaged file")
	}
}

// stalledStore is a store whose disk does not answer.
type stalledStore struct{ until chan struct{} }

func (s stalledStore) Load() ([]*pb.Suspect, error) { return nil, nil }

func (s stalledStore) Save([]*pb.Suspect) error {
	<-s.until
	return nil
}

// Guards against a process that does not shut down, or serves no request, because its disk stalls.
func TestStalledDiskBlocksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := stalledStore{until: make(chan struct{})}
		h := (&fleet{}).add(t, "host", store)
		h.synced.Store(true)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.RunStore(ctx)
		}()
		h.crash(poisonID, 1)
		time.Sleep(time.Minute)
		h.crash(poisonID, 2)
		if err := h.admitted(poisonID); err != nil {
			t.Error(err)
		}
		stop()
		begin := time.Now()
		<-ended
		if took := time.Since(begin); took > closeTimeout {
			t.Errorf("shutdown took %v", took)
		}
		close(store.until)
	})
}

// failingStore is a store whose first saves fail.
type failingStore struct {
	failures int
	saved    []*pb.Suspect
}

func (s *failingStore) Load() ([]*pb.Suspect, error) { return nil, nil }

func (s *failingStore) Save(all []*pb.Suspect) error {
	if s.failures > 0 {
		s.failures--
		return errors.New("no space left")
	}
	s.saved = all
	return nil
}

// Guards against a crash that is forgotten after a power failure because the disk was full when it
// was first saved.
func TestSaveIsRetried(t *testing.T) {
	store := &failingStore{failures: 2}
	h := (&fleet{}).add(t, "host", store)
	h.crash(poisonID, 1)
	for range 3 {
		h.save()
	}
	if len(store.saved) != 1 {
		t.Errorf("saved: %v", store.saved)
	}
}
