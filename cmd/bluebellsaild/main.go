// Command bluebellsaild runs one host of a bluebellsail fleet.
package main

import (
	"os"

	"github.com/bluebellsail/bluebellsail/internal/daemon"
)

func main() { os.Exit(daemon.Main()) }
