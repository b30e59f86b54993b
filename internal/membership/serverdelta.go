package membership

import (
	"cmp"
	"slices"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// resendInterval is the number of heartbeats to a peer after which all states are sent to
	// it again, in case it has lost some.
	resendInterval = 20
	// maxServers bounds the states in one heartbeat; the others are sent with later ones.
	maxServers = 64
)

// serverVersion orders the announcements of one backend server.
type serverVersion struct {
	incarnation uint64
	// phase is higher for a server that is leaving and highest for one that has stopped: both
	// may be announced without a new sequence number.
	phase uint8
	seq   uint64
}

func versionOf(s *pb.ServerState) serverVersion {
	v := serverVersion{incarnation: s.GetIncarnation(), seq: s.GetSeq()}
	switch {
	case s.GetGone():
		v.phase = 2
	case s.GetLeaving():
		v.phase = 1
	}
	return v
}

func (v serverVersion) before(w serverVersion) bool {
	return cmp.Or(cmp.Compare(v.incarnation, w.incarnation), cmp.Compare(v.phase, w.phase), cmp.Compare(v.seq, w.seq)) < 0
}

// Supersedes reports whether a state of a server is newer than another state of the same
// server: of a later incarnation, or later within the same one.
func Supersedes(newer, older *pb.ServerState) bool { return versionOf(older).before(versionOf(newer)) }

// serverKey returns the id of a server, or its address if it has no id.
func serverKey(s *pb.ServerState) string {
	if id := s.GetId(); id != "" {
		return id
	}
	return s.GetAddress()
}

// peerState holds the server states that one incarnation of a peer is known to have.
type peerState struct {
	incarnation uint64
	heartbeats  int
	servers     map[string]serverVersion
}

// ServerDelta selects the states of backend servers for a heartbeat to a peer: those that the
// peer isn't known to have. It is not safe for concurrent use.
type ServerDelta struct {
	peers map[string]*peerState
}

// NewServerDelta returns a ServerDelta by which no peer is known to have any state.
func NewServerDelta() *ServerDelta {
	return &ServerDelta{peers: make(map[string]*peerState)}
}

// Select returns the states to send to a peer now, at most maxServers: first those of leaving
// and stopped servers, then those of incarnations that the peer never had, then the others,
// sorted by the number of announcements that the peer has missed. Without that order the
// servers whose names sort last would wait until all others are sent, and look silent.
func (d *ServerDelta) Select(peer *pb.Holder, all []*pb.ServerState) []*pb.ServerState {
	k := d.peer(peer)
	k.heartbeats++
	if k.heartbeats%resendInterval == 0 {
		clear(k.servers)
	}
	var missing []*pb.ServerState
	for _, s := range all {
		known, ok := k.servers[serverKey(s)]
		if !ok || known.before(versionOf(s)) {
			missing = append(missing, s)
		}
	}
	if len(missing) <= maxServers {
		return missing
	}
	slices.SortStableFunc(missing, func(a, b *pb.ServerState) int {
		return cmp.Or(cmp.Compare(k.priority(a), k.priority(b)), cmp.Compare(k.behind(b), k.behind(a)))
	})
	return missing[:maxServers]
}

// priority returns the sort key of a state; states with a lower one are sent first.
func (k *peerState) priority(s *pb.ServerState) int {
	if s.GetLeaving() || s.GetGone() {
		return 0
	}
	known, ok := k.servers[serverKey(s)]
	if !ok || known.incarnation < s.GetIncarnation() {
		return 1
	}
	return 2
}

// behind returns the number of announcements of a server that the peer has missed.
func (k *peerState) behind(s *pb.ServerState) uint64 {
	seq := k.servers[serverKey(s)].seq
	return s.GetSeq() - min(seq, s.GetSeq())
}

// MarkReceived records that the peer has these states, because it answered the heartbeat that
// carried them or sent them itself.
func (d *ServerDelta) MarkReceived(peer *pb.Holder, states []*pb.ServerState) {
	k := d.peer(peer)
	for _, s := range states {
		if v := versionOf(s); k.servers[serverKey(s)].before(v) {
			k.servers[serverKey(s)] = v
		}
	}
}

// Retain drops the state of all other peers and servers.
func (d *ServerDelta) Retain(peers []Host, servers []*pb.ServerState) {
	hosts := make(map[string]bool, len(peers))
	for _, p := range peers {
		hosts[p.Holder.GetHost()] = true
	}
	keys := make(map[string]bool, len(servers))
	for _, s := range servers {
		keys[serverKey(s)] = true
	}
	for host, k := range d.peers {
		if !hosts[host] {
			delete(d.peers, host)
		}
		for key := range k.servers {
			if !keys[key] {
				delete(k.servers, key)
			}
		}
	}
}

// peer returns the state of a peer, which is reset for each new incarnation.
func (d *ServerDelta) peer(peer *pb.Holder) *peerState {
	k := d.peers[peer.GetHost()]
	if k == nil || k.incarnation != peer.GetIncarnation() {
		k = &peerState{incarnation: peer.GetIncarnation(), servers: make(map[string]serverVersion)}
		d.peers[peer.GetHost()] = k
	}
	return k
}
