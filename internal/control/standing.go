package control

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Standing is a replica's part in the control group.
type Standing string

// The standings.
const (
	// StandingForming: a new disk asks the other replicas of the bootstrap list whether
	// it may take part.
	StandingForming Standing = "forming"
	// StandingOutside: not a member. The replica waits to be added, or was removed.
	StandingOutside Standing = "outside"
	// StandingLearner: a member without a vote.
	StandingLearner Standing = "learner"
	// StandingVoter: a member with a vote.
	StandingVoter Standing = "voter"
)

func memberStanding(m *pb.Member) Standing {
	if m.GetLearner() {
		return StandingLearner
	}
	return StandingVoter
}
