package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// fleet is the simple oracle's world: hosts that really run or not, and a network
// that loses what it is told to. Every tick each running host exchanges heartbeats.
type fleet struct {
	cfg   Config
	seed  uint64
	hosts []*simHost
	// cut[{a,b}] loses everything sent from a to b.
	cut map[[2]int]bool
	// hold keeps copies of requests sent by host holdFrom, to be delivered late.
	holdFrom int
	held     []heldRequest

	bytes    int
	messages int
	digest   int // bytes of the largest digest
}

type simHost struct {
	*Table
	running     bool
	leaving     bool
	incarnation uint64
}

type heldRequest struct {
	to int
	m  *pb.HeartbeatRequest
}

const nobody = -1

func newFleet(n int, seed uint64, cfg Config) *fleet {
	f := &fleet{cfg: cfg, seed: seed, cut: make(map[[2]int]bool), holdFrom: nobody}
	for i := range n {
		f.hosts = append(f.hosts, &simHost{})
		f.start(i)
	}
	return f
}

func simName(i int) string    { return fmt.Sprintf("host-%04d", i) }
func simAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:7000", i/65536, i/256%256, i%256) }

// start starts host i, or restarts it as a new incarnation that knows only seeds.
func (f *fleet) start(i int) {
	h := f.hosts[i]
	h.incarnation++
	h.running = true
	h.leaving = false
	cfg := f.cfg
	cfg.Self = Self{
		Host: simName(i), Incarnation: h.incarnation, Zone: []string{"boa-vista", "imbiribeira", "olinda"}[i%3],
		CallerAddress: simAddress(i), PeerAddress: simAddress(i),
	}
	for s := range min(len(f.hosts), 7) {
		cfg.Seeds = append(cfg.Seeds, simAddress(s))
	}
	h.Table = New(cfg, rand.New(rand.NewPCG(f.seed, uint64(i)<<32|h.incarnation)))
	h.SetLoad(500, 0, 1)
}

func (f *fleet) leave(i int) {
	f.hosts[i].leaving = true
	f.hosts[i].Leave()
}

func (f *fleet) isolate(i int, cut bool) {
	for j := range f.hosts {
		f.cut[[2]int{i, j}] = cut
		f.cut[[2]int{j, i}] = cut
	}
}

func (f *fleet) run(ticks int) {
	for range ticks {
		for i, h := range f.hosts {
			if h.running {
				f.beat(i, h)
			}
		}
	}
}

func (f *fleet) beat(i int, h *simHost) {
	for _, target := range h.Tick() {
		j := slices.IndexFunc(f.hosts, func(x *simHost) bool { return x.cfg.Self.PeerAddress == target.Address })
		if j == i {
			continue
		}
		reply := f.exchange(i, j, h.Request(target.Host))
		if reply == nil {
			h.MarkUnanswered(h.Now(), target.Host)
			continue
		}
		h.ReceiveReply(h.Now(), target.Host, reply)
	}
}

// exchange returns nil when no reply comes.
func (f *fleet) exchange(i, j int, m *pb.HeartbeatRequest) *pb.HeartbeatReply {
	f.count(m)
	if i == f.holdFrom {
		f.held = append(f.held, heldRequest{to: j, m: proto.Clone(m).(*pb.HeartbeatRequest)})
		return nil
	}
	peer := f.hosts[j]
	if !peer.running || f.cut[[2]int{i, j}] {
		return nil
	}
	peer.ReceiveRequest(m)
	reply := &pb.HeartbeatReply{Seq: m.GetSeq(), State: peer.Reply(m.GetFrom().GetHost())}
	f.count(reply)
	if f.cut[[2]int{j, i}] {
		return nil
	}
	return reply
}

func (f *fleet) count(m proto.Message) {
	f.bytes += proto.Size(m)
	f.messages++
	if request, ok := m.(*pb.HeartbeatRequest); ok {
		f.digest = max(f.digest, proto.Size(&pb.HeartbeatRequest{Hosts: request.GetHosts()}))
	}
}

// deliverHeld delivers all held requests at once, as a silent connection that works
// again would. It may be called again: something may send them twice.
func (f *fleet) deliverHeld() {
	for _, h := range f.held {
		if f.hosts[h.to].running {
			f.hosts[h.to].ReceiveRequest(h.m)
		}
	}
}

// view is what host i thinks of host j.
func (f *fleet) view(i, j int) Host {
	for _, h := range f.hosts[i].Hosts() {
		if h.Holder.GetHost() == simName(j) {
			return h
		}
	}
	return Host{}
}

func (f *fleet) health(i, j int) pb.HostHealth { return f.view(i, j).Health }

// addresses of host i's answer, without order.
func (f *fleet) names(i int) []string {
	var names []string
	for _, a := range f.hosts[i].Addresses(testNow, "olinda", testTTL) {
		names = append(names, a.Host)
	}
	slices.Sort(names)
	return names
}

// truth is what every answer must hold once all is quiet.
func (f *fleet) truth() []string {
	var names []string
	for i, h := range f.hosts {
		if h.running && !h.leaving {
			names = append(names, simName(i))
		}
	}
	return names
}
