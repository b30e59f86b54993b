// Package testutil holds what the tests of several packages share. Only test files
// import it.
package testutil

import (
	"flag"
	"net"
	"os"
	"testing"
)

// TB is the part of testing.TB that *rapid.T has too.
type TB interface {
	Helper()
	Fatal(args ...any)
}

// NoError ends the test if err isn't nil.
func NoError(t TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Listen opens a TCP listener at a free loopback port; whoever serves on it closes it.
func Listen(t TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NoError(t, err)
	return l
}

// RunRapid is the body of a TestMain that gives rapid's flags, such as the seed and
// the number of checks, other defaults. A flag on the command line goes first.
func RunRapid(m *testing.M, defaults map[string]string) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range defaults {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
