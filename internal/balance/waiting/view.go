package waiting

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/fairqueue"
)

const (
	// refusalWindow is the time for which refusals by account are counted, in seconds.
	refusalWindow = 10
	// maxRefusedAccounts bounds the accounts that are told apart in one second; the others count as one.
	maxRefusedAccounts = 64
	// otherAccounts is the name under which they count.
	otherAccounts = "(others)"
)

// refusals counts the refused requests of the last seconds by account.
type refusals struct {
	seconds [refusalWindow]int64
	counts  [refusalWindow]map[string]int
}

func (f *refusals) add(now time.Time, account string) {
	second := now.Unix()
	i := second % refusalWindow
	if f.seconds[i] != second || f.counts[i] == nil {
		f.seconds[i], f.counts[i] = second, make(map[string]int)
	}
	if _, known := f.counts[i][account]; !known && len(f.counts[i]) >= maxRefusedAccounts {
		account = otherAccounts
	}
	f.counts[i][account]++
}

// ShardView is what an operator sees of the room of a shard's servers and of who waits for it.
type ShardView struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Shards  uint32 `json:"shards"`
	// Servers is the number of servers, Slots how many requests they run at once, and Running how many of
	// these this host has assigned.
	Servers int `json:"servers"`
	Slots   int `json:"slots"`
	Running int `json:"running"`
	// Waiting lists the waiting requests by account and rank, Refused those refused for want of room in the
	// last 10 s by account.
	Waiting []WaitingView `json:"waiting,omitempty"`
	Refused []RefusedView `json:"refused,omitempty"`
}

// WaitingView describes an account's waiting requests of one rank.
type WaitingView struct {
	Account  string `json:"account"`
	Rank     int    `json:"rank"`
	Requests int    `json:"requests"`
	// LongestMs is for how long the first of them has waited.
	LongestMs int64 `json:"longest_ms"`
}

// RefusedView is the number of an account's refused requests.
type RefusedView struct {
	Account  string `json:"account"`
	Requests int    `json:"requests"`
}

// View returns what is known of the shards of a service for which this host has lately chosen servers, or of
// all services if service is empty.
func (c *Core) View(now time.Time, service string) []ShardView {
	var out []ShardView
	for k, q := range c.queues {
		if service == "" || service == k.service {
			out = append(out, q.view(now, c.chooser.Load(k.service, k.shard)))
		}
	}
	slices.SortFunc(out, func(a, b ShardView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Shards, b.Shards))
	})
	return out
}

func (q *queue) view(now time.Time, load balance.ShardLoad) ShardView {
	v := ShardView{
		Service: q.service, Shard: q.shard.Index, Shards: max(q.shard.Of, 1),
		Servers: load.Servers, Slots: load.Slots, Running: load.Running, Refused: q.refused.view(now),
	}
	type group struct {
		account string
		rank    int
	}
	at := make(map[group]int)
	q.fair.Each(func(e *fairqueue.Entry[*request]) {
		g := group{e.Account, e.Rank}
		i, known := at[g]
		if !known {
			i = len(v.Waiting)
			at[g] = i
			v.Waiting = append(v.Waiting, WaitingView{Account: e.Account, Rank: e.Rank})
		}
		v.Waiting[i].Requests++
		v.Waiting[i].LongestMs = max(v.Waiting[i].LongestMs, now.Sub(e.Value.arrived).Milliseconds())
	})
	slices.SortFunc(v.Waiting, func(a, b WaitingView) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Rank, b.Rank))
	})
	return v
}

func (f *refusals) view(now time.Time) []RefusedView {
	sums := make(map[string]int)
	for i, second := range f.seconds {
		if now.Unix()-second >= refusalWindow {
			continue
		}
		for account, n := range f.counts[i] {
			sums[account] += n
		}
	}
	var out []RefusedView
	for account, n := range sums {
		out = append(out, RefusedView{Account: account, Requests: n})
	}
	slices.SortFunc(out, func(a, b RefusedView) int { return cmp.Compare(a.Account, b.Account) })
	return out
}
