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

// isolatedHost is a host without peers whose ledger gives no answer.
type isolatedHost struct{ panicking bool }

func (l *isolatedHost) Peers() []string {
	if l.panicking {
		panic("in the middle of a change")
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

// Symptom: after a panic in its log a host answers nothing any more, or gives tokens out
// twice.
// Sequence: a change of what the host holds panics half-way, on the loop, a timer's goroutine or
// a request's; who waits for tokens goes on waiting.
// Cause: the lock stays held, or the books go on being used though they are half changed.
func TestPanicDuringChangeStopsGrants(t *testing.T) {
	for _, where := range []string{"step", "reserve"} {
		t.Run(where, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPanicDuringChange(t, where) })
		})
	}
}

func testPanicDuringChange(t *testing.T, where string) {
	world := &isolatedHost{}
	var failures []error
	m := New(Config{
		Self: &pb.Holder{Host: "a", Incarnation: 1}, Proposer: world, Asker: world, Recorder: world, Log: zerolog.Nop(),
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

	world.panicking = true
	switch where {
	case "step":
		m.step(func(time.Time) grant.Output { return grant.Output{} })
	case "reserve":
		if err := m.Reserve(ctx, "school", "second", 10); !errkind.Is(err, errkind.HostLeaving) {
			t.Errorf("the request in whose name it panicked got %v", err)
		}
	}
	world.panicking = false
	go func() {
		defer close(ended)
		m.Run(ctx)
	}()
	if err := <-waiting; !errkind.Is(err, errkind.HostLeaving) {
		t.Errorf("who waited got %v", err)
	}
	if err := m.Reserve(ctx, "school", "third", 10); !errkind.Is(err, errkind.HostLeaving) {
		t.Errorf("who came later got %v", err)
	}
	if len(failures) != 1 {
		t.Errorf("the process was told %d times", len(failures))
	}
	drain, cancelDrain := context.WithTimeout(ctx, time.Minute)
	defer cancelDrain()
	if err := m.Drain(drain); err == nil || drain.Err() != nil {
		t.Errorf("a host that ends in order waits for its grants: %v", err)
	}
}
