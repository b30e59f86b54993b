package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/httpserver"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// operatorDrain bounds the wait for operators' requests in flight at shutdown.
const operatorDrain = 2 * time.Second

// operatorServer serves the operators' address.
type operatorServer struct{ http *httpserver.Server }

func newOperatorServer(d *Daemon) *operatorServer {
	handler := adminapi.New(adminapi.Config{
		Group: group{d.client}, Fleet: fleetView{d}, Explain: explainer{d}, Orders: d.orders(),
		Quarantine: d.quarantine(), Loads: d.loads(), OnEvacuations: d.evacuationsCommitted, Replica: d.localReplica(),
		OperatorKeyHashes: d.operatorKeyHashes, Ready: d.ready, Log: d.tel.Log,
	})
	s := httpserver.New(httpserver.Config{
		Name: "operators", Address: d.cfg.Listen.Operators, TLS: serverTLS(d.tls.operators), Handler: handler,
	})
	d.countConnections("operators", s)
	return &operatorServer{http: s}
}

func (o *operatorServer) start() error { return o.http.Start() }

func (o *operatorServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorDrain)
	defer cancel()
	_ = o.http.Drain(ctx)
}

// quarantine returns this host's quarantine guard; nil without one.
func (d *Daemon) quarantine() adminapi.Quarantine {
	switch {
	case d.entry != nil:
		return d.entry.suspects
	case d.gateway != nil:
		return d.gateway.suspects
	}
	return nil
}

// localReplica returns a function that describes this host's replica; nil without a replica.
func (d *Daemon) localReplica() func() adminapi.LocalReplica {
	if d.replica == nil {
		return nil
	}
	return func() adminapi.LocalReplica {
		return adminapi.LocalReplica{ID: d.replica.ID(), Standing: string(d.replica.Membership())}
	}
}

// operatorKeyHashes returns the hashes of the settings file and of the fleet's settings.
func (d *Daemon) operatorKeyHashes() []string {
	tree := d.settings.Fleet().OperatorKeyHashes
	out := make([]string, 0, len(d.cfg.OperatorKeyHashes)+len(tree))
	out = append(out, d.cfg.OperatorKeyHashes...)
	return append(out, tree...)
}

// ready returns nil while this host serves callers. A host that serves no callers is ready
// when its settings are.
func (d *Daemon) ready() error {
	switch {
	case d.entry != nil:
		return d.entry.ready()
	case d.gateway != nil:
		return d.gateway.ready()
	}
	return d.settings.Ready()
}

// fleetView implements adminapi.Fleet.
type fleetView struct{ d *Daemon }

// Self returns this host's own state.
func (f fleetView) Self() *pb.HostState {
	cfg := f.d.cfg
	return &pb.HostState{
		Holder: f.d.self(), Zone: cfg.Zone, CallerAddress: cfg.Listen.Callers, PeerAddress: cfg.PeerAddress(),
		Health: pb.HostHealth_HOST_HEALTH_ALIVE, ConfigRevision: f.d.settings.Revision(),
		Leaving: f.d.entry != nil && f.d.entry.leaving.Load(),
	}
}

// Hosts returns all known hosts, this one included.
func (f fleetView) Hosts() []*pb.HostState {
	out := []*pb.HostState{f.Self()}
	if f.d.entry == nil {
		return out
	}
	for _, p := range f.d.entry.members.Peers() {
		out = append(out, &pb.HostState{
			Holder: &pb.Holder{Host: p.Host, Incarnation: p.Incarnation}, Zone: p.Zone,
			CallerAddress: p.CallerAddress, PeerAddress: p.PeerAddress, Health: p.Health, Leaving: p.Leaving,
			ConfigRevision: p.ConfigRevision, SparePermille: p.SparePermille,
		})
	}
	return out
}

// Servers returns the backend servers that this host knows from announcements.
func (f fleetView) Servers() []*pb.ServerState {
	if f.d.entry == nil {
		return nil
	}
	return f.d.entry.sched.Servers()
}
