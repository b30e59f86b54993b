package records

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// fleet is a set of controllers that call each other in memory with a one-way latency of 1 ms.
type fleet struct {
	mu          sync.Mutex
	nodes       map[string]*Controller
	hosts       []inflight.Host
	silent      map[string]bool // the host receives calls but neither handles nor answers them
	loseReplies map[string]bool // the host handles calls, but its replies are lost
	wg          sync.WaitGroup
}

// link is a pb.PeerClient to one host.
type link struct {
	pb.PeerClient
	f    *fleet
	host string
}

// peers is a Dialer.
type peers struct{ f *fleet }

func (p peers) Dial(host string) (pb.PeerClient, bool) {
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	_, ok := p.f.nodes[host]
	return link{f: p.f, host: host}, ok
}

// deliver runs handle at the host unless it is silent, and drops the reply if loseReplies is
// set for it.
func (l link) deliver(ctx context.Context, handle func(*Controller)) error {
	time.Sleep(time.Millisecond)
	l.f.mu.Lock()
	node, silent, lost := l.f.nodes[l.host], l.f.silent[l.host], l.f.loseReplies[l.host]
	l.f.mu.Unlock()
	if !silent {
		handle(node)
	}
	if silent || lost {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return nil
}

func (l link) PutRecords(ctx context.Context, in *pb.PutRecordsRequest, _ ...grpc.CallOption) (out *pb.PutRecordsReply, err error) {
	in = proto.CloneOf(in)
	err = l.deliver(ctx, func(c *Controller) { out = c.HandlePut(in) })
	return out, err
}

func (l link) FindRecord(ctx context.Context, in *pb.FindRecordRequest, _ ...grpc.CallOption) (out *pb.FindRecordReply, err error) {
	err = l.deliver(ctx, func(c *Controller) { out = c.HandleFind(in) })
	return out, err
}

// withFleet runs f in a synctest bubble with n hosts spread over three availability zones,
// whose SyncInterval is sync.
func withFleet(t *testing.T, n int, sync time.Duration, f func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{nodes: make(map[string]*Controller), silent: make(map[string]bool), loseReplies: make(map[string]bool)}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range n {
			h := inflight.Host{Name: fmt.Sprintf("h%d", i), Zone: string("xyz"[i%3]), Incarnation: 1}
			fl.hosts = append(fl.hosts, h)
			c := New(Config{
				Store: inflight.Config{Self: &pb.Holder{Host: h.Name, Incarnation: 1}, Zone: h.Zone},
				Peers: peers{fl}, Log: zerolog.Nop(), SyncInterval: sync,
			})
			fl.nodes[h.Name] = c
			fl.wg.Go(func() { c.Run(ctx) })
		}
		fl.setHosts(fl.hosts)
		defer fl.wg.Wait()
		defer cancel()
		f(t, fl)
	})
}

func (fl *fleet) setHosts(hosts []inflight.Host) {
	for _, c := range fl.nodes {
		c.SetHosts(hosts)
	}
}

func (fl *fleet) set(fault map[string]bool, host string, on bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fault[host] = on
}

// kill permanently removes a host.
func (fl *fleet) kill(name string) {
	fl.mu.Lock()
	delete(fl.nodes, name)
	fl.mu.Unlock()
	var left []inflight.Host
	for _, h := range fl.hosts {
		if h.Name != name {
			left = append(left, h)
		}
	}
	fl.hosts = left
	fl.setHosts(left)
}

func (fl *fleet) holders(identity string) []string {
	var names []string
	for _, h := range fl.hosts {
		if fl.nodes[h.Name].HandleFind(&pb.FindRecordRequest{Identity: identity}).GetFound() {
			names = append(names, h.Name)
		}
	}
	return names
}

func record(i int, host string) *pb.InflightRecord {
	return &pb.InflightRecord{
		Identity: fmt.Sprintf("acc/key%d", i), RequestId: fmt.Sprintf("%s-r%d", host, i),
		Budget: "x", Reserved: 100, BodyHash: 7, EngineRequestId: "e", Server: "s",
	}
}

// TestRetryAnywhereFindsTheRecord begins a request at one host and retries it at every other
// one. Owners in different zones choose different copy holders; if a retry queried the wrong
// hosts, the request would run again.
func TestRetryAnywhereFindsTheRecord(t *testing.T) {
	for _, copies := range []int{1, 2} {
		withFleet(t, 7, defaultSyncInterval, func(t *testing.T, fl *fleet) {
			for i := range 40 {
				owner := fmt.Sprintf("h%d", i%7)
				if _, begun, err := fl.nodes[owner].Begin(t.Context(), record(i, owner), copies); !begun || err != nil {
					t.Fatalf("begin %d: %v %v", i, begun, err)
				}
				for name, c := range fl.nodes {
					existing, begun, err := c.Begin(t.Context(), record(i, name+"-again"), copies)
					if begun || err != nil || existing.GetRequestId() != record(i, owner).GetRequestId() {
						t.Fatalf("copies %d: retry of %d at %s: begun %v, %v, %v", copies, i, name, begun, existing, err)
					}
				}
			}
		})
	}
}

// TestConcurrentBeginsRunOnce has the same request arrive at two hosts at once. Each copies its
// record to a different peer and then sees, or misses, the other's; the request must run at
// exactly one of them.
func TestConcurrentBeginsRunOnce(t *testing.T) {
	withFleet(t, 7, defaultSyncInterval, func(t *testing.T, fl *fleet) {
		for i := range 60 {
			var begun [2]bool
			var wg sync.WaitGroup
			for j := range 2 {
				host := fmt.Sprintf("h%d", (i+j*(1+i%5))%7)
				wg.Go(func() { _, begun[j], _ = fl.nodes[host].Begin(t.Context(), record(i, host), 1) })
			}
			wg.Wait()
			if begun[0] == begun[1] {
				t.Errorf("key %d: begun %v", i, begun)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestRecordSurvivesTwoDeaths has the copy holder of a request die, and a second later its
// owner. A retry must still find the record, which requires that a new copy is made after the
// first death.
func TestRecordSurvivesTwoDeaths(t *testing.T) {
	withFleet(t, 7, defaultSyncInterval, func(t *testing.T, fl *fleet) {
		rec := record(1, "h0")
		if _, begun, err := fl.nodes["h0"].Begin(t.Context(), rec, 1); !begun || err != nil {
			t.Fatal(begun, err)
		}
		for _, name := range fl.holders(rec.GetIdentity()) {
			if name != "h0" {
				fl.kill(name)
			}
		}
		time.Sleep(time.Second)
		fl.kill("h0")
		found, ok, err := fl.nodes[fl.hosts[0].Name].Find(t.Context(), rec.GetIdentity())
		if !ok || err != nil || found.GetEngineRequestId() != "e" {
			t.Fatalf("found %v, %v, %v", found, ok, err)
		}
	})
}

// TestSilentCopyHostReplaced has a first host in rendezvous order that never answers. Unless
// the next host is tried within BeginTimeout, the request waits for the silent peer, or runs
// without a copy although other hosts could hold one.
func TestSilentCopyHostReplaced(t *testing.T) {
	withFleet(t, 7, time.Hour, func(t *testing.T, fl *fleet) {
		first := fl.nodes["h0"].lookup("acc/key1", 1)
		for _, h := range first[:1] {
			fl.set(fl.silent, h.Name, true)
		}
		rec := record(1, "h0")
		start := time.Now()
		_, begun, err := fl.nodes["h0"].Begin(t.Context(), rec, 1)
		if !begun || err != nil || time.Since(start) > defaultBeginTimeout {
			t.Fatalf("begun %v, %v after %v", begun, err, time.Since(start))
		}
		if got := fl.holders(rec.GetIdentity()); len(got) != 2 {
			t.Errorf("held at %v, want the owner and one copy", got)
		}
	})
}

// TestAbandonReachesUnacknowledgedCopy abandons a request whose record reached a peer whose
// reply was lost. Unless that peer is notified although it never acknowledged the record, a
// request that did not run blocks its key, or is billed when its owner dies.
func TestAbandonReachesUnacknowledgedCopy(t *testing.T) {
	withFleet(t, 7, defaultSyncInterval, func(t *testing.T, fl *fleet) {
		target, _ := fl.nodes["h0"].firstTarget("acc/key1")
		fl.set(fl.loseReplies, target, true)
		rec := record(1, "h0")
		if _, begun, err := fl.nodes["h0"].Begin(t.Context(), rec, 1); !begun || err != nil {
			t.Fatal(begun, err)
		}
		fl.nodes["h0"].Abandon(rec.GetIdentity(), rec.GetRequestId())
		fl.set(fl.loseReplies, target, false)
		time.Sleep(3 * time.Second)
		if got := fl.holders(rec.GetIdentity()); len(got) != 0 {
			t.Errorf("still known at %v", got)
		}
		if _, begun, err := fl.nodes["h1"].Begin(t.Context(), record(1, "h1"), 1); !begun || err != nil {
			t.Errorf("a new request with the key did not begin: %v %v", begun, err)
		}
	})
}

// TestAbandonReachesPartitionedCopy has a copy holder that is partitioned and leaves the list
// of live hosts; the request is abandoned, and the host returns in the same incarnation after
// the retention window of finished records. If the owner forgot which version that host holds,
// a request that did not run would be billed when its owner dies.
func TestAbandonReachesPartitionedCopy(t *testing.T) {
	withFleet(t, 7, defaultSyncInterval, func(t *testing.T, fl *fleet) {
		rec := record(1, "h0")
		if _, begun, err := fl.nodes["h0"].Begin(t.Context(), rec, 1); !begun || err != nil {
			t.Fatal(begun, err)
		}
		var copyHost string
		var rest []inflight.Host
		for _, h := range fl.hosts {
			if h.Name != "h0" && fl.nodes[h.Name].HandleFind(&pb.FindRecordRequest{Identity: rec.GetIdentity()}).GetFound() {
				copyHost = h.Name
				continue
			}
			rest = append(rest, h)
		}
		fl.set(fl.silent, copyHost, true)
		fl.nodes["h0"].SetHosts(rest)
		fl.nodes["h0"].Abandon(rec.GetIdentity(), rec.GetRequestId())
		time.Sleep(20 * time.Minute)
		fl.set(fl.silent, copyHost, false)
		fl.nodes["h0"].SetHosts(fl.hosts)
		time.Sleep(2 * time.Second)
		if got := fl.holders(rec.GetIdentity()); len(got) != 0 {
			t.Errorf("still known as running at %v", got)
		}
	})
}

// firstTarget returns the first host to which this one would copy a new record of the identity.
func (c *Controller) firstTarget(identity string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	probe := &pb.InflightRecord{Identity: identity, RequestId: "probe"}
	if err := c.store.Adopt(time.Now(), probe, 1); err != nil {
		return "", false
	}
	targets := c.store.Targets(time.Now(), "probe", nil)
	c.store.Abandon(time.Now(), "probe")
	return targets[0].Name, true
}

// TestTakeoverIsCopied has the owner of a request die and a peer take it over, which dies
// too. The hosts that hold the first owner's record must not reject the new owner's, or the
// request is lost with its second owner.
func TestTakeoverIsCopied(t *testing.T) {
	withFleet(t, 7, defaultSyncInterval, func(t *testing.T, fl *fleet) {
		if _, begun, err := fl.nodes["h0"].Begin(t.Context(), record(1, "h0"), 1); !begun || err != nil {
			t.Fatal(begun, err)
		}
		fl.kill("h0")
		old, found, _ := fl.nodes["h1"].Find(t.Context(), "acc/key1")
		if !found {
			t.Fatal("the record is lost")
		}
		next := proto.CloneOf(old)
		next.RequestId, next.EngineRequestId = "again", "e2"
		if err := fl.nodes["h1"].Takeover(t.Context(), next, 1); err != nil {
			t.Fatal(err)
		}
		fl.kill("h1")
		gathered := 0
		for _, c := range fl.nodes {
			gathered += len(c.HandleGather(&pb.GatherRequest{Dead: &pb.Holder{Host: "h1", Incarnation: 1}}).GetRecords())
		}
		if gathered == 0 {
			t.Error("no copy of the new owner's record")
		}
	})
}

// TestOtherBodyRefused sends the same key with another body to the same and to other hosts.
// Unless the bodies are compared, a caller gets the answer to another request.
func TestOtherBodyRefused(t *testing.T) {
	withFleet(t, 7, defaultSyncInterval, func(t *testing.T, fl *fleet) {
		if _, begun, err := fl.nodes["h0"].Begin(t.Context(), record(1, "h0"), 1); !begun || err != nil {
			t.Fatal(begun, err)
		}
		for name, c := range fl.nodes {
			other := record(1, name+"-other")
			other.BodyHash = 8
			if _, begun, err := c.Begin(t.Context(), other, 1); begun || !errkind.Is(err, errkind.KeyConflict) {
				t.Errorf("%s: begun %v, %v, want idempotency_key_conflict", name, begun, err)
			}
		}
	})
}

// TestTransferCopied makes a transfer with a reachable third host and one whose third host's
// replies are lost, undoes one, and then gathers the records for the recovery of the receiver.
// After the sender or the receiver dies, the same tokens would exist twice if a transfer had no
// copy although a third host was reachable, or if it was undone while a host may hold its copy or
// after the recovery of the receiver counted it.
func TestTransferCopied(t *testing.T) {
	withFleet(t, 3, defaultSyncInterval, func(t *testing.T, fl *fleet) {
		sender, third := fl.nodes["h0"], fl.nodes["h2"]
		tr := func(id string) *pb.Transfer {
			return &pb.Transfer{Id: id, Budget: "x", From: sender.self, To: fl.nodes["h1"].self, Tokens: 5}
		}
		copied := func(id string) bool {
			return third.HandleFind(&pb.FindRecordRequest{Identity: inflight.TransferIdentity(id)}).GetFound()
		}
		if err := sender.CopyTransfer(t.Context(), tr("1")); err != nil || !copied("1") {
			t.Fatalf("%v, copied %v", err, copied("1"))
		}
		fl.set(fl.loseReplies, "h2", true)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		for _, id := range []string{"3", "2"} { // "3" is sent; h2 then counts as unreachable
			if err := sender.CopyTransfer(ctx, tr(id)); err != nil {
				t.Errorf("rejected although no third host is reachable: %v", err)
			}
		}
		if err := sender.AbandonTransfer(ctx, tr("3")); err == nil {
			t.Error("void although the third host may hold the copy")
		}
		fl.set(fl.loseReplies, "h2", false)
		time.Sleep(2 * time.Second)
		if err := sender.AbandonTransfer(t.Context(), tr("3")); err != nil || copied("3") || !copied("2") {
			t.Errorf("after the third host was notified: %v, copies %v %v", err, copied("2"), copied("3"))
		}
		dead := &pb.GatherRequest{Dead: &pb.Holder{Host: "h1", Incarnation: 1}}
		if own, other := sender.HandleGather(dead).GetRecords(), third.HandleGather(dead).GetRecords(); len(own) != 3 || len(other) < 2 {
			t.Errorf("gathered %v at the sender, %v at the third host", own, other)
		}
		if err := sender.AbandonTransfer(t.Context(), tr("2")); err == nil {
			t.Error("undone after the recovery counted it")
		}
	})
}
