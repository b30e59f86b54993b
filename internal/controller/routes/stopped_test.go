package routes

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/routes"
)

// Guards against a host that stays at an older table for seconds, though a host that serves callers has the newest, because
// all its fetches go to control hosts that were stopped after they had told of it.
func TestTableIsFetchedPastStoppedControlHosts(t *testing.T) {
	const inForce = 2 * time.Second
	for controls := 2; controls <= 7; controls++ {
		for first := range controls + 1 {
			synctest.Test(t, func(t *testing.T) {
				sources := []Source{{Address: "gateway", Revision: 5}}
				for i := range controls {
					sources = append(sources, Source{Address: fmt.Sprint("stopped", i), Revision: 5, Control: true})
				}
				newest := &pb.FetchRoutesReply{Routes: table(t, 5)}
				c := New(Config{
					Sources: func() []Source { return sources }, FirstSource: first, OnChange: func(_, _ *routes.Index) {}, Log: zerolog.Nop(),
					Fetch: func(ctx context.Context, address string, _ *pb.FetchRoutesRequest) (*pb.FetchRoutesReply, error) {
						if address == "gateway" {
							return newest, nil
						}
						<-ctx.Done()
						return nil, ctx.Err()
					},
				})
				c.Apply("control", &pb.FetchRoutesReply{Routes: table(t, 4), Confirmed: true})
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				time.Sleep(inForce)
				if c.Revision() != 5 {
					t.Errorf("%d stopped control hosts, source %d first: revision %d after %v", controls, first, c.Revision(), inForce)
				}
				cancel()
				synctest.Wait()
			})
		}
	}
}
