// Command bluebellsail is the command-line tool for operators of a bluebellsail fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bluebellsail/bluebellsail/internal/admincli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := admincli.Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
