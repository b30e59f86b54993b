// Command bluebellsaild is one process of a bluebellsail fleet.
package main

import (
	"os"

	"github.com/bluebellsail/bluebellsail/internal/daemon"
)

func main() { os.Exit(daemon.Main()) }
