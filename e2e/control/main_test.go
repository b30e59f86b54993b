// Package control proves on real processes what the control group promises: a lost
// disk, a frozen leader, a restart of everything, operators who race, a lost quorum
// and certificates. Each test starts a fleet of its own on loopback.
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

// TestMain puts the programs into PATH; each is this test binary under another name.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bluebellsaild": func() { os.Exit(daemon.Main()) },
		"bluebellsail": func() {
			os.Exit(admincli.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
		},
		"standin": func() { os.Exit(standin.Main()) },
	})
}
