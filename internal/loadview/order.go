package loadview

import (
	"cmp"
	"strings"
)

// The orders put what is tight first and are total, so that the same descriptions give the same lists.

func byRoom(a, b Room) int {
	return cmp.Or(
		cmp.Compare(b.Waiting+b.Refused, a.Waiting+a.Refused), cmp.Compare(b.Running, a.Running),
		strings.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.Shards, b.Shards),
	)
}

func byServer(a, b Server) int {
	return cmp.Or(
		cmp.Compare(b.fullness(), a.fullness()),
		strings.Compare(a.Service, b.Service), strings.Compare(a.Server, b.Server),
	)
}

// fullness is the larger of the parts of a server's memory and slots that are taken, in thousandths. Waiting
// requests count as taken slots.
func (s Server) fullness() (permille int64) {
	if s.Memory != nil && s.Memory.Of > 0 {
		permille = 1000 * s.Memory.Used / s.Memory.Of
	}
	running, slots := s.running()
	if s.Reported != nil {
		running += s.Reported.Waiting
	}
	if slots > 0 {
		permille = max(permille, 1000*int64(running)/int64(slots))
	}
	return permille
}

func byAccount(a, b Account) int {
	return cmp.Or(
		cmp.Compare(b.Requests+b.Refused, a.Requests+a.Refused), cmp.Compare(b.Waiting, a.Waiting),
		cmp.Compare(b.HeldBytes, a.HeldBytes), strings.Compare(a.Account, b.Account),
	)
}

func byWaiting(a, b Waiting) int {
	return cmp.Or(
		cmp.Compare(b.LongestMS, a.LongestMS), cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Service, b.Service),
		strings.Compare(a.Account, b.Account), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Shard, b.Shard),
	)
}

func byRefused(a, b Refused) int {
	return cmp.Or(
		cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Service, b.Service),
		strings.Compare(a.Account, b.Account), strings.Compare(a.Reason, b.Reason),
	)
}
