// Command standin runs a fake backend server for tests and demos.
package main

import (
	"os"

	"github.com/bluebellsail/bluebellsail/internal/standin"
)

func main() { os.Exit(standin.Main()) }
