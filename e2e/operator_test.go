package e2e

import (
	"encoding/json"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// accountCommand implements "account NAME TEAM BUDGET VAR". It creates a client account and sets VAR to
// NAME=KEY.
func accountCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: account NAME TEAM BUDGET VAR")
	}
	ts.Check(ts.Exec("bluebellsail", "--json", "account", "create", args[0], "--team", args[1], "--budget", args[2]))
	var answer struct {
		Key string `json:"key"`
	}
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &answer))
	if answer.Key == "" {
		ts.Fatalf("no key: %s", ts.ReadFile("stdout"))
	}
	ts.Setenv(args[3], args[0]+"="+answer.Key)
}

var inForcePattern = regexp.MustCompile(`(?m) true +yes$`)

// inforceCommand implements "inforce N". It waits until the newest settings are in force at N hosts.
func inforceCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: inforce N")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	poll(ts, "settings are in force", func() bool {
		if ts.Exec("bluebellsail", "--timeout", "2s", "config", "status") != nil {
			return false
		}
		return len(inForcePattern.FindAllString(ts.ReadFile("stdout"), -1)) == want
	})
}

// onceCommand implements "once MIN MAX NAME...". It checks that the fake backend servers have
// executed MIN to MAX ledger entries, and none of them twice, be it at one server or at two.
func onceCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: once MIN MAX NAME...")
	}
	least, err := strconv.Atoi(args[0])
	ts.Check(err)
	most, err := strconv.Atoi(args[1])
	ts.Check(err)
	total := map[string]int{}
	for _, name := range args[2:] {
		for id, runs := range standinRuns(ts, name).Entries {
			total[id] += runs
		}
	}
	for id, runs := range total {
		if runs != 1 {
			ts.Fatalf("entry %s ran %d times", id, runs)
		}
	}
	if len(total) < least || len(total) > most {
		ts.Fatalf("%d entries ran, want %d to %d", len(total), least, most)
	}
}

// truthfulCommand implements "truthful REPORT NAME...". It checks that the fake backend servers executed no
// ledger entry for which the caller got a refusal that promises that the entry did not run.
func truthfulCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: truthful REPORT NAME...")
	}
	for _, name := range args[1:] {
		entries := standinRuns(ts, name).Entries
		for _, id := range readReport(ts, args[0]).NotRun {
			if entries[id] > 0 {
				ts.Fatalf("entry %s ran at %s, although the refusal promised that it did not", id, name)
			}
		}
	}
}

// grabCommand implements "grab VAR PATTERN". It sets VAR to the first group of PATTERN in the standard
// output of the last command.
func grabCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: grab VAR PATTERN")
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	ts.Check(err)
	m := pattern.FindStringSubmatch(ts.ReadFile("stdout"))
	if len(m) < 2 {
		ts.Fatalf("no match of %q", args[1])
	}
	ts.Setenv(args[0], strings.TrimSpace(m[1]))
}

// equalCommand implements "[!] equal A B". It checks that A and B are equal, or not equal with "!".
func equalCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: equal A B")
	}
	if (args[0] == args[1]) == neg {
		ts.Fatalf("%q and %q", args[0], args[1])
	}
}

// pauseCommand implements "pause DURATION". It waits, for example to check that something does not
// happen.
func pauseCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: pause DURATION")
	}
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
