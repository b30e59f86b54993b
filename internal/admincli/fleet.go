package admincli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
)

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show the fleet as one host sees it", Action: a.status}
}

func (a *app) status(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.Status
	return a.read(ctx, cmd, "/v1/status", &out, func(w io.Writer) {
		fmt.Fprintf(w, "host %s in zone %s, ready %t %s\n", out.Host, out.Zone, out.Ready, out.NotReady)
		fmt.Fprintf(w, "settings revision %d\n", out.ConfigRevision)
		fmt.Fprintf(w, "hosts: %d alive, %d out of contact %s\n", out.HostsAlive, len(out.HostsOut), strings.Join(out.HostsOut, " "))
		fmt.Fprintf(w, "backend servers: %d, %d of them leaving\n", out.Servers, out.ServersLeaving)
		printReplica(w, out.Replica)
		if out.Control == nil {
			fmt.Fprintf(w, "control group: not reached: %s\n", out.ControlError)
			return
		}
		printGroup(w, out.Control)
	})
}

// standings describes each value of adminapi.LocalReplica.Standing.
var standings = map[string]string{
	"forming": "no vote: it asks all other founding replicas whether its disk is new",
	"outside": "no vote: it is not a member; add it with control add",
	"learner": "no vote: it is a learner; promote it with control promote",
	"voter":   "votes",
}

func printReplica(w io.Writer, r *adminapi.LocalReplica) {
	if r != nil {
		fmt.Fprintf(w, "replica %d on this host: %s, %s\n", r.ID, r.Standing, standings[r.Standing])
	}
}

func (a *app) hostCommand() *cli.Command {
	return &cli.Command{Name: "host", Usage: "hosts of the fleet", Commands: []*cli.Command{
		{Name: "list", Usage: "list all hosts", Action: a.hostList},
		{Name: "remove", Usage: "declare that a host is dead and won't return, so that its grants can be recovered", ArgsUsage: "NAME", Action: a.hostRemove},
	}}
}

func (a *app) hostList(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.HostList
	return a.read(ctx, cmd, "/v1/hosts", &out, func(w io.Writer) {
		if !out.RegisteredKnown {
			fmt.Fprintln(w, "the control group was not reached: only hosts heard of are listed")
		}
		fmt.Fprintln(w, "HOST\tZONE\tHEALTH\tINCARNATION\tCONTROL\tREVISION\tCALLERS\tPEERS\tUNRECOVERED")
		for _, h := range out.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%d\t%s\t%s\t%s\n", h.Host, h.Zone, hostState(h), h.Incarnation, h.Control,
				h.ConfigRevision, h.CallerAddress, h.PeerAddress, strings.Trim(fmt.Sprint(h.Unrecovered), "[]"))
		}
	})
}

func hostState(h adminapi.Host) string {
	switch {
	case h.Removed:
		return "removed"
	case h.Leaving:
		return h.Health + ",leaving"
	default:
		return h.Health
	}
}

func (a *app) hostRemove(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	incarnation, err := a.incarnationOf(ctx, cmd, args[0])
	if err != nil {
		return err
	}
	var out adminapi.HostRemoved
	path := "/v1/hosts/" + url.PathEscape(args[0]) + "/remove"
	return a.change(ctx, cmd, call{method: http.MethodPost, path: path, ifMatch: incarnation}, &out, func(w io.Writer) {
		fmt.Fprintf(w, "host %s is removed\n", out.Host)
		printOperation(w, out.OpID, out.Resend)
	})
}

// incarnationOf returns the incarnation of a host that the control group knows; empty if none is known.
func (a *app) incarnationOf(ctx context.Context, cmd *cli.Command, host string) (string, error) {
	cl, err := a.client(cmd)
	if err != nil {
		return "", err
	}
	var list adminapi.HostList
	if err := cl.do(ctx, call{method: http.MethodGet, path: "/v1/hosts"}, &list); err != nil {
		return "", err
	}
	i := slices.IndexFunc(list.Hosts, func(h adminapi.Host) bool { return h.Host == host })
	if i < 0 || list.Hosts[i].Incarnation == 0 || !list.RegisteredKnown {
		return "", nil
	}
	return strconv.FormatUint(list.Hosts[i].Incarnation, 10), nil
}

func (a *app) serverCommand() *cli.Command {
	return &cli.Command{Name: "server", Usage: "backend servers", Commands: []*cli.Command{
		{Name: "list", Usage: "list the backend servers that one host knows", Action: a.serverList},
		{Name: "order", Usage: "send an order to a backend server", ArgsUsage: "ADDRESS VERB [OBJECT]", Action: a.serverOrder,
			Flags: []cli.Flag{&cli.StringFlag{Name: "role", Usage: "`ROLE` to change to"}}},
	}}
}

func (a *app) serverList(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.ServerList
	return a.read(ctx, cmd, "/v1/servers", &out, func(w io.Writer) {
		fmt.Fprintln(w, "ADDRESS\tZONE\tPOOL\tSERVES\tRUNNING\tWAITING\tSLOTS\tHEARD\tFENCES\tLEAVING")
		for _, s := range out.Servers {
			serves := strings.Join(append(append([]string{}, s.Models...), s.Services...), ",")
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%t\t%t\n", s.Address, s.Zone, s.Pool, serves,
				s.Running, s.Waiting, s.Slots, time.Duration(s.AgeMS)*time.Millisecond, s.ChecksFence, s.Leaving)
		}
	})
}

func (a *app) serverOrder(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 || len(args) > 3 {
		return usage("want ADDRESS VERB [OBJECT]; see %s --help", cmd.FullName())
	}
	order := adminapi.Order{Verb: args[1], Role: cmd.String("role")}
	if len(args) == 3 {
		order.Object = args[2]
	}
	body, err := encode(order)
	if err != nil {
		return err
	}
	var out adminapi.OrderAnswer
	path := "/v1/servers/" + url.PathEscape(args[0]) + "/orders"
	return a.change(ctx, cmd, call{method: http.MethodPost, path: path, body: body}, &out, func(w io.Writer) {
		fmt.Fprintf(w, "order to %s under fencing number %d\n", out.Server, out.Fence)
		printOperation(w, out.OpID, false)
	})
}

func (a *app) controlCommand() *cli.Command {
	id := &cli.Uint64Flag{Name: "id", Usage: "`ID` of the replica", Required: true}
	return &cli.Command{Name: "control", Usage: "replicas of the control group", Commands: []*cli.Command{
		{Name: "members", Usage: "list the replicas", Action: a.controlMembers},
		{Name: "add", Usage: "add a replica without a vote, by the id that status shows at its host", Action: a.controlAdd, Flags: []cli.Flag{id,
			&cli.StringFlag{Name: "host", Usage: "`HOST` that it runs on", Required: true},
			&cli.StringFlag{Name: "peer-address", Usage: "`ADDRESS` for peers of that host, ip:port", Required: true}}},
		{Name: "promote", Usage: "give a replica its vote once it stores all committed entries", Action: a.controlPromote, Flags: []cli.Flag{id}},
		{Name: "remove", Usage: "remove a replica", Action: a.controlRemove, Flags: []cli.Flag{id}},
	}}
}

func (a *app) controlMembers(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.GroupStatus
	return a.read(ctx, cmd, "/v1/control/members", &out, func(w io.Writer) { printGroup(w, &out) })
}

func printGroup(w io.Writer, g *adminapi.GroupStatus) {
	fmt.Fprintf(w, "control group: leader %d, term %d, committed %d, applied %d, log %d bytes, snapshot at %d\n",
		g.Leader, g.Term, g.Commit, g.Applied, g.LogBytes, g.SnapshotIndex)
	fmt.Fprintln(w, "ID\tHOST\tADDRESS\tVOTES\tACTIVE\tMATCH\tCAUGHT UP")
	for _, m := range g.Members {
		fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%t\t%d\t%t\n", m.ID, m.Host, m.Address, !m.Learner, m.Active, m.Match, m.Repaired)
	}
}

func (a *app) controlAdd(ctx context.Context, cmd *cli.Command) error {
	return a.changeMembers(ctx, cmd, adminapi.ChangeMember{
		Verb: "add-learner", ID: cmd.Uint64("id"), Host: cmd.String("host"), Address: cmd.String("peer-address")})
}

func (a *app) controlPromote(ctx context.Context, cmd *cli.Command) error {
	return a.changeMembers(ctx, cmd, adminapi.ChangeMember{Verb: "promote", ID: cmd.Uint64("id")})
}

func (a *app) controlRemove(ctx context.Context, cmd *cli.Command) error {
	return a.changeMembers(ctx, cmd, adminapi.ChangeMember{Verb: "remove", ID: cmd.Uint64("id")})
}

func (a *app) changeMembers(ctx context.Context, cmd *cli.Command, m adminapi.ChangeMember) error {
	body, err := encode(m)
	if err != nil {
		return err
	}
	var out adminapi.GroupStatus
	c := call{method: http.MethodPost, path: "/v1/control/members", body: body}
	return a.change(ctx, cmd, c, &out, func(w io.Writer) { printGroup(w, &out) })
}
