// Command standin runs a stand-in backend server.
package main

import (
	"os"

	"github.com/bluebellsail/bluebellsail/internal/standin"
)

func main() { os.Exit(standin.Main()) }
