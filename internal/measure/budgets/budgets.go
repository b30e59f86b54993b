// Package budgets compares strategies for spending prepaid budgets on many hosts. Each strategy
// gets the same demand and the same cuts, generated from fixed seeds, in virtual time. A cut is
// a network partition that separates one availability zone from the others. The strategies with
// grants run the state machine of package grant against a small in-memory ledger.
package budgets

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/grant"
)

// Row holds the measurements of one run.
type Row struct {
	Strategy string
	Requests int
	// Refused counts all refusals, RefusedInCut those during the cut. A refusal is false if
	// enough tokens were left. It is FalseByPolicy if they were reachable, else FalseByCut.
	Refused, RefusedInCut, FalseByCut, FalseByPolicy int
	// Overspend is the number of overspent tokens. OnHosts is the number of unused tokens on
	// hosts and in transit at the end of the cut.
	Overspend, OnHosts uint64
	Messages, Bytes    int
	// Faults counts violations of the ledger's rules.
	Faults int
}

// namedStrategy is a strategy with its name in the table.
type namedStrategy struct {
	name string
	make func(*sim) strategy
}

// DefaultGrants returns the product's default settings.
func DefaultGrants() Grants {
	return Grants{Policy: grant.PolicyFrom(nil)}
}

func withGrants(name string, set Grants) namedStrategy {
	return namedStrategy{name, func(s *sim) strategy { return newGrantStrategy(s, set) }}
}

func withoutTransfers(g Grants) Grants {
	g.Policy.Transfers = false
	return g
}

// comparedStrategies returns the strategies that the table compares.
func comparedStrategies() []namedStrategy {
	return []namedStrategy{
		{"equal shares", newStaticStrategy},
		withGrants("grants", withoutTransfers(DefaultGrants())),
		withGrants("grants+transfers", DefaultGrants()),
		{"quorum write", newQuorumStrategy},
	}
}

// scenarios returns all combinations of even and skewed demand, the duration of the cut, and the
// part of the budgets that is spent.
func scenarios(seed int64) []scenario {
	var all []scenario
	for _, skewed := range []bool{false, true} {
		for _, cut := range []time.Duration{10 * time.Second, 5 * time.Minute, 2 * time.Hour} {
			for _, spent := range []float64{0.05, 0.30, 0.90} {
				all = append(all, scenario{cut: cut, spent: spent, skewed: skewed, seed: seed})
			}
		}
	}
	return all
}

// maxParallel bounds the number of concurrent runs.
const maxParallel = 4

// Run writes the table of the four strategies.
func Run(w io.Writer, seed int64) error {
	return writeTable(w, scenarios(seed), comparedStrategies())
}

func writeTable(w io.Writer, rows []scenario, strategies []namedStrategy) error {
	results := runAll(rows, strategies)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "demand\tcut\tspent\tway\trequests\toverspend\tfalse by cut\tfalse by policy\trefused\trefused in cut %\tmessages/req\tbytes/req\ton hosts\t")
	for i, sc := range rows {
		for _, r := range results[i] {
			writeRow(t, sc, r)
		}
	}
	return t.Flush()
}

func writeRow(w io.Writer, sc scenario, r Row) {
	kind := "even"
	if sc.skewed {
		kind = "skewed"
	}
	inCut := sc.cut.Seconds() * totalRate
	n := float64(max(r.Requests, 1))
	fmt.Fprintf(w, "%s\t%v\t%.0f%%\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.0f\t%d\t\n",
		kind, sc.cut, sc.spent*100, r.Strategy, r.Requests, r.Overspend, r.FalseByCut, r.FalseByPolicy, r.Refused,
		100*float64(r.RefusedInCut)/inCut, float64(r.Messages)/n, float64(r.Bytes)/n, r.OnHosts)
	if r.Faults > 0 {
		fmt.Fprintf(w, "\t\t\t%s: %d broken rules of the ledger\t\n", r.Strategy, r.Faults)
	}
}

// runAll runs every scenario with every strategy. The result is indexed by scenario, then by
// strategy.
func runAll(rows []scenario, strategies []namedStrategy) [][]Row {
	results := make([][]Row, len(rows))
	limit := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, sc := range rows {
		results[i] = make([]Row, len(strategies))
		for j, named := range strategies {
			wg.Go(func() {
				limit <- struct{}{}
				defer func() { <-limit }()
				s := newSim(sc)
				s.strategy = named.make(s)
				s.result.Strategy = named.name
				results[i][j] = s.run()
			})
		}
	}
	wg.Wait()
	return results
}
