package adminapi

import (
	"cmp"
	"context"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

var healthNames = map[pb.HostHealth]string{
	pb.HostHealth_HOST_HEALTH_NONE:    "unknown",
	pb.HostHealth_HOST_HEALTH_ALIVE:   "alive",
	pb.HostHealth_HOST_HEALTH_SUSPECT: "suspect",
	pb.HostHealth_HOST_HEALTH_DEAD:    "dead",
}

// listHosts merges the hosts registered with the control group and the health that this
// host observes.
func (h *Handler) listHosts(ctx context.Context, _ *request) (any, error) {
	hosts := map[string]*Host{}
	list := HostList{Hosts: []Host{}}
	ctx, cancel := withOptionalReadTimeout(ctx)
	defer cancel()
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_Hosts{Hosts: &pb.HostsQuery{}}})
	if err == nil {
		list.RegisteredKnown = true
	}
	for _, i := range res.GetHosts() {
		hosts[i.GetHost()] = &Host{
			Host: i.GetHost(), Zone: i.GetZone(), CallerAddress: i.GetCallerAddress(), PeerAddress: i.GetPeerAddress(),
			Control: i.GetControl(), Incarnation: i.GetIncarnation(), Removed: i.GetRemoved(),
			Unrecovered: i.GetUnrecovered(), Health: healthNames[pb.HostHealth_HOST_HEALTH_NONE],
		}
	}
	for _, s := range h.cfg.Fleet.Hosts() {
		mergeHostState(hosts, s)
	}
	for _, host := range hosts {
		list.Hosts = append(list.Hosts, *host)
	}
	slices.SortFunc(list.Hosts, func(a, b Host) int { return cmp.Compare(a.Host, b.Host) })
	return list, nil
}

// mergeHostState merges the state of a host, as this host observes it, into hosts.
func mergeHostState(hosts map[string]*Host, s *pb.HostState) {
	name := s.GetHolder().GetHost()
	host, ok := hosts[name]
	if !ok {
		host = &Host{Host: name, Zone: s.GetZone(), CallerAddress: s.GetCallerAddress(), PeerAddress: s.GetPeerAddress()}
		hosts[name] = host
	}
	host.Incarnation = max(host.Incarnation, s.GetHolder().GetIncarnation())
	host.Health = healthNames[s.GetHealth()]
	host.Leaving = s.GetLeaving()
	host.ConfigRevision = s.GetConfigRevision()
	host.HeardMS = s.GetHeardMs()
}

// removeHost removes a host. With If-Match it removes that incarnation only, so that an order that is read late doesn't remove a run
// that has started since.
func (h *Handler) removeHost(ctx context.Context, q *request) (any, error) {
	name := q.http.PathValue("name")
	expected, err := expected(q)
	if err != nil {
		return nil, err
	}
	remove := &pb.RemoveHost{Host: name}
	if expected != nil {
		remove.Incarnation = *expected
	}
	res, err := h.propose(ctx, q, &pb.Command{Body: &pb.Command_RemoveHost{RemoveHost: remove}})
	if err != nil {
		return nil, err
	}
	return HostRemoved{OpID: q.opID, Resend: res.GetResend(), Host: name}, nil
}

func (h *Handler) listServers(context.Context, *request) (any, error) {
	list := ServerList{Servers: []Server{}}
	for _, s := range h.cfg.Fleet.Servers() {
		list.Servers = append(list.Servers, Server{
			Address: s.GetAddress(), Incarnation: s.GetIncarnation(), Zone: s.GetZone(), Pool: s.GetPool(), Role: s.GetRole(),
			Models: s.GetModels(), Services: s.GetServices(), Adapters: s.GetAdapters(),
			Leaving: s.GetLeaving(), ChecksFence: s.GetChecksFence(), AgeMS: s.GetAgeMs(),
			Running: s.GetRunning(), Waiting: s.GetWaiting(), Slots: s.GetSlots(), TokensPerSecond: s.GetTokensPerSecond(),
		})
	}
	slices.SortFunc(list.Servers, func(a, b Server) int { return cmp.Compare(a.Address, b.Address) })
	return list, nil
}

func (h *Handler) orderServer(ctx context.Context, q *request) (any, error) {
	var body Order
	if err := decodeBody(q, &body); err != nil {
		return nil, err
	}
	if body.Verb == "" {
		return nil, errkind.New(errkind.BadRequest, "the order has no verb").At("/verb")
	}
	if h.cfg.Orders == nil {
		return nil, errkind.New(errkind.UnknownPath, "this host does not send orders to backend servers")
	}
	server := q.http.PathValue("address")
	res, err := h.cfg.Orders.Order(ctx, q.opID, q.actor, &pb.PlaceOrder{
		Server: server, Verb: body.Verb, Object: body.Object, Role: body.Role})
	if err != nil {
		return nil, err
	}
	return OrderAnswer{OpID: q.opID, Server: server, Fence: res.GetFence()}, nil
}

// status works without a quorum, because it is the first thing that operators request
// during an outage.
func (h *Handler) status(ctx context.Context, _ *request) (any, error) {
	self := h.cfg.Fleet.Self()
	answer := Status{Host: self.GetHolder().GetHost(), Zone: self.GetZone(), Ready: true, ConfigRevision: self.GetConfigRevision()}
	if h.cfg.Ready != nil {
		if err := h.cfg.Ready(); err != nil {
			answer.Ready = false
			answer.NotReady = err.Error()
		}
	}
	for _, s := range h.cfg.Fleet.Hosts() {
		if s.GetHealth() == pb.HostHealth_HOST_HEALTH_ALIVE {
			answer.HostsAlive++
		} else {
			answer.HostsOut = append(answer.HostsOut, s.GetHolder().GetHost())
		}
	}
	for _, s := range h.cfg.Fleet.Servers() {
		answer.Servers++
		if s.GetLeaving() {
			answer.ServersLeaving++
		}
	}
	if h.cfg.Replica != nil {
		replica := h.cfg.Replica()
		answer.Replica = &replica
	}
	ctx, cancel := withOptionalReadTimeout(ctx)
	defer cancel()
	group, err := h.groupStatus(ctx)
	if err != nil {
		answer.ControlError = errkind.From(convertTimeout(err, false)).Error()
	}
	answer.Control = group
	return answer, nil
}

func (h *Handler) groupStatus(ctx context.Context) (*GroupStatus, error) {
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_Members{Members: &pb.MembersQuery{}}})
	if err != nil {
		return nil, err
	}
	return groupView(res.GetGroup()), nil
}

func groupView(g *pb.GroupStatus) *GroupStatus {
	v := &GroupStatus{Leader: g.GetLeader(), Term: g.GetTerm(), Commit: g.GetCommit(), Applied: g.GetApplied(),
		LogBytes: g.GetLogBytes(), SnapshotIndex: g.GetSnapshotIndex(), Members: []MemberStatus{}}
	for _, m := range g.GetMembers() {
		v.Members = append(v.Members, MemberStatus{
			ID: m.GetMember().GetId(), Host: m.GetMember().GetHost(), Address: m.GetMember().GetAddress(),
			Learner: m.GetMember().GetLearner(), Match: m.GetMatch(), Active: m.GetActive(), Repaired: m.GetRepaired()})
	}
	return v
}

func (h *Handler) controlMembers(ctx context.Context, _ *request) (any, error) {
	return h.groupStatus(ctx)
}

var memberVerbs = []string{"add-learner", "promote", "remove"}

// changeMembers is idempotent without an operation id: a replica is added, promoted or
// removed by its id, and ids are never reused.
func (h *Handler) changeMembers(ctx context.Context, q *request) (any, error) {
	var body ChangeMember
	if err := decodeBody(q, &body); err != nil {
		return nil, err
	}
	if !slices.Contains(memberVerbs, body.Verb) {
		return nil, errkind.New(errkind.BadRequest, "the verb must be one of %v", memberVerbs).At("/verb")
	}
	if body.ID == 0 {
		return nil, errkind.New(errkind.BadRequest, "a replica's id must be at least 1").At("/id")
	}
	reply, err := h.cfg.Group.ChangeMembers(ctx, &pb.ChangeMembersRequest{
		Verb: body.Verb, Member: &pb.Member{Id: body.ID, Host: body.Host, Address: body.Address}})
	if err != nil {
		return nil, err
	}
	if err := wire.DecodeError(reply.GetError()); err != nil {
		return nil, err
	}
	return groupView(reply.GetGroup()), nil
}
