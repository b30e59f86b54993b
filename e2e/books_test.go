package e2e

import (
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellsail/bluebellsail/internal/load"
)

func readReport(ts *testscript.TestScript, file string) load.Report {
	var r load.Report
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(file)), &r))
	return r
}

var conditionPattern = regexp.MustCompile(`^([a-z_]+)(=|>|<)(\d+)$`)

// reportCommand implements "report FILE FIELD=N FIELD>N FIELD<N...". It checks the numbers in a report
// of the load tool.
func reportCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: report FILE CONDITION...")
	}
	var fields map[string]any
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &fields))
	for _, condition := range args[1:] {
		m := conditionPattern.FindStringSubmatch(condition)
		if m == nil {
			ts.Fatalf("malformed condition %q", condition)
		}
		got, ok := fields[m[1]].(float64)
		want, err := strconv.ParseFloat(m[3], 64)
		ts.Check(err)
		holds := map[string]bool{"=": got == want, ">": got > want, "<": got < want}
		if !ok || !holds[m[2]] {
			ts.Fatalf("%s: want %s, got %v\n%s", args[0], condition, fields[m[1]], ts.ReadFile(args[0]))
		}
	}
}

// budget is the output of "bluebellsail --json budget show".
type budget struct {
	Funded  uint64 `json:"funded"`
	Billed  uint64 `json:"billed"`
	Granted uint64 `json:"granted"`
	Bills   uint64 `json:"bills"`
}

func showBudget(ts *testscript.TestScript, name string) (b budget, ok bool) {
	if ts.Exec("bluebellsail", "--timeout", "5s", "--json", "budget", "show", name) != nil {
		return b, false
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &b))
	return b, true
}

// booksCommand implements "books BUDGET REPORT...". It waits until the ledger has billed as many tokens
// and answers as the load reports contain, and checks that it billed no more. The reports must not
// contain uncertain requests: one whose outcome the caller does not know may or may not be billed.
func booksCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: books BUDGET REPORT...")
	}
	var tokens, bills uint64
	for _, file := range args[1:] {
		r := readReport(ts, file)
		if r.Uncertain > 0 {
			ts.Fatalf("%s: %d requests are uncertain\n%s", file, r.Uncertain, ts.ReadFile(file))
		}
		tokens += r.BilledTotal
		bills += uint64(r.Answered + r.Late)
	}
	var last budget
	poll(ts, "the ledger has all bills", func() bool {
		b, ok := showBudget(ts, args[0])
		if !ok {
			return false
		}
		last = b
		return b.Billed >= tokens && b.Bills >= bills
	})
	if last.Billed != tokens || last.Bills != bills {
		ts.Fatalf("the ledger billed %d tokens in %d bills, callers got %d tokens in %d answers", last.Billed, last.Bills, tokens, bills)
	}
	if last.Billed+last.Granted > last.Funded {
		ts.Fatalf("the budget is overspent: %+v", last)
	}
}
