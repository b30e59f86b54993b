package routes

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// link carries answers one after the other. What a caller gave up on still takes its time:
// it is on its way.
type link struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time
}

// carry returns when a message of so many bytes has passed.
func (l *link) carry(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.free
}

const (
	smallAnswer   = 100
	gatewayLink   = 10e6 / 8
	controlLink   = 170e6 / 8
	startingHosts = 70
	controlHosts  = 5
)

// startAll has all hosts of a fleet start at the same time under a table of so many bytes,
// and returns how many serve after a time.
func startAll(t *testing.T, tableBytes int, within time.Duration) (serving int) {
	held := table(t, 7)
	control := make(map[string]*link)
	var sources []Source
	for i := range controlHosts {
		address := string(rune('a' + i))
		control[address] = &link{bytesPerSecond: controlLink}
		sources = append(sources, Source{Address: address, Control: true})
	}
	var all []*Controller
	for i := range startingHosts {
		own := &link{bytesPerSecond: gatewayLink}
		c := New(Config{
			Sources: func() []Source { return sources },
			Fetch: func(ctx context.Context, address string, req *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
				reply := FromReplica(replica{table: held, confirmed: true}, req)
				bytes := smallAnswer
				if reply.GetRoutes().GetTableJson() != nil {
					bytes += tableBytes
				}
				there := own.carry(bytes)
				if at := control[address].carry(bytes); at.After(there) {
					there = at
				}
				select {
				case <-time.After(time.Until(there)):
					return reply, nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			},
			OnChange: func(_, _ *routes.Index) {}, FirstSource: i, Log: zerolog.Nop(),
		})
		all = append(all, c)
		go c.Run(t.Context())
	}
	time.Sleep(within)
	for _, c := range all {
		if _, err := c.Current(); err == nil {
			serving++
		}
	}
	return serving
}

// Symptom: after all hosts were killed at the same time none serves for the rest of the
// day, and the control group elects a leader every half second.
// Sequence: the table has 1,400 routes, 307 KB; each of 70 hosts asks five control hosts at
// once for it. None of the answers comes through the host's link in 400 ms; all are asked
// again, and the control hosts' links are full of answers that nobody waits for any more.
// Cause: the question whether a table is the newest brought the table with each answer, and
// what took too long was tried again with no more time.
func TestFleetStartsUnderALargeTable(t *testing.T) {
	for name, tableBytes := range map[string]int{"packed": 20_000, "not packed": 307_000} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if serving := startAll(t, tableBytes, 5*time.Second); serving != startingHosts {
					t.Errorf("%d of %d hosts serve after 5 s", serving, startingHosts)
				}
			})
		})
	}
}
