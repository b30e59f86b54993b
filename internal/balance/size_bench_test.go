package balance

import (
	"fmt"
	"testing"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

// BenchmarkChoose prints, for docs/CAPACITY.md, what the choice of a server costs its host and the owner of
// the shard by the number of servers. It asserts nothing.
func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{20, 200, 2000, 10_000, 20_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			w := newFixture("z")
			for i := range servers {
				w.announce(instance.Announcement{
					ID: fmt.Sprintf("e%05d", i), Service: pool, Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Zone: "z", Slots: 64,
				})
			}
			n := uint64(0)
			for b.Loop() {
				n++
				work := prompt(n%1000, 1_000_000+n, 3000, 1000)
				work.Shard = w.core.ShardOf(work)
				c, err := w.core.Choose(w.now, work)
				if err != nil {
					b.Fatal(err)
				}
				w.core.FirstPart(w.now, c.Ticket)
				w.core.Done(w.now, c.Ticket, Served)
			}
		})
	}
}
