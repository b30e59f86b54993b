package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellsail/bluebellsail/internal/standin"
)

// client calls the debug interface of fake backend servers.
var client = &http.Client{Timeout: 5 * time.Second}

// fleetLayout is the output of "bluebellsail --json dev init".
type fleetLayout struct {
	KeyFile string `json:"key_file"`
	Hosts   []struct {
		Host      string `json:"host"`
		Settings  string `json:"settings"`
		Callers   string `json:"callers"`
		Operators string `json:"operators"`
		Peers     string `json:"peers"`
	} `json:"hosts"`
}

// fleetCommand implements "fleet HOSTS CONTROLS". It starts a fleet and waits until it is up. It sets
// CALLERS to the addresses of all hosts for callers, CALLERS1, OPERATORS1 and SETTINGS1 and so on to
// the address for callers, the address for operators and the settings file of each host, and the
// variables that bluebellsail needs.
func fleetCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fleet HOSTS CONTROLS")
	}
	ts.Check(ts.Exec("bluebellsail", "--json", "dev", "init", "--dir", "fleet",
		"--hosts", args[0], "--controls", args[1], "--zones", "a,b,c"))
	var layout fleetLayout
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &layout))
	var callers, operators []string
	for i, h := range layout.Hosts {
		callers = append(callers, h.Callers)
		operators = append(operators, h.Operators)
		ts.Setenv(fmt.Sprint("CALLERS", i+1), h.Callers)
		ts.Setenv(fmt.Sprint("OPERATORS", i+1), h.Operators)
		ts.Setenv(fmt.Sprint("SETTINGS", i+1), h.Settings)
		ts.Check(processesOf(ts).start(h.Host, []string{"bluebellsaild", "run", h.Settings}))
	}
	ts.Setenv("CALLERS", strings.Join(callers, ","))
	ts.Setenv("BLUEBELLSAIL_ADDRESS", strings.Join(operators, ","))
	ts.Setenv("BLUEBELLSAIL_KEY_FILE", layout.KeyFile)
	awaitCommand(ts, false, []string{
		fmt.Sprintf(`hosts: %d alive, 0 out`, len(layout.Hosts)), "bluebellsail", "--timeout", "2s", "status",
	})
	awaitCommand(ts, false, []string{`leader [1-9]`, "bluebellsail", "--timeout", "2s", "status"})
	for _, address := range operators {
		awaitCommand(ts, false, []string{`ready true`, "bluebellsail", "--timeout", "2s", "-a", address, "status"})
	}
}

// backendCommand implements "backend NAME ARG...". It starts a fake backend server (command
// standin) that announces itself to all hosts, and sets NAME to its address.
func backendCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 1 {
		ts.Fatalf("usage: backend NAME ARG...")
	}
	name, file := args[0], ts.MkAbs(args[0]+".address")
	command := []string{"standin", "--address-file", file}
	if hosts := ts.Getenv("CALLERS"); hosts != "" {
		command = append(command, "--announce", hosts)
	}
	ts.Check(processesOf(ts).start(name, append(command, args[1:]...)))
	poll(ts, name+" listens", func() bool {
		_, err := os.Stat(file)
		return err == nil
	})
	ts.Setenv(name, strings.TrimSpace(ts.ReadFile(file)))
}

// runsCommand implements "runs NAME VAR". It sets VAR to the number of completions that the fake
// backend server has started.
func runsCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: runs NAME VAR")
	}
	ts.Setenv(args[1], fmt.Sprint(standinRuns(ts, args[0]).Streams))
}

// runningCommand implements "running NAME N". It waits until at least N streams run or wait at the
// fake backend server.
func runningCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: running NAME N")
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	poll(ts, "streams run", func() bool {
		r := standinRuns(ts, args[0])
		return r.Running+r.Waiting >= want
	})
}

func standinRuns(ts *testscript.TestScript, name string) standin.Runs {
	var r standin.Runs
	resp, err := client.Get("http://" + ts.Getenv(name) + "/debug/runs")
	ts.Check(err)
	defer resp.Body.Close()
	ts.Check(json.NewDecoder(resp.Body).Decode(&r))
	return r
}

// faultCommand implements "fault NAME JSON". It sets the faults that a fake backend server injects.
func faultCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fault NAME JSON")
	}
	url := "http://" + ts.Getenv(args[0]) + "/debug/faults"
	resp, err := client.Post(url, "application/json", bytes.NewReader([]byte(args[1])))
	ts.Check(err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("the fake backend server answered with status %d", resp.StatusCode)
	}
}
