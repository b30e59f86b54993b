// Package news tells all hosts of a fleet what must not wait for heartbeats: that a backend
// server leaves or is gone, that one limits its rate, that one crashed under a request, and that
// there is a newer routing table.
//
// What goes wrong without it: in a fleet too large for each host to hear every other one,
// heartbeats carry word from host to host, one neighbour each 250 ms. Of 67 hosts the last
// one learned after 2.7 s that a server leaves, and sent it a request that the server was
// no longer there to answer.
//
// Whoever hears the news first divides the hosts into groups and tells the first host of
// each; that one does the same with the rest of its group. All of 1,400 hosts are told in
// four rounds, by one message each. A host that does not answer is passed over, and its
// group goes to the next one. Who is missed hears it by heartbeats, later.
package news

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// fanOut is how many hosts a host tells: two rounds reach 72 hosts, four 4,680.
	fanOut = 8
	// callTimeout bounds one message. It takes a few milliseconds; a host that has used up
	// its processor time pauses for up to 80 ms.
	callTimeout = 200 * time.Millisecond
	// batchDelay is how long news waits for more of it: servers of a service are stopped
	// together, and operators send tables one after the other.
	batchDelay = 20 * time.Millisecond
	// maxSuspects bounds the requests in one message, which has some 130 B of each: when a zone's
	// servers are lost, all requests that ran there are told.
	maxSuspects = 256
	// minTableInterval between two tables: of tables that come in quick succession only the newest
	// matters.
	minTableInterval = 100 * time.Millisecond
)

// Config of a Spreader.
type Config struct {
	// Self is this host's peer address.
	Self string
	// Peers are the peer addresses of the other hosts that are not known to be dead.
	Peers  func() []string
	Client func(address string) pb.PeerClient
	// OnServers takes states of backend servers that another host heard of.
	OnServers func([]*pb.ServerState)
	// OnSuspects takes what another host knows of requests under which servers crashed.
	OnSuspects func(told []*pb.Suspect, from string)
	// OnLimits takes what another host knows of servers' rate limits; nil: nothing does.
	OnLimits func([]*pb.ServerLimit)
	// FetchTable gets the routing table of the host at an address if this host has an older
	// revision.
	FetchTable func(ctx context.Context, address string, revision uint64)
	Log   zerolog.Logger
}

// Broadcaster tells and hands on news. It is safe for concurrent use.
type Broadcaster struct {
	cfg  Config
	wake chan struct{}
	// sends are the messages under way.
	sends sync.WaitGroup

	mu sync.Mutex
	// ctx is that of Run; nil before it and after it.
	ctx      context.Context
	servers  map[string]*pb.ServerState
	suspects map[suspectKey]*pb.Suspect
	limits   map[string]*pb.ServerLimit
	revision uint64
	// lastTable is when a table was last lastTable.
	lastTable time.Time
}

// suspectKey names a request under which servers crashed.
type suspectKey struct{ account, fingerprint string }

// New makes a spreader; nothing is told before Run.
func New(cfg Config) *Broadcaster {
	return &Broadcaster{
		cfg: cfg, wake: make(chan struct{}, 1), servers: make(map[string]*pb.ServerState), suspects: make(map[suspectKey]*pb.Suspect),
		limits: make(map[string]*pb.ServerLimit),
	}
}

// BroadcastServer tells all hosts the state of a backend server, soon: the newest one that it was
// given. States come from goroutines that may overtake each other.
func (s *Broadcaster) BroadcastServer(st *pb.ServerState) {
	s.mu.Lock()
	if waiting := s.servers[st.GetId()]; waiting == nil || membership.Supersedes(st, waiting) {
		s.servers[st.GetId()] = st
	}
	s.mu.Unlock()
	s.signal()
}

// BroadcastSuspect tells all hosts what this one knows of a request, soon: the newest that it was given.
func (s *Broadcaster) BroadcastSuspect(told *pb.Suspect) {
	s.mu.Lock()
	s.suspects[suspectKey{told.GetAccount(), string(told.GetFingerprint())}] = told
	s.mu.Unlock()
	s.signal()
}

// BroadcastLimit tells all hosts what a server says of its rate limit, soon: the newest that it was given.
func (s *Broadcaster) BroadcastLimit(told *pb.ServerLimit) {
	s.mu.Lock()
	s.limits[told.GetRun().GetId()] = told
	s.mu.Unlock()
	s.signal()
}

// BroadcastTable tells all hosts of the routing table that can be fetched from this one, soon.
func (s *Broadcaster) BroadcastTable(revision uint64) {
	s.mu.Lock()
	s.revision = max(s.revision, revision)
	s.mu.Unlock()
	s.signal()
}

func (s *Broadcaster) signal() {
	select {
	case s.wake <- struct{}{}:
	default: // Run is about to look
	}
}

// Run tells news until ctx ends, and then waits for the messages under way.
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
		if n := s.nextUpdate(); n != nil {
			s.broadcast(ctx, n, shuffled(s.cfg.Peers()))
		}
	}
}

func (s *Broadcaster) start(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
}

// stop has no more news handed on.
func (s *Broadcaster) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = nil
}

// nextUpdate returns what is to be told now, nil for nothing.
func (s *Broadcaster) nextUpdate() *pb.TellRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &pb.TellRequest{}
	for id, st := range s.servers {
		n.Servers = append(n.Servers, st)
		delete(s.servers, id)
	}
	for key, told := range s.suspects {
		if len(n.Suspects) == maxSuspects {
			s.signal()
			break
		}
		n.Suspects = append(n.Suspects, told)
		delete(s.suspects, key)
	}
	for id, told := range s.limits {
		n.Limits = append(n.Limits, told)
		delete(s.limits, id)
	}
	if s.revision > 0 {
		if pause := minTableInterval - time.Since(s.lastTable); pause > 0 {
			time.AfterFunc(pause, s.signal)
		} else {
			n.RoutesRevision, s.revision, s.lastTable = s.revision, 0, time.Now()
		}
	}
	if len(n.Servers) == 0 && len(n.Suspects) == 0 && len(n.Limits) == 0 && n.RoutesRevision == 0 {
		return nil
	}
	return n
}

func shuffled(addresses []string) []string {
	out := make([]string, len(addresses))
	for i, at := range rand.Perm(len(addresses)) {
		out[i] = addresses[at]
	}
	return out
}

// broadcast tells the hosts at these addresses, and returns before it is done.
func (s *Broadcaster) broadcast(ctx context.Context, n *pb.TellRequest, addresses []string) {
	for _, group := range splitGroups(addresses) {
		s.sends.Go(func() {
			defer panics.Log(s.cfg.Log, "telling news")
			s.notifyGroup(ctx, n, group)
		})
	}
}

// splitGroups divides addresses into as many splitGroups as a host tells, of about the same size.
func splitGroups(addresses []string) [][]string {
	var out [][]string
	for left := fanOut; len(addresses) > 0; left-- {
		size := (len(addresses) + left - 1) / left
		out = append(out, addresses[:size])
		addresses = addresses[size:]
	}
	return out
}

// notifyGroup tells the first host of a group that answers, which tells the rest.
func (s *Broadcaster) notifyGroup(ctx context.Context, n *pb.TellRequest, group []string) {
	for len(group) > 0 && ctx.Err() == nil {
		head := group[0]
		group = group[1:]
		req := &pb.TellRequest{
			Servers: n.GetServers(), Suspects: n.GetSuspects(), Limits: n.GetLimits(), RoutesRevision: n.GetRoutesRevision(),
			FromAddress: s.cfg.Self, Onward: group,
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := s.cfg.Client(head).Tell(callCtx, req)
		cancel()
		if err == nil {
			return
		}
		s.cfg.Log.Debug().Str("event", "news-unanswered").Str("to", head).Int("left", len(group)).Err(err).Send()
	}
}

// Handle takes news from another host. It answers before it hands them on.
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx := s.ctx; ctx != nil {
		s.sends.Go(func() {
			defer panics.Log(s.cfg.Log, "handing news on")
			s.forward(ctx, req)
		})
	}
	return &pb.TellReply{}
}

// forward gets the table that the news are of before it names this host for it.
func (s *Broadcaster) forward(ctx context.Context, req *pb.TellRequest) {
	if req.GetRoutesRevision() > 0 {
		s.cfg.FetchTable(ctx, req.GetFromAddress(), req.GetRoutesRevision())
	}
	s.broadcast(ctx, req, req.GetOnward())
}
