package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// BenchmarkChange measures the time of one change in a tree of 930 accounts at an
// entry host, and the size of the events that a replica and a relay send to a watcher.
func BenchmarkChange(b *testing.B) {
	v, change := settings.NewView(), team(1, "1s")
	apply := func(path, value string) {
		change = &pb.ConfigChange{Revision: v.Revision() + 1, Version: 1, Path: path, ValueJson: []byte(value)}
		next, err := v.Apply([]*pb.ConfigChange{change})
		if err != nil {
			b.Fatal(err)
		}
		v = next
	}
	apply("/teams/team-007", `{"priority":"urgent","retry":{"share":0.2},"grant":{"horizon":"5s"}}`)
	for i := range 930 {
		apply(fmt.Sprintf("/accounts/school-%03d", i), fmt.Sprintf(`{"team":"team-007","budget":"budget-%05d","key_hashes":["%064x"]}`, i, i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		apply("/teams/team-007/max_in_flight", fmt.Sprint(100+i%2))
	}
	c := New(nil, zerolog.Nop(), time.Now)
	c.view.Store(v)
	apply("/teams/team-007/max_in_flight", "102")
	if err := c.apply(&pb.WatchEvent{Revision: v.Revision(), Changes: []*pb.ConfigChange{change}, Confirmed: true}); err != nil {
		b.Fatal(err)
	}
	relayed, err := NewRelay(c).event(v.Revision() - 1)
	if err != nil || relayed.Revision != v.Revision() {
		b.Fatal(relayed, err)
	}
	b.ReportMetric(float64(proto.Size(relayed)), "relay-B/change")
	relayed.Changes, relayed.ConfirmedAgeMs = nil, 900
	b.ReportMetric(float64(proto.Size(relayed)), "B/contact")
	relayed.Changes = []*pb.ConfigChange{change}
	b.ReportMetric(float64(proto.Size(relayed)), "replica-B/change")
}
