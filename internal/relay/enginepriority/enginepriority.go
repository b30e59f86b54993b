// Package enginepriority decides at which priority a request is sent to a model engine. Engines admit
// requests by it and preempt others for it, so the priority tells apart what may displace what.
//
// The package is pure: time is passed in.
package enginepriority

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/relay"
)

const (
	// First and Last are the priorities of engines, First being the most urgent. Default is that of
	// requests without any.
	First, Default, Last = 0, 5, 9
	// repeatedShare is the part of its time that a request counts as having used up, at least, once it was
	// sent to a server before.
	repeatedShare = 0.5
)

// Request is what the priority of a request depends on.
type Request struct {
	// Rank is the request's priority in the routing table, 0 being the highest. Ranks are all of the table's
	// in ascending order.
	Rank  int
	Ranks []int
	// Arrived is when the request arrived, and Deadline when its whole answer is due.
	Arrived, Deadline time.Time
	// Resumed is set if its caller has part of the answer. Repeated is set if it was sent to a server before.
	Resumed, Repeated bool
}

// ForExchange returns the priority of a routed request.
func ForExchange(x *relay.Exchange, now time.Time) int {
	r := Request{
		Rank: x.Priority(), Arrived: x.Arrived, Deadline: x.Deadline,
		Resumed: x.Begun || x.ResumeAfter != "", Repeated: len(x.Attempts) > 1,
	}
	if x.Table != nil {
		r.Ranks = x.Table.Ranks()
	}
	return r.At(now)
}

// At returns the priority at which the request is sent to an engine now: that of its rank, and the nearer to
// that of the highest rank, the more of its time is used up. A stream that goes on is sent at that of the
// highest rank: what it has had so far is lost otherwise. No request is sent at a better one, so none
// displaces a request of the highest rank.
func (r Request) At(now time.Time) int {
	first, base := ofRank(0, r.Ranks), ofRank(r.Rank, r.Ranks)
	if r.Resumed {
		return first
	}
	used := r.used(now)
	if r.Repeated {
		used = max(used, repeatedShare)
	}
	return base - int(used*float64(base-first))
}

// ofRank spreads the ranks of a table evenly over the priorities. The only rank of a table has the default.
func ofRank(rank int, ranks []int) int {
	if len(ranks) < 2 {
		return Default
	}
	at, _ := slices.BinarySearch(ranks, rank)
	return First + min(at, len(ranks)-1)*(Last-First)/(len(ranks)-1)
}

// used returns the part of its time that the request has used up, from 0 to 1; 0 for senseless times.
func (r Request) used(now time.Time) float64 {
	waited, limit := now.Sub(r.Arrived), r.Deadline.Sub(r.Arrived)
	if waited <= 0 || limit <= 0 {
		return 0
	}
	return min(float64(waited)/float64(limit), 1)
}
