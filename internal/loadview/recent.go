package loadview

import (
	"slices"
	"time"
)

const (
	// refusalWindow is the time for which refusals count, in seconds.
	refusalWindow = 10
	// maxKeysPerSecond bounds the refusals told apart in one second; the others count for otherAccounts.
	maxKeysPerSecond = 64
	otherAccounts    = "(others)"
)

// Refusals counts the refused requests of the last 10 s by service, account and reason. The zero value is
// ready to use.
type Refusals struct {
	seconds [refusalWindow]int64
	counts  [refusalWindow]map[refusedKey]int
}

// Add counts a refused request.
func (r *Refusals) Add(now time.Time, service, account, reason string) {
	second := now.Unix()
	i := second % refusalWindow
	if r.seconds[i] != second || r.counts[i] == nil {
		r.seconds[i], r.counts[i] = second, make(map[refusedKey]int)
	}
	k := refusedKey{service, account, reason}
	if _, known := r.counts[i][k]; !known && len(r.counts[i]) >= maxKeysPerSecond {
		k.account = otherAccounts
	}
	r.counts[i][k]++
}

// Of returns the refusals of a service, or of all if service is empty, the most frequent first.
func (r *Refusals) Of(now time.Time, service string) []Refused {
	sums := make(map[refusedKey]int)
	for i, second := range r.seconds {
		if now.Unix()-second >= refusalWindow {
			continue
		}
		for k, n := range r.counts[i] {
			if service == "" || service == k.service {
				sums[k] += n
			}
		}
	}
	var out []Refused
	for k, n := range sums {
		out = append(out, Refused{Service: k.service, Account: k.account, Reason: k.reason, Requests: n})
	}
	slices.SortFunc(out, byRefused)
	return out
}
