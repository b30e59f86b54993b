package news

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// BenchmarkBytesPerUpdate counts the bytes that hosts send for an update about one leaving
// server, without gRPC's framing: the mean of all hosts, those of the broadcasting host, and the
// rounds until the last host is notified.
func BenchmarkBytesPerUpdate(b *testing.B) {
	for kind, update := range map[string]*pb.TellRequest{
		"server": {Servers: []*pb.ServerState{{
			Id: "i-803669ecf7", Address: "10.3.64.53:8643", Zone: "boa-vista", Version: "v1", Services: []string{"pool"},
			Slots: 64, Leaving: true, Seq: 41,
		}}},
		"evacuations": {Evacuations: &pb.Evacuations{Revision: 9_000, Zones: []*pb.Evacuation{
			{Zone: "boa-vista", SinceMs: 1_796_293_518_620, Actor: "frontend-boa-vista-12"},
		}}},
	} {
		for _, n := range []int{8, 75, 300, 1400} {
			b.Run(fmt.Sprint(kind, "/", n), func(b *testing.B) { benchmarkUpdate(b, update, n) })
		}
	}
}

func benchmarkUpdate(b *testing.B, update *pb.TellRequest, hosts int) {
	var all []string
	for i := range hosts - 1 {
		all = append(all, fmt.Sprintf("10.%d.%d.%d:7200", i%6, i/250, i%250))
	}
	var total, first, rounds int
	for b.Loop() {
		total, first, rounds = countBytes(update, all)
	}
	b.ReportMetric(float64(total)/float64(len(all)+1), "B/host")
	b.ReportMetric(float64(first), "B/first")
	b.ReportMetric(float64(rounds), "rounds")
	b.ReportMetric(float64(proto.Size(update)), "B/update")
}

// countBytes returns the bytes that the hosts at these addresses and the one that notifies them
// send in total, the bytes that the latter sends, and the number of rounds.
func countBytes(n *pb.TellRequest, addresses []string) (total, here, rounds int) {
	for _, group := range splitForUpdate(addresses) {
		m := &pb.TellRequest{Servers: n.GetServers(), Evacuations: n.GetEvacuations(), FromAddress: group[0], Onward: group[1:]}
		here += proto.Size(m)
		below, _, deeper := countBytes(n, group[1:])
		total += below
		rounds = max(rounds, deeper+1)
	}
	return total + here, here, rounds
}

// BenchmarkConfirmation counts the messages and bytes for the confirmation that one server leaves, without gRPC's framing,
// and measures the processor time of the choice of hosts.
func BenchmarkConfirmation(b *testing.B) {
	for _, n := range []int{8, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := (&fleet{hosts: make(map[string]*host)}).withHosts(n)
			holders := f.holders(address(n - 1))
			process := New(Config{Self: address(n - 1)}).process
			hold := &pb.TellRequest{
				Servers: []*pb.ServerState{{
					Id: "i-803669ecf7", Address: "10.3.64.53:8643", Zone: "boa-vista", Version: "v1", Services: []string{"pool"},
					Slots: 64, Leaving: true, Seq: 41,
				}},
				FromAddress: address(n - 1), Hold: process + "/1",
			}
			release := &pb.TellRequest{Released: []string{hold.Hold}}
			var asked int
			b.ReportAllocs()
			for b.Loop() {
				asked = min(Copies, len(holders.candidates()))
			}
			b.ReportMetric(float64(2*asked), "messages")
			b.ReportMetric(float64(asked*(proto.Size(hold)+proto.Size(release))), "B")
		})
	}
}
