package budgets

import (
	"reflect"
	"testing"
	"time"
)

// shortCut holds scenarios that take a few seconds of CPU time.
var shortCut = []scenario{
	{cut: 5 * time.Minute, spent: 0.30, seed: 1},
	{cut: 5 * time.Minute, spent: 0.90, skewed: true, seed: 2},
}

// TestGoals checks that no strategy overspends or violates a rule of the ledger, that the figures
// are reproducible, and that the product's defaults refuse less than 1% in a cut of 5 minutes.
func TestGoals(t *testing.T) {
	first := runAll(shortCut, comparedStrategies())
	if again := runAll(shortCut, comparedStrategies()); !reflect.DeepEqual(first, again) {
		t.Errorf("figures differ between runs:\n%+v\n%+v", first, again)
	}
	for i, rows := range first {
		for _, r := range rows {
			if r.Overspend != 0 || r.Faults != 0 || r.Requests == 0 {
				t.Errorf("%+v: overspend, violated rules or no requests", r)
			}
			inCut := shortCut[i].cut.Seconds() * totalRate
			if r.Strategy == "grants+transfers" && (float64(r.RefusedInCut) > inCut/100 || r.FalseByPolicy > 0) {
				t.Errorf("%+v: more than 1%% refused, or refused although enough tokens were reachable", r)
			}
		}
	}
}

// reckless is a strategy that lets every host spend all that is left of a budget.
func reckless(s *sim) strategy {
	w := newStaticStrategy(s).(*staticStrategy)
	for host := range hostCount {
		for account := range accountShare {
			w.left[host][account] = funded(account) - s.scenario.billedBefore(account)
		}
	}
	return w
}

// TestOverspendIsDetected checks that the measurement detects the overspend of a strategy that
// overspends, and the false refusals of one that can't serve during the cut.
func TestOverspendIsDetected(t *testing.T) {
	long := []scenario{{cut: time.Hour, spent: 0.90, seed: 1}}
	rows := runAll(long, []namedStrategy{{"reckless", reckless}, {"quorum write", newQuorumStrategy}})[0]
	if rows[0].Overspend == 0 {
		t.Error("no overspend detected of a strategy that spends each budget at each host")
	}
	if rows[1].FalseByCut == 0 {
		t.Error("no false refusal detected of a strategy that needs the quorum")
	}
}
