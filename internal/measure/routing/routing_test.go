package routing

import (
	"strings"
	"testing"
)

func rowOf(t *testing.T, rows []row, policy string) row {
	t.Helper()
	for _, r := range rows {
		if r.policy == policy {
			return r
		}
	}
	t.Fatalf("no row for policy %q", policy)
	return row{}
}

// Guards against changes of the policy that make admitted requests late or cause unnecessary
// refusals, at twice the capacity with and without a lost server. Time is virtual, so the figures
// are exact.
func TestPolicyUnderLoad(t *testing.T) {
	for _, f := range []fault{faults[0], faults[1]} {
		rows := measure(sites[:1], []float64{2.0}, []fault{f}, policies, 1)
		ours, oracle := rowOf(t, rows, "+prefix cache = ours"), rowOf(t, rows, oracleName)
		if ours.late != 0 || ours.urgentRefused != 0 {
			t.Errorf("%s: %d late and %d urgent refused, want none", f.name, ours.late, ours.urgentRefused)
		}
		if ours.work < 0.95*oracle.work {
			t.Errorf("%s: %.1f%% of the oracle's tokens in time, want 95%%", f.name, 100*ours.work/oracle.work)
		}
		for _, baseline := range []string{"round robin", "least reported"} {
			if b := rowOf(t, rows, baseline); ours.inTime < b.inTime {
				t.Errorf("%s: %d in time, %s %d", f.name, ours.inTime, baseline, b.inTime)
			}
		}
	}
}

func TestSameSeedSameTable(t *testing.T) {
	table := func() string {
		var b strings.Builder
		rows := measure(sites[1:], []float64{1.3}, faults[4:], policies, 7)
		if err := printRows(&b, rows); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	if first := table(); first != table() || !strings.Contains(first, oracleName) {
		t.Error("two runs with the same seed differ")
	}
}

func TestMaxMinAndJain(t *testing.T) {
	fair := maxMinShares([]float64{10, 100, 100}, 90)
	if fair[0] != 10 || fair[1] != 40 || fair[2] != 40 {
		t.Errorf("shares %v, want 10 40 40", fair)
	}
	if j := jain([]float64{10, 40, 40}, []float64{10, 100, 100}); j < 0.999 {
		t.Errorf("index %v for a fair allocation, want 1", j)
	}
	if j := jain([]float64{10, 80, 0}, []float64{10, 100, 100}); j > 0.7 {
		t.Errorf("index %v for an unfair allocation, want at most 0.7", j)
	}
}
