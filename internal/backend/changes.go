package backend

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// record records a newer state of a server for the messages to peers; from is the host that sent it, empty
// if the server did.
func (r *Registry) record(s *Server, from string) {
	class := changelog.Normal
	if s.leaving {
		class = changelog.Urgent
	}
	r.log.Record(s.Address(), s.sum(), class, from)
}

// sum returns a hash of the newest known state.
func (s *Server) sum() uint32 {
	buf := append([]byte(nil), s.Address()...)
	buf = binary.LittleEndian.AppendUint64(buf, s.state.GetIncarnation())
	buf = binary.LittleEndian.AppendUint64(buf, s.state.GetSeq())
	if s.leaving {
		buf = append(buf, 1)
	}
	return uint32(xxhash.Sum64(buf))
}

// ChangesSince returns up to limit servers that have changed after a position, with AgeMs as of now, and the position that a
// peer which gets them has reached. It leaves out those that came from that peer or that it has by its
// digest, which may be absent.
func (r *Registry) ChangesSince(now time.Time, after changelog.Position, limit int, peer string, theirs changelog.Digest) ([]*pb.ServerState, changelog.Position) {
	addresses, upTo := r.log.Since(after, limit, peer, theirs)
	return r.states(now, addresses), upTo
}

// OwnChangesSince is like ChangesSince for what this host has not learned from a peer.
func (r *Registry) OwnChangesSince(now time.Time, after changelog.Position, limit int) ([]*pb.ServerState, changelog.Position) {
	addresses, upTo := r.log.OwnSince(after, limit)
	return r.states(now, addresses), upTo
}

// Digest returns a digest of all servers.
func (r *Registry) Digest() changelog.Digest { return r.log.Digest() }

// Differing returns up to limit servers in the parts of the registry in which a peer's digest differs,
// from the part first on. If they are all of them, complete is true and the peer reaches the position
// upTo with them.
func (r *Registry) Differing(now time.Time, theirs changelog.Digest, limit, first int) (states []*pb.ServerState, upTo changelog.Position, complete bool) {
	addresses, complete := r.log.Differing(theirs, limit, first)
	return r.states(now, addresses), r.log.End(), complete
}

func (r *Registry) states(now time.Time, addresses []string) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(addresses))
	for _, address := range addresses {
		if s := r.servers[address]; s != nil && now.Sub(s.announcedAt) < r.cfg.Forget {
			out = append(out, s.stateAt(now))
		}
	}
	return out
}
