package controlclient

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/control"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

func TestJoinSteps(t *testing.T) {
	member := func(id uint64, address string, learner bool) *pb.Member {
		return &pb.Member{Id: id, Address: address, Learner: learner}
	}
	others := []*pb.MemberStatus{{Member: member(1, "a", false)}, {Member: member(2, "b", false)}}
	self := member(9, "c", false)
	cases := []struct {
		name string
		more []*pb.MemberStatus
		verb string
		id   uint64
		done bool
	}{
		{"its former id is a member", []*pb.MemberStatus{{Member: member(3, "c", false)}}, control.VerbRemove, 3, false},
		{"both ids are", []*pb.MemberStatus{{Member: member(9, "c", true)}, {Member: member(3, "c", false)}}, control.VerbRemove, 3, false},
		{"not yet a member", nil, control.VerbAddLearner, 9, false},
		{"learner that is behind", []*pb.MemberStatus{{Member: member(9, "c", true), Match: 4, Active: true}}, "", 0, false},
		{"learner that fell silent", []*pb.MemberStatus{{Member: member(9, "c", true), Match: 5}}, "", 0, false},
		{"learner that holds everything", []*pb.MemberStatus{{Member: member(9, "c", true), Match: 5, Active: true}}, control.VerbPromote, 9, false},
		{"voter, change not committed", []*pb.MemberStatus{{Member: member(9, "c", false), Match: 5, Active: true}}, "", 0, false},
		{"repaired", []*pb.MemberStatus{{Member: member(9, "c", false), Match: 5, Active: true, Repaired: true}}, "", 0, true},
	}
	for _, tc := range cases {
		group := &pb.GroupStatus{Commit: 5, Members: append(append([]*pb.MemberStatus(nil), others...), tc.more...)}
		req, done := joinStep(group, self)
		if req.GetVerb() != tc.verb || req.GetMember().GetId() != tc.id || done != tc.done {
			t.Errorf("%s: got %v, done=%v", tc.name, req, done)
		}
	}
}
