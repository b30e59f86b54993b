package news

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// BenchmarkBytesPerUpdate counts what hosts send for word of one leaving server, without gRPC's
// framing: all together for each host, the one that heard it first, and the rounds until the
// last host has it.
func BenchmarkBytesPerUpdate(b *testing.B) {
	for _, n := range []int{75, 300, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var all []string
			for i := range n - 1 {
				all = append(all, fmt.Sprintf("10.%d.%d.%d:7200", i%6, i/250, i%250))
			}
			n := &pb.TellRequest{Servers: []*pb.ServerState{{
				Id: "i-803669ecf7", Address: "10.3.64.53:8643", Zone: "boa-vista", Version: "v1", Services: []string{"pool"},
				Slots: 64, Leaving: true, Seq: 41,
			}}}
			var total, first, rounds int
			for b.Loop() {
				total, first, rounds = countBytes(n, all)
			}
			b.ReportMetric(float64(total)/float64(len(all)+1), "B/host")
			b.ReportMetric(float64(first), "B/first")
			b.ReportMetric(float64(rounds), "rounds")
		})
	}
}

// countBytes is what the hosts at these addresses and the one that tells them send in all, what
// the latter sends, and in how many rounds.
func countBytes(n *pb.TellRequest, addresses []string) (total, here, rounds int) {
	for _, group := range splitGroups(addresses) {
		m := &pb.TellRequest{Servers: n.GetServers(), FromAddress: group[0], Onward: group[1:]}
		here += proto.Size(m)
		below, _, deeper := countBytes(n, group[1:])
		total += below
		rounds = max(rounds, deeper+1)
	}
	return total + here, here, rounds
}
