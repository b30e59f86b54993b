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

// link carries answers one after the other. An answer that the caller has given up on still takes
// its share of the link.
type link struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time
}

// carry returns when a message of the given size has been transmitted.
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

// startAll starts all hosts of a fleet at the same time with a table of tableBytes, and returns how
// many of them serve after a time.
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

// Guards against a fleet that never serves again after all hosts were killed at the same time, while
// the control group elects a leader every half second. The table has 1,400 routes, 307 KB, and each of
// 70 hosts requested it from five control hosts at once. No answer came through a host's link within
// 400 ms, all asked again, and answers that nobody waited for filled the control hosts' links. The
// cause was that each answer about the newest revision carried the table, and that retries got no
// longer timeout.
func TestFleetStartsWithALargeTable(t *testing.T) {
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
