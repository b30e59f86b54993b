package controlclient

import (
	"testing"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// A starting host sends the age of its process in its registration. If each attempt
// repeated the age of the first one, then after the loss of all hosts the more of their
// tokens would count as spent the longer the control group takes to elect a leader.
func TestEachAttemptSendsAFreshCommand(t *testing.T) {
	f := &fakeReplica{}
	var ages []int64
	f.propose = func(n int, cmd *pb.Command) (*pb.ProposeReply, error) {
		ages = append(ages, cmd.GetRegisterHost().GetAgeMs())
		if n < 3 {
			return nil, errors.New("lost")
		}
		return committed(1), nil
	}
	c := newClient(t, serve(t, f))
	made := int64(0)
	_, err := c.ProposeFunc(t.Context(), func() *pb.Command {
		made++
		return &pb.Command{Body: &pb.Command_RegisterHost{RegisterHost: &pb.RegisterHost{AgeMs: made}}}
	})
	testutil.NoError(t, err)
	if len(ages) != 3 || ages[2] != 3 {
		t.Errorf("ages sent: %v", ages)
	}
}
