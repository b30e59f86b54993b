package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/surface"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// tableTimeout bounds one call for the routing table. Its callers give an answer a
// second and go to another host then.
const tableTimeout = 900 * time.Millisecond

// cutOffTimeout bounds one while the control group gives no answer to this host.
const cutOffTimeout = 250 * time.Millisecond

// tablePatience is how long the operator waits for this host's answer.
func (g *gateway) tablePatience() time.Duration {
	if g.d.client.LastCallAnswered() {
		return tableTimeout
	}
	return cutOffTimeout
}

// elsewhere sends the operator to a control host when the group gives this host no answer.
//
// What goes wrong without it: in a partition between gateways and control hosts most of the
// hosts that the operator can ask are gateways. It is refused by one after the other, a raise
// of a budget comes into force after the partition, and a table that holds can't be read back.
func (g *gateway) elsewhere(err error) error {
	if !errkind.Is(err, errkind.NoQuorum) || g.d.replica != nil {
		return err
	}
	addresses := g.controlRegistries()
	if len(addresses) == 0 {
		return err
	}
	return &surface.Redirect{Address: addresses[rand.IntN(len(addresses))], Refusal: errkind.From(err)}
}

// controlRegistries are the addresses at which control hosts take the operator's calls: the
// seeds, and the hosts that say they run a replica. All hosts listen on the same ports.
func (g *gateway) controlRegistries() []string {
	_, port, err := net.SplitHostPort(g.d.cfg.Routed.Registry)
	if err != nil {
		return nil
	}
	var out []string
	for _, address := range append(slices.Clone(*g.seeds.Load()), g.controlAddresses()...) {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			continue
		}
		if registry := net.JoinHostPort(ip, port); !slices.Contains(out, registry) {
			out = append(out, registry)
		}
	}
	return out
}

// Replace implements surface.Tables.
func (g *gateway) Replace(ctx context.Context, c *pb.ReplaceRoutes) error {
	packed, err := packRoutes(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, g.tablePatience())
	defer cancel()
	res, err := g.d.client.Propose(ctx, &pb.Command{Actor: g.d.cfg.Host, Body: &pb.Command_ReplaceRoutes{ReplaceRoutes: packed}})
	event := g.d.tel.Log.Info().Str("event", "routes-replaced").Uint64("revision", c.GetRevision())
	if err != nil {
		err = g.elsewhere(err)
		event.Err(err).Send()
		return err
	}
	event.Bool("changed", res.GetReplaceRoutes().GetChanged()).Uint64("present", res.GetReplaceRoutes().GetRevision()).Send()
	if res.GetReplaceRoutes().GetChanged() && g.servesCallers() {
		g.takeReplaced(packed)
	}
	return nil
}

// fromOperator stands for the operator where logs name the host that a table came from.
const fromOperator = "operator"

// takeReplaced puts a table that the group has just taken in force here, before the operator
// hears of it, and so has the other hosts fetch it from here, too.
//
// What goes wrong if it comes by way of the group only: the control hosts are lost as they
// answer. The operator was told that the table holds, and no host that serves callers has it
// until the group is back.
func (g *gateway) takeReplaced(packed *pb.ReplaceRoutes) {
	g.routes.Apply(fromOperator, &pb.FetchRoutesReply{
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
	ctx, cancel := context.WithTimeout(ctx, g.tablePatience())
	defer cancel()
	res, err := g.d.client.Read(ctx, &pb.Query{Body: &pb.Query_Routes{Routes: &pb.RoutesQuery{}}})
	if err != nil {
		return nil, g.elsewhere(err)
	}
	if err := wire.DecodeError(res.GetError()); err != nil {
		return nil, err
	}
	if res.GetRoutes().GetRevision() == 0 {
		return nil, errkind.New(errkind.HostNotReady, "there is no routing table yet")
	}
	document, err := routes.Unpack(res.GetRoutes().GetDocument())
	if err != nil {
		return nil, err
	}
	return &pb.Routes{Revision: res.GetRoutes().GetRevision(), Document: document}, nil
}
