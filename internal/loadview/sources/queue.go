package sources

import (
	"github.com/bluebellsail/bluebellsail/internal/balance/waiting"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
)

// Queue describes the room of the shards that a host assigns, and who waits for it. Of services whose servers
// each host chooses by itself as long as there is room, it has only those for which requests wait or were refused.
// engine reports whether the servers of a service are engines, which have owners at all times.
func Queue(shards []waiting.ShardView, engine func(service string) bool, into *loadview.Host) {
	for _, v := range shards {
		if !engine(v.Service) && len(v.Waiting) == 0 && len(v.Refused) == 0 {
			continue
		}
		room := loadview.Room{Service: v.Service, Shard: v.Shard, Shards: v.Shards, Servers: v.Servers, Slots: v.Slots, Running: v.Running}
		for _, w := range v.Waiting {
			room.Waiting += w.Requests
			into.Waiting = append(into.Waiting, loadview.Waiting{
				Service: v.Service, Shard: v.Shard, Account: w.Account, Rank: w.Rank, Requests: w.Requests, LongestMS: w.LongestMs,
			})
		}
		for _, r := range v.Refused {
			room.Refused += r.Requests
		}
		into.Rooms = append(into.Rooms, room)
	}
}
