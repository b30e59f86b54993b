package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against sides of a partition that together cause more rejections than a server tolerates, and against
// a fleet in which nobody may cause one although most hosts reach each other.
func TestSidesOfAPartitionShareWhatTheServerTolerates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerated := rapid.IntRange(1, 50).Draw(t, "tolerated")
		sides := rapid.SliceOfN(rapid.IntRange(1, 60), 1, 5).Draw(t, "hosts of each side")
		down := rapid.IntRange(0, 20).Draw(t, "down")
		hosts := down
		for _, n := range sides {
			hosts += n
		}
		sum := 0
		for _, n := range sides {
			reach := float64(n) / float64(hosts)
			allowance := Allowance(tolerated, 0, reach)
			if 2*n > hosts && allowance < 1 {
				t.Errorf("%d of %d hosts may cause no rejection", n, hosts)
			}
			sum += allowance
		}
		if sum > tolerated {
			t.Errorf("sides of %v of %d hosts may cause %d rejections, %d are tolerated", sides, hosts, sum, tolerated)
		}
		if n := Allowance(tolerated, 0, 1); n != tolerated {
			t.Errorf("a whole fleet may cause %d of %d", n, tolerated)
		}
		if n := Allowance(tolerated, 1, 1); n != 0 {
			t.Errorf("the second in rank may cause %d", n)
		}
	})
}
