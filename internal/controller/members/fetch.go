package members

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/membership"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// serverFetches holds the hashes of the ids of the servers whose states are being fetched, so that they are not
// fetched from several hosts at once.
type serverFetches struct {
	mu  sync.Mutex
	ids map[uint32]bool
}

// begin marks ids as being fetched and returns those that were not yet.
func (f *serverFetches) begin(ids []uint32) (mine []uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ids == nil {
		f.ids = make(map[uint32]bool)
	}
	for _, id := range ids {
		if !f.ids[id] {
			f.ids[id] = true
			mine = append(mine, id)
		}
	}
	return mine
}

func (f *serverFetches) end(ids []uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		delete(f.ids, id)
	}
}

// fetchSummarized fetches the states that this host lacks of the servers summarized in a reply, and reports whether it
// has all of them now.
func (c *Controller) fetchSummarized(ctx context.Context, from membership.Target, reply *pb.HeartbeatReply) bool {
	encoded := reply.GetState().GetServerSync().GetSummaries()
	if c.summaries == nil || len(encoded) == 0 {
		return true
	}
	c.cfg.Metrics.ServersSummarized.Add(int64(len(encoded)))
	summaries := make([]changelog.Summary, len(encoded))
	for i, s := range encoded {
		summaries[i] = changelog.Summary(s)
	}
	lacking := c.summaries.LackingServers(summaries)
	mine := c.fetches.begin(lacking)
	defer c.fetches.end(mine)
	complete := len(mine) == len(lacking)
	if len(mine) > maxServers && !c.mayPull(from.Host) {
		mine, complete = mine[:maxServers], false
	}
	for first := 0; first < len(mine); first += maxServers {
		if !c.fetchServers(ctx, from.Address, reply.GetFrom().GetHost(), mine[first:min(first+maxServers, len(mine))]) {
			return false
		}
	}
	return complete
}

// fetchServers fetches and merges the states of servers, and reports whether the host answered.
func (c *Controller) fetchServers(ctx context.Context, address, host string, ids []uint32) bool {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	sent := time.Now()
	request := &pb.FetchServersRequest{Ids: ids}
	reply, err := c.cfg.Peers.Client(address).FetchServers(ctx, request)
	c.countBytes(request)
	if err != nil {
		c.cfg.Log.Debug().Str("event", "servers-not-fetched").Str("peer", host).Str("address", address).Int("servers", len(ids)).Err(err).Send()
		return false
	}
	c.countBytes(reply)
	c.cfg.Metrics.ServersFetched.Add(int64(len(reply.GetServers())))
	if c.cfg.Limits != nil {
		c.cfg.Limits.Merge(reply.GetLimits())
	}
	c.cfg.Registry.Merge(reply.GetServers(), time.Since(sent), host)
	return true
}

// HandleFetchServers answers another host's request for the states of servers.
func (c *Controller) HandleFetchServers(r *pb.FetchServersRequest) *pb.FetchServersReply {
	if c.summaries == nil {
		return &pb.FetchServersReply{}
	}
	servers := c.summaries.ServerStates(r.GetIds()[:min(len(r.GetIds()), maxServers)])
	return &pb.FetchServersReply{Servers: servers, Limits: c.limitsOf(servers)}
}
