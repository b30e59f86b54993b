// Package control tests the guarantees of the control group with real processes: a lost disk, a
// frozen leader, a restart of all hosts, concurrent changes by operators, a lost quorum, and TLS
// certificates. Each test starts its own fleet on the loopback interface.
package control

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bluebellsail/bluebellsail/internal/admincli"
	"github.com/bluebellsail/bluebellsail/internal/daemon"
	"github.com/bluebellsail/bluebellsail/internal/standin"
)

// TestMain adds the programs to PATH; each is this test binary under another name.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bluebellsaild": func() { os.Exit(daemon.Main()) },
		"bluebellsail": func() {
			os.Exit(admincli.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
		},
		"standin": func() { os.Exit(standin.Main()) },
	})
}
