package control

import "github.com/bluebellsail/bluebellsail/internal/pb"

// MembershipState is a replica's membership in the control group.
type MembershipState string

// The membership states.
const (
	// MembershipForming: a replica with a new disk asks the other replicas of the
	// bootstrap list whether it may participate.
	MembershipForming MembershipState = "forming"
	// MembershipNone: not a member. The replica waits to be added, or was removed.
	MembershipNone MembershipState = "outside"
	// MembershipLearner: a member without a vote.
	MembershipLearner MembershipState = "learner"
	// MembershipVoter: a member with a vote.
	MembershipVoter MembershipState = "voter"
)

func membershipOf(m *pb.Member) MembershipState {
	if m.GetLearner() {
		return MembershipLearner
	}
	return MembershipVoter
}
