package membership

import (
	"cmp"

	"github.com/bluebellsail/bluebellsail/internal/pb"
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
