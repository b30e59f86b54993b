package balance

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// tellFor is how long a sent part is told to peers: some heartbeats, of which one may
	// be lost.
	tellFor = 700 * time.Millisecond
	// maxTold bounds the parts of one server in one heartbeat.
	maxTold = 32
)

// sentParts are the parts that this host sent to a server lately, oldest first.
type sentParts struct {
	parts []Part
	at    []time.Time
}

func (s *sentParts) add(now time.Time, prompt []Part) {
	for i := len(prompt) - 1; i >= 0; i-- {
		s.parts = append(s.parts, prompt[i])
		s.at = append(s.at, now)
	}
}

// recent are the parts to tell now.
func (s *sentParts) recent(now time.Time) []*pb.PromptPart {
	old := 0
	for old < len(s.at) && now.Sub(s.at[old]) > tellFor {
		old++
	}
	s.parts, s.at = s.parts[old:], s.at[old:]
	told := s.parts[max(len(s.parts)-maxTold, 0):]
	out := make([]*pb.PromptPart, 0, len(told))
	for _, p := range told {
		out = append(out, &pb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	return out
}

// learnParts takes the parts that a peer sent to the server, in order of use. One that is
// told twice counts as used again, which it nearly was.
func (s *server) learnParts(parts []*pb.PromptPart) {
	for _, p := range parts {
		s.cache.use(Part{ID: p.GetId(), Tokens: uint64(p.GetTokens())})
	}
	s.cache.shrink()
}
