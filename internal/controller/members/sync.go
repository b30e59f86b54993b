package members

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Heartbeats replicate the registry of backend servers. A request pushes what has changed at this host
// itself; the reply brings whatever else the sender of the request lacks. The sender tells its position in
// the receiver's changes, or the digest of its registry if it has none, so that the receiver keeps nothing
// for those that ask.
//
// Between hosts whose registries are Summarizers, replies carry summaries of most servers, and the sender of the
// request fetches the states that it lacks at once: while many servers change, each neighbor tells of the same ones.
// Other hosts send a digest with the position, which keeps changes from coming twice that have come from others
// meanwhile; it is left out if there were none.

// maxServers bounds the states of backend servers in one message, of some 110 bytes each. A message of
// that size takes 25 ms on a link of 10 Mbit/s.
const maxServers = 256

// maxSummaries bounds the summaries of servers in one message, of 8 bytes each.
const maxSummaries = 1024

// compareEvery is the number of heartbeats to a peer after which the registries are compared by digest even if
// the position is known: this host may have forgotten servers that have not changed since, as it does in a long
// network partition.
const compareEvery = 60

// serverSync holds how far this host and each peer to which it sends heartbeats have exchanged the states of
// backend servers. It is safe for concurrent use.
type serverSync struct {
	mu    sync.Mutex
	peers map[string]peerSync
}

// peerSync is how far an incarnation of a peer and this host are. The zero value knows nothing.
type peerSync struct {
	incarnation uint64
	// pushed is the position in this host's changes that the peer has reached.
	pushed changelog.Position
	// pulled is the position in the peer's changes that this host has reached. It is not known before
	// complete.
	pulled   changelog.Position
	complete bool
	// replies is the number of replies of the peer.
	replies int
	// digest is a hash of this host's digest after the last reply.
	digest uint64
	// earlierVersion reports that the peer pulls nothing, so that it gets all changes pushed.
	earlierVersion bool
	// summarizes reports that the peer sends summaries.
	summarizes bool
}

func newServerSync() *serverSync { return &serverSync{peers: make(map[string]peerSync)} }

// get returns what is known of a host, whatever its incarnation.
func (s *serverSync) get(host string) peerSync {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[host]
}

// update changes what is known of an incarnation of a host. A later incarnation starts anew.
func (s *serverSync) update(h *pb.Holder, change func(*peerSync)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[h.GetHost()]
	if p.incarnation != h.GetIncarnation() {
		p = peerSync{incarnation: h.GetIncarnation()}
	}
	change(&p)
	s.peers[h.GetHost()] = p
}

// retain drops what is known of all other hosts. The list is ordered by name.
func (s *serverSync) retain(peers []PeerInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host := range s.peers {
		if _, known := findPeer(peers, host); !known {
			delete(s.peers, host)
		}
	}
}

func findPeer(peers []PeerInfo, host string) (PeerInfo, bool) {
	at, known := slices.BinarySearchFunc(peers, host, func(p PeerInfo, host string) int { return strings.Compare(p.Host, host) })
	if !known {
		return PeerInfo{}, false
	}
	return peers[at], true
}

// currentHosts has, of a view of the fleet, the incarnations of the hosts that are not known to be dead.
type currentHosts struct {
	peers        []PeerInfo
	incarnations map[string]uint64
}

func newCurrentHosts(peers []PeerInfo) *currentHosts {
	h := &currentHosts{peers: peers, incarnations: make(map[string]uint64, len(peers))}
	for _, p := range peers {
		if p.Health != pb.HostHealth_HOST_HEALTH_DEAD {
			h.incarnations[p.Host] = p.Incarnation
		}
	}
	return h
}

// of reports whether these are the hosts of a view.
func (h *currentHosts) of(peers []PeerInfo) bool {
	return h != nil && len(h.peers) == len(peers) && (len(peers) == 0 || &h.peers[0] == &peers[0])
}

// isAlive reports whether an incarnation of a host is the current one and not known to be dead.
func (h *currentHosts) isAlive(host string, incarnation uint64) bool {
	current, known := h.incarnations[host]
	return known && current == incarnation
}

// addServers adds to a heartbeat the servers that the peer lacks of this host's own changes, and what this
// host has of the peer's.
func (c *Controller) addServers(b *heartbeat) {
	p := c.sync.get(b.target.Host)
	if p.replies%compareEvery == compareEvery-1 {
		p.complete = false
	}
	digest := c.cfg.Registry.ServerDigest()
	b.request.ServerSync = &pb.ServerSync{
		Incarnation: p.incarnation, Complete: p.complete, Urgent: p.pulled.Urgent, Normal: p.pulled.Normal,
	}
	if c.summaries != nil {
		b.request.ServerSync.Summarize, b.request.ServerSync.DigestHash = true, c.summaries.ServerDigestHash()
	}
	if !p.complete || p.digest != hashOf(digest) && !p.summarizes {
		b.request.ServerSync.Digest = digest
	}
	b.syncedWith = p.incarnation
	if p.earlierVersion {
		b.request.Servers, b.pushed = c.cfg.Registry.ServerChanges(p.pushed, maxServers, b.target.Host, nil)
		return
	}
	b.request.Servers, b.pushed = c.cfg.Registry.OwnServerChanges(p.pushed, maxServers)
}

// serversFor returns the servers that the sender of a heartbeat lacks, and how far it is with them. self is
// this host.
func (c *Controller) serversFor(m *pb.HeartbeatRequest, self *pb.Holder) ([]*pb.ServerState, *pb.ServerSync) {
	s := m.GetServerSync()
	if s == nil {
		return nil, nil // an earlier version, which gets them by this host's own heartbeats
	}
	known, at := s.GetComplete() && s.GetIncarnation() == self.GetIncarnation(), changelog.Position{Urgent: s.GetUrgent(), Normal: s.GetNormal()}
	if s.GetSummarize() && c.summaries != nil {
		update := c.summaries.ServerUpdate(instance.Query{
			Peer: m.GetFrom().GetHost(), After: at, Known: known, Digest: s.GetDigest(), DigestHash: s.GetDigestHash(),
			MaxStates: maxServers, MaxSummaries: maxSummaries, First: rand.Int(),
		})
		sync := encodeSync(self, update.UpTo, update.Complete)
		sync.Summarize = true
		for _, summary := range update.Summaries {
			sync.Summaries = append(sync.Summaries, uint64(summary))
		}
		return update.States, sync
	}
	if known {
		states, upTo := c.cfg.Registry.ServerChanges(at, maxServers, m.GetFrom().GetHost(), s.GetDigest())
		return states, encodeSync(self, upTo, true)
	}
	states, upTo, complete := c.cfg.Registry.DifferingServers(s.GetDigest(), maxServers, rand.Int())
	return states, encodeSync(self, upTo, complete)
}

func encodeSync(self *pb.Holder, upTo changelog.Position, complete bool) *pb.ServerSync {
	return &pb.ServerSync{Incarnation: self.GetIncarnation(), Complete: complete, Urgent: upTo.Urgent, Normal: upTo.Normal}
}

// receiveServerSync records how far this host and a peer are after a reply, whose servers have been merged. fetched
// reports whether this host has those of which the reply has summaries.
func (c *Controller) receiveServerSync(b heartbeat, reply *pb.HeartbeatReply, fetched bool) {
	digest := hashOf(c.cfg.Registry.ServerDigest())
	s := reply.GetState().GetServerSync()
	c.sync.update(reply.GetFrom(), func(p *peerSync) {
		p.digest = digest
		p.replies++
		p.summarizes = s.GetSummarize()
		if p.earlierVersion != (s == nil) {
			*p = peerSync{incarnation: p.incarnation, digest: digest, earlierVersion: s == nil}
			return
		}
		// What an earlier incarnation had, or this one when it had another number, does not count.
		if b.syncedWith == p.incarnation || b.syncedWith == 0 {
			p.pushed = maxPosition(p.pushed, b.pushed)
		}
		if s.GetComplete() && fetched {
			p.pulled, p.complete = maxPosition(p.pulled, changelog.Position{Urgent: s.GetUrgent(), Normal: s.GetNormal()}), true
		}
	})
}

// isPartial reports whether a reply brings only a part of the servers that its receiver lacks.
func isPartial(reply *pb.HeartbeatReply) bool {
	s := reply.GetState().GetServerSync()
	return s != nil && !s.GetComplete() && len(reply.GetState().GetServers())+len(s.GetSummaries()) > 0
}

func maxPosition(a, b changelog.Position) changelog.Position {
	return changelog.Position{Urgent: max(a.Urgent, b.Urgent), Normal: max(a.Normal, b.Normal)}
}

// hashOf returns a hash of a digest (FNV-1a by words).
func hashOf(d changelog.Digest) uint64 {
	h := uint64(14695981039346656037)
	for _, sum := range d {
		h = (h ^ uint64(sum)) * 1099511628211
	}
	return h
}
