// Package testutil holds what the tests of several packages share. Only test files
// import it.
package testutil

import (
	"context"
	"flag"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// TB is the part of testing.TB that *rapid.T has too.
type TB interface {
	Helper()
	Fatal(args ...any)
	Errorf(format string, args ...any)
}

// NoError ends the test if err isn't nil.
func NoError(t TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Refused fails the test if err isn't a refusal of the kind. what names the operation.
func Refused(t TB, err error, kind errkind.Kind, what string) {
	t.Helper()
	if !errkind.Is(err, kind) {
		t.Errorf("%s: got %v, want a refusal of kind %s", what, err, kind)
	}
}

// Within returns a context that ends with the test, or after d.
func Within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
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

// Lines keeps what is written to it, such as log lines. It is safe for concurrent use.
type Lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *Lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String is all that was written.
func (l *Lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
