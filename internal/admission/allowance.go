package admission

import "math"

// Allowance returns how many of the rejections in a second that a server tolerates a host may cause.
// rank is the host's rank among the owners of the server, 0 first, and reach the share of the hosts
// that it reaches. The sides of a partition, each with its own owner, together cause no more than
// the server tolerates; a side with at most half of the hosts may have none.
func Allowance(tolerated, rank int, reach float64) int {
	if rank != 0 {
		return 0
	}
	// A server that tolerates none gets requests too: only an answer can show that it is no
	// longer brittle.
	share := float64(max(tolerated, 1)) * min(max(reach, 0), 1)
	if reach > 0.5 {
		return int(math.Ceil(share - rounding))
	}
	return int(share)
}

// rounding absorbs the rounding errors of the share of the hosts.
const rounding = 1e-9
