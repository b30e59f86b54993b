// Package news broadcasts the updates that must not wait for heartbeats to all hosts of a fleet:
// that a backend server is leaving or has stopped, that one advertises a rate limit, that one
// crashed under a request, that a zone is evacuated, and that there is a newer routing table.
//
// In a fleet too large for a full mesh, heartbeats pass updates from host to host, to one
// neighbor every 250 ms. Of 67 hosts the last one knew only after 2.7 s that a server was
// leaving, and sent a request to the server after it had stopped.
//
// The host that broadcasts an update divides the other hosts into groups and notifies the
// first host of each, which does the same with the rest of its group. 1,400 hosts are
// notified in three rounds, with one message to each. A host that does not answer is skipped,
// and the next one gets its group, also if it answers and then ends before it has passed the
// update on; the word of a table is not repeated like that, as hosts ask for the newest one.
// A host that is missed gets the update later by heartbeats.
//
// A change that this host confirms to somebody must outlive it. It is replicated first: a few hosts hold it and
// broadcast it themselves unless this host tells them soon that it has done so.
package news

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// fanOut is the number of hosts that a host notifies of a table.
	fanOut = 8
	// maxDirect is the number of hosts up to which a host notifies each of them itself, if it is not about a table, which
	// they would all fetch from this host.
	maxDirect = 3 * fanOut
	// passOnDelay is how long a host has to pass an update on to its group before it is asked whether it still runs.
	passOnDelay = 250 * time.Millisecond
	// callTimeout is the timeout of one message. A message takes a few milliseconds, but a host
	// that has used up its processor time pauses for up to 80 ms.
	callTimeout = 200 * time.Millisecond
	// batchDelay is how long an update waits for others to be sent with it: the servers of a
	// service are stopped together, and operators send tables one after the other.
	batchDelay = 20 * time.Millisecond
	// maxSuspects bounds the suspects in one message, of some 130 B each: when the servers of a
	// zone crash, all requests that ran there become suspects.
	maxSuspects = 256
	// minTableInterval is the minimum time between two updates about tables: of tables in quick
	// succession only the newest matters.
	minTableInterval = 100 * time.Millisecond
	// maxFetchDelay is how long an update about a table waits at a host for the table. The largest tables take some 50 ms
	// over a link of 10 Mbit/s.
	maxFetchDelay = 100 * time.Millisecond
)

// Config configures a Broadcaster.
type Config struct {
	// Self is this host's peer address.
	Self string
	// Peers returns the peer addresses of the other hosts that are not known to be dead.
	Peers  func() []string
	Client func(address string) pb.PeerClient
	// OnServers is called with the states of backend servers that another host sent.
	OnServers func([]*pb.ServerState)
	// OnSuspects is called with the suspects that the host at address from sent.
	OnSuspects func(suspects []*pb.Suspect, from string)
	// OnLimits is called with the rate limits that another host sent; may be nil.
	OnLimits func([]*pb.ServerLimit)
	// OnEvacuations is called with the evacuated zones that the host at address from sent.
	OnEvacuations func(e *pb.Evacuations, from string)
	// FetchTable fetches the routing table from the host at an address if this host has an
	// older revision, and reports whether this host has the revision then, so that others can fetch it here.
	FetchTable func(ctx context.Context, address string, revision uint64) bool
	// Holders returns the hosts that can hold a change. If it is nil, nothing may be replicated.
	Holders func() Holders
	Log     zerolog.Logger
}

// Broadcaster broadcasts updates and forwards those of other hosts. It is safe for concurrent
// use.
type Broadcaster struct {
	cfg  Config
	wake chan struct{}
	// process identifies this run of the process.
	process string
	metrics metrics
	// sends counts the messages in flight.
	sends sync.WaitGroup

	mu sync.Mutex
	// ctx is the context of Run; nil while it is not running.
	ctx      context.Context
	servers  map[string]*pb.ServerState
	suspects map[suspectKey]*pb.Suspect
	limits   map[string]*pb.ServerLimit
	// evacuations are the evacuated zones to send; nil if there is nothing to send about them.
	evacuations *pb.Evacuations
	revision    uint64
	// lastTable is when the last update about a table was sent.
	lastTable time.Time

	replication replication
	holds       holds
	// heardRevision is the newest revision of the table that another host has broadcast.
	heardRevision uint64
}

// suspectKey identifies a suspect, a request under which servers crashed.
type suspectKey struct{ account, fingerprint string }

// New returns a Broadcaster. It sends nothing before Run is called.
func New(cfg Config) *Broadcaster {
	s := &Broadcaster{
		cfg: cfg, wake: make(chan struct{}, 1), process: cfg.Self + "/" + crand.Text(),
		servers: make(map[string]*pb.ServerState), suspects: make(map[suspectKey]*pb.Suspect), limits: make(map[string]*pb.ServerLimit),
		replication: replication{servers: make(map[serverState]time.Time)}, holds: make(holds),
	}
	s.metrics.init(s.heldRounds)
	return s
}

// BroadcastServer schedules a broadcast of a backend server's state. Of several states of a
// server the newest is sent, since the goroutines that call this may overtake each other.
func (s *Broadcaster) BroadcastServer(st *pb.ServerState) {
	s.mu.Lock()
	if waiting := s.servers[st.GetId()]; waiting == nil || membership.Supersedes(st, waiting) {
		s.servers[st.GetId()] = st
	}
	s.mu.Unlock()
	s.signal()
}

// BroadcastSuspect schedules a broadcast of a suspect. Of several versions of a suspect the last
// one is sent.
func (s *Broadcaster) BroadcastSuspect(suspect *pb.Suspect) {
	s.mu.Lock()
	s.suspects[suspectKey{suspect.GetAccount(), string(suspect.GetFingerprint())}] = suspect
	s.mu.Unlock()
	s.signal()
}

// BroadcastLimit schedules a broadcast of a server's rate limit. Of several limits of a server
// the last one is sent.
func (s *Broadcaster) BroadcastLimit(limit *pb.ServerLimit) {
	s.mu.Lock()
	s.limits[limit.GetRun().GetId()] = limit
	s.mu.Unlock()
	s.signal()
}

// BroadcastEvacuations schedules a broadcast of the evacuated zones.
func (s *Broadcaster) BroadcastEvacuations(e *pb.Evacuations) {
	s.mu.Lock()
	if e.GetRevision() > s.evacuations.GetRevision() {
		s.evacuations = e
	}
	s.mu.Unlock()
	s.signal()
}

// BroadcastTable schedules an update to all hosts that a revision of the routing table can be
// fetched from this host.
func (s *Broadcaster) BroadcastTable(revision uint64) {
	s.mu.Lock()
	s.revision = max(s.revision, revision)
	s.mu.Unlock()
	s.signal()
}

func (s *Broadcaster) signal() {
	select {
	case s.wake <- struct{}{}:
	default: // Run is already due to send
	}
}

// Run sends updates until ctx ends, and then waits for the messages in flight.
func (s *Broadcaster) Run(ctx context.Context) {
	s.start(ctx)
	defer s.sends.Wait()
	defer s.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		time.Sleep(batchDelay)
		if update := s.nextUpdate(); update != nil {
			s.broadcast(ctx, update, s.cfg.Self, shuffled(s.cfg.Peers()))
		}
	}
}

func (s *Broadcaster) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// stop ends the forwarding of updates.
func (s *Broadcaster) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = nil
}

// nextUpdate returns the update to send now, or nil if there is none.
func (s *Broadcaster) nextUpdate() *pb.TellRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := &pb.TellRequest{}
	for id, st := range s.servers {
		update.Servers = append(update.Servers, st)
		delete(s.servers, id)
	}
	for key, suspect := range s.suspects {
		if len(update.Suspects) == maxSuspects {
			s.signal()
			break
		}
		update.Suspects = append(update.Suspects, suspect)
		delete(s.suspects, key)
	}
	for id, limit := range s.limits {
		update.Limits = append(update.Limits, limit)
		delete(s.limits, id)
	}
	update.Evacuations, s.evacuations = s.evacuations, nil
	if s.revision > 0 {
		if pause := minTableInterval - time.Since(s.lastTable); pause > 0 {
			time.AfterFunc(pause, s.signal)
		} else {
			update.RoutesRevision, s.revision, s.lastTable = s.revision, 0, time.Now()
		}
	}
	if len(update.Servers) == 0 && len(update.Suspects) == 0 && len(update.Limits) == 0 && update.RoutesRevision == 0 && update.Evacuations == nil {
		return nil
	}
	return update
}

func shuffled(addresses []string) []string {
	out := make([]string, len(addresses))
	for i, j := range rand.Perm(len(addresses)) {
		out[i] = addresses[j]
	}
	return out
}

// broadcast notifies the hosts at these addresses in the background, of a table that they can fetch from the host at from.
func (s *Broadcaster) broadcast(ctx context.Context, update *pb.TellRequest, from string, addresses []string) {
	for _, group := range s.groupsFor(update, addresses) {
		s.sends.Go(func() {
			defer panics.Log(s.cfg.Log, "broadcast of an update")
			s.notifyGroup(ctx, update, from, group)
		})
	}
}

// groupsFor divides the hosts that are to be notified of an update into groups, each with the host that notifies the rest
// first.
func (s *Broadcaster) groupsFor(update *pb.TellRequest, addresses []string) [][]string {
	if update.GetRoutesRevision() > 0 {
		return splitGroups(addresses, fanOut)
	}
	return splitForUpdate(addresses)
}

// splitForUpdate divides addresses for an update that is not about a table.
func splitForUpdate(addresses []string) [][]string {
	if len(addresses) <= maxDirect {
		return splitGroups(addresses, maxDirect)
	}
	return splitGroups(addresses, fanOut)
}

// splitGroups divides addresses into up to n groups of about the same size.
func splitGroups(addresses []string, n int) [][]string {
	var out [][]string
	for left := n; len(addresses) > 0; left-- {
		size := (len(addresses) + left - 1) / left
		out = append(out, addresses[:size])
		addresses = addresses[size:]
	}
	return out
}

// notifyGroup notifies the first host of a group, which notifies the rest. If it does not answer, or ends before it has done
// so, the rest is divided anew, so that the delays of many dead hosts don't add up. The word of a table is passed to one
// host after the other in place of that: few are to fetch a table from the same host.
func (s *Broadcaster) notifyGroup(ctx context.Context, update *pb.TellRequest, from string, group []string) {
	for len(group) > 0 && ctx.Err() == nil {
		head := group[0]
		group = group[1:]
		req := &pb.TellRequest{
			Servers: update.GetServers(), Suspects: update.GetSuspects(), Limits: update.GetLimits(), RoutesRevision: update.GetRoutesRevision(),
			Evacuations: update.GetEvacuations(), FromAddress: from, Onward: group,
		}
		process, err := s.tell(ctx, head, req)
		if err == nil && s.passedOn(ctx, head, process, req) {
			return
		}
		s.cfg.Log.Debug().Str("event", "news-unanswered").Str("to", head).Int("left", len(group)).Err(err).Send()
		if update.GetRoutesRevision() == 0 {
			s.broadcast(ctx, update, from, group)
			return
		}
	}
}

// tell sends a message to a host and returns the name of the process that answered; empty if the host runs an earlier
// version.
func (s *Broadcaster) tell(ctx context.Context, address string, req *pb.TellRequest) (process string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.cfg.Client(address).Tell(ctx, req)
	return reply.GetProcess(), err
}

// passedOn reports whether a host that has answered an update has had the time to notify the rest of its group: if the
// same process still answers after passOnDelay.
func (s *Broadcaster) passedOn(ctx context.Context, head, process string, req *pb.TellRequest) bool {
	onlyTable := len(req.GetServers()) == 0 && len(req.GetSuspects()) == 0 && req.GetEvacuations() == nil
	if len(req.GetOnward()) == 0 || process == "" || onlyTable {
		return true
	}
	select {
	case <-time.After(passOnDelay):
	case <-ctx.Done():
		return true // this process is stopping
	}
	now, err := s.tell(ctx, head, &pb.TellRequest{})
	return err == nil && now == process
}

// Handle handles an update from another host. It answers before it forwards the update.
func (s *Broadcaster) Handle(req *pb.TellRequest) *pb.TellReply {
	if len(req.GetServers()) > 0 {
		s.cfg.OnServers(req.GetServers())
	}
	if len(req.GetSuspects()) > 0 {
		s.cfg.OnSuspects(req.GetSuspects(), req.GetFromAddress())
	}
	if len(req.GetLimits()) > 0 && s.cfg.OnLimits != nil {
		s.cfg.OnLimits(req.GetLimits())
	}
	if req.GetEvacuations() != nil {
		s.cfg.OnEvacuations(req.GetEvacuations(), req.GetFromAddress())
	}
	if req.GetHold() != "" {
		s.holdChanges(req)
	}
	s.releaseChanges(req.GetReleased())
	s.recordTable(req.GetRoutesRevision())
	if len(req.GetOnward()) == 0 && req.GetRoutesRevision() == 0 {
		return &pb.TellReply{Process: s.process} // there is nothing to forward
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx := s.ctx; ctx != nil {
		s.sends.Go(func() {
			defer panics.Log(s.cfg.Log, "forwarding of an update")
			s.forward(ctx, req)
		})
	}
	return &pb.TellReply{Process: s.process}
}

// forward forwards an update to the hosts in its Onward list. If the update is about a table, it
// fetches the table first, because those hosts will fetch it from this one; if that takes long, they fetch it from where
// this host does.
func (s *Broadcaster) forward(ctx context.Context, req *pb.TellRequest) {
	from := s.cfg.Self
	if req.GetRoutesRevision() > 0 && !s.fetchTable(ctx, req) {
		from = req.GetFromAddress()
	}
	s.broadcast(ctx, req, from, req.GetOnward())
}

// fetchTable fetches the table of an update and reports whether this host has it within maxFetchDelay.
func (s *Broadcaster) fetchTable(ctx context.Context, req *pb.TellRequest) bool {
	fetched := make(chan bool, 1)
	s.sends.Go(func() {
		defer panics.Log(s.cfg.Log, "fetching of a table")
		fetched <- s.cfg.FetchTable(ctx, req.GetFromAddress(), req.GetRoutesRevision())
	})
	if len(req.GetOnward()) == 0 {
		return true
	}
	timeout := time.NewTimer(maxFetchDelay)
	defer timeout.Stop()
	select {
	case has := <-fetched:
		return has
	case <-timeout.C:
		return false
	}
}
