package balancer

import (
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// Guards against a host that answers nothing after a recovered panic: a call of the balancer
// panicked while it held the lock, which was not released by defer.
func TestPanicReleasesTheLock(t *testing.T) {
	calls := map[string]func(*Balancer){
		"announce": func(b *Balancer) { _ = b.Announce(server("a", 1)) },
		"end":      func(b *Balancer) { _ = b.End(instance.Incarnation{ID: "a"}) },
		"merge":    func(b *Balancer) { b.Merge([]*pb.ServerState{{Id: "a", Services: []string{"s"}}}, 0, "peer") },
		"done":     func(b *Balancer) { (&lease{b: b}).Done(balance.Served) },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			b := New(Config{Host: "host", OnChange: func(*pb.ServerState) {}})
			b.reg, b.core = nil, nil // every use panics
			func() {
				defer func() {
					if recover() == nil {
						t.Error("no panic")
					}
				}()
				call(b)
			}()
			if !b.mu.TryLock() {
				t.Error("the lock is held")
			}
		})
	}
}

// Guards against a data race in lease.First: a report that an attempt's answer has begun is not
// acknowledged in time and sent again, and both copies are handled at the same time.
func TestConcurrentFirstCalls(t *testing.T) {
	b := New(Config{Host: "host", OnChange: func(*pb.ServerState) {}})
	testutil.NoError(t, b.Announce(instance.Announcement{ID: "a", Service: "s", Address: "10.0.0.1:80", Seq: 1, Slots: 1}))
	l, err := b.Acquire(t.Context(), &balance.Work{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.FirstByte()
	}()
	l.FirstByte()
	<-done
	l.Done(balance.Served)
}
