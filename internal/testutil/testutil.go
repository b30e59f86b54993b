// Package testutil contains helpers that the tests of several packages share. Only test files
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

// TB is the part of testing.TB that *rapid.T implements too.
type TB interface {
	Helper()
	Fatal(args ...any)
	Errorf(format string, args ...any)
}

// NoError fails the test immediately if err isn't nil.
func NoError(t TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Refused fails the test if err isn't a refusal of the given kind. what describes the operation.
func Refused(t TB, err error, kind errkind.Kind, what string) {
	t.Helper()
	if !errkind.Is(err, kind) {
		t.Errorf("%s: got %v, want a refusal of kind %s", what, err, kind)
	}
}

// Within returns a context that ends with the test, or after d if that is earlier.
func Within(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Listen opens a TCP listener on a free loopback port. The caller has to close it.
func Listen(t TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NoError(t, err)
	return l
}

// RunRapid is the body of a TestMain that sets other defaults for rapid's flags, such as the
// seed and the number of checks. Flags on the command line take precedence.
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

// LogBuffer is a buffer that records what is written to it, such as log lines. It is safe for
// concurrent use.
type LogBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *LogBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// String returns everything that was written.
func (l *LogBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
