package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/surface"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// tableTimeout bounds an operator's call about the routing table. Operators' clients wait one
// second for an answer and then try another host.
const tableTimeout = 900 * time.Millisecond

// disconnectedTimeout bounds such a call while the control group does not answer this host.
const disconnectedTimeout = 250 * time.Millisecond

// tableCallTimeout returns the timeout of an operator's call about the routing table.
func (g *gateway) tableCallTimeout() time.Duration {
	if g.d.client.LastCallAnswered() {
		return tableTimeout
	}
	return disconnectedTimeout
}

// redirect returns a redirect to a control host when the control group does not answer this
// host, and err otherwise.
//
// In a partition between gateways and control hosts, most of the hosts that an operator can
// ask are gateways. Without the redirect they reject the operator's calls one after the other:
// a raised budget takes effect only after the partition, and a table in force can't be read.
func (g *gateway) redirect(err error) error {
	if !errkind.Is(err, errkind.NoQuorum) || g.d.replica != nil {
		return err
	}
	addresses := g.controlRegistries()
	if len(addresses) == 0 {
		return err
	}
	return &surface.Redirect{Address: addresses[rand.IntN(len(addresses))], Refusal: errkind.From(err)}
}

// unknownSeeds returns the seeds that may run a replica for all that this host knows.
func (g *gateway) unknownSeeds() []string {
	var out []string
	peers := g.members.Peers()
	for _, seed := range *g.seeds.Load() {
		known := slices.ContainsFunc(peers, func(p members.PeerInfo) bool { return p.PeerAddress == seed })
		if !known && seed != g.d.cfg.PeerAddress() {
			out = append(out, seed)
		}
	}
	return out
}

// controlRegistries returns the addresses at which control hosts serve operators' calls: those of the hosts that report a
// replica and of the seeds that are not known.
func (g *gateway) controlRegistries() []string {
	var out []string
	for _, address := range append(g.unknownSeeds(), g.controlAddresses()...) {
		if registry, ok := g.registryOf(address); ok && !slices.Contains(out, registry) {
			out = append(out, registry)
		}
	}
	return out
}

// registryOf returns the address at which the host with a peer address serves operators' calls. All hosts listen on the same
// ports.
func (g *gateway) registryOf(peer string) (address string, ok bool) {
	ip, _, err := net.SplitHostPort(peer)
	if err != nil {
		return "", false
	}
	_, port, err := net.SplitHostPort(g.d.cfg.Routed.Registry)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(ip, port), true
}

// Replace implements surface.Tables.
func (g *gateway) Replace(ctx context.Context, c *pb.ReplaceRoutes) error {
	packed, err := packRoutes(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.tableCallTimeout())
	defer cancel()
	if c.GetRevision() == 0 {
		return g.acknowledgeRevisionZero(ctx)
	}
	asked := steady()
	res, err := g.d.client.Propose(ctx, &pb.Command{Actor: g.d.cfg.Host, Body: &pb.Command_ReplaceRoutes{ReplaceRoutes: packed}})
	event := g.d.tel.Log.Info().Str("event", "routes-replaced").Uint64("revision", c.GetRevision())
	if err != nil {
		err = g.redirect(err)
		event.Err(err).Send()
		return err
	}
	event.Bool("changed", res.GetReplaceRoutes().GetChanged()).Uint64("present", res.GetReplaceRoutes().GetRevision()).Send()
	if res.GetReplaceRoutes().GetChanged() && g.servesCallers() {
		g.applyReplaced(packed, asked)
	}
	return nil
}

// acknowledgeRevisionZero answers a table of revision 0 without proposing it. After any other table it is a late one, which
// is acknowledged without effect. As a first table it is refused: revision 0 means that there is none, so that it
// would never be in force.
func (g *gateway) acknowledgeRevisionZero(ctx context.Context) error {
	present, err := g.readRoutes(ctx)
	if err != nil {
		return err
	}
	if present.GetRevision() == 0 {
		return errkind.New(errkind.InvalidSettings, "the first routing table must have a revision of at least 1").At("revision")
	}
	return nil
}

// fromOperator is the source in log lines about a routing table or evacuated zones that an operator sent.
const fromOperator = "operator"

// applyReplaced applies a table that the control group has just committed on this host, before
// the operator gets the answer. Other hosts can then fetch it from here, too, and hear of it from
// here if the leader is lost.
//
// If the control hosts were the only source and were lost just after the commit, the operator
// would have a success answer, while no host that serves callers would have the table until
// the control group is back.
func (g *gateway) applyReplaced(packed *pb.ReplaceRoutes, asked time.Time) {
	defer g.news.HoldTable(packed.GetRevision())
	g.routes.ApplyAnswer(fromOperator, asked, &pb.FetchRoutesReply{
		Routes: &pb.Routes{Revision: packed.GetRevision(), TableJson: packed.GetTableJson()}, Confirmed: true,
	})
}

func packRoutes(c *pb.ReplaceRoutes) (*pb.ReplaceRoutes, error) {
	table, err := routes.Pack(c.GetTableJson())
	if err != nil {
		return nil, err
	}
	document, err := routes.Pack(c.GetDocument())
	if err != nil {
		return nil, err
	}
	return &pb.ReplaceRoutes{Revision: c.GetRevision(), TableJson: table, Document: document}, nil
}

// Present implements surface.Tables.
func (g *gateway) Present(ctx context.Context) (*pb.Routes, error) {
	ctx, cancel := context.WithTimeout(ctx, g.tableCallTimeout())
	defer cancel()
	asked := time.Now()
	present, err := g.presentDocument(ctx)
	g.d.tel.Log.Info().Str("event", "routes-read").Uint64("revision", present.GetRevision()).Int("bytes", len(present.GetDocument())).
		Dur("took", time.Since(asked)).Err(err).Send()
	return present, err
}

// presentDocument returns the newest acknowledged revision with the operator's document as it was sent, or a redirect.
func (g *gateway) presentDocument(ctx context.Context) (*pb.Routes, error) {
	if err := g.redirectLargeRead(); err != nil {
		return nil, err
	}
	present, err := g.readRoutes(ctx)
	if err != nil {
		return nil, err
	}
	if present.GetRevision() == 0 {
		return nil, errkind.New(errkind.HostNotReady, "there is no routing table yet")
	}
	document, err := routes.Unpack(present.GetDocument())
	if err != nil {
		return nil, err
	}
	return &pb.Routes{Revision: present.GetRevision(), Document: document}, nil
}

// readRoutes returns the control group's routing table as it is replicated; revision 0 means that there is none.
func (g *gateway) readRoutes(ctx context.Context) (*pb.Routes, error) {
	res, err := g.d.client.Read(ctx, &pb.Query{Body: &pb.Query_Routes{Routes: &pb.RoutesQuery{}}})
	if err != nil {
		return nil, g.redirect(err)
	}
	if err := wire.DecodeError(res.GetError()); err != nil {
		return nil, err
	}
	return res.GetRoutes(), nil
}
