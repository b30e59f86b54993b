package grants

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// isolatedHost is a host without peers whose ledger does not answer.
type isolatedHost struct{ panicking bool }

func (l *isolatedHost) Peers() []string {
	if l.panicking {
		panic("panic in the middle of a change")
	}
	return nil
}

func (*isolatedHost) AskTokens(context.Context, string, *pb.AskTokensRequest) (*pb.AskTokensReply, error) {
	return nil, errkind.New(errkind.NotFound, "no peers")
}

func (*isolatedHost) Propose(ctx context.Context, _ *pb.Command) (*pb.CommandResult, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (*isolatedHost) CopyTransfer(context.Context, *pb.Transfer) error    { return nil }
func (*isolatedHost) AbandonTransfer(context.Context, *pb.Transfer) error { return nil }
func (*isolatedHost) TransferSettled(*pb.Transfer)                        {}

// TestPanicDuringChangeStopsGrants guards against a panic in the middle of a change of the
// held tokens, in the loop, a timer's goroutine or a request's. If the lock stayed held, the
// host would answer no more and waiting requests would wait forever; if the half-changed
// state stayed in use, tokens could be granted twice.
func TestPanicDuringChangeStopsGrants(t *testing.T) {
	for _, where := range []string{"step", "reserve"} {
		t.Run(where, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPanicDuringChange(t, where) })
		})
	}
}

func testPanicDuringChange(t *testing.T, where string) {
	host := &isolatedHost{}
	var failures []error
	m := New(Config{
		Self: &pb.Holder{Host: "a", Incarnation: 1}, Proposer: host, Asker: host, Recorder: host, Log: zerolog.Nop(),
		OnFailure: func(err error) { failures = append(failures, err) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	defer func() {
		cancel()
		<-ended
	}()
	waiting := make(chan error, 1)
	go func() { waiting <- m.Reserve(ctx, "school", "first", 10) }()
	synctest.Wait()

	host.panicking = true
	switch where {
	case "step":
		m.step(func(time.Time) grant.Output { return grant.Output{} })
	case "reserve":
		if err := m.Reserve(ctx, "school", "second", 10); !errkind.Is(err, errkind.HostLeaving) {
			t.Errorf("the request whose change panicked got %v", err)
		}
	}
	host.panicking = false
	go func() {
		defer close(ended)
		m.Run(ctx)
	}()
	if err := <-waiting; !errkind.Is(err, errkind.HostLeaving) {
		t.Errorf("the waiting request got %v", err)
	}
	if err := m.Reserve(ctx, "school", "third", 10); !errkind.Is(err, errkind.HostLeaving) {
		t.Errorf("a later request got %v", err)
	}
	if len(failures) != 1 {
		t.Errorf("OnFailure was called %d times, want 1", len(failures))
	}
	drain, cancelDrain := context.WithTimeout(ctx, time.Minute)
	defer cancelDrain()
	if err := m.Drain(drain); err == nil || drain.Err() != nil {
		t.Errorf("Drain waits for grants after a panic: %v", err)
	}
}
