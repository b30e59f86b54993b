// Command load is a load generator: it sends requests to a fleet and checks the answers.
package main

import (
	"os"

	"github.com/bluebellsail/bluebellsail/internal/load"
)

func main() { os.Exit(load.Main()) }
