package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/procconfig"
)

// Exit codes of bluebellsaild.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command line of bluebellsaild and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Command(ctx, os.Args, os.Stdout, os.Stderr)
}

// Command runs the command line with the given streams.
func Command(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	code := exitOK
	app := &cli.Command{
		Name:      "bluebellsaild",
		Usage:     "one process of a bluebellsail fleet",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "start the process that FILE describes", ArgsUsage: "FILE",
				Action: func(ctx context.Context, c *cli.Command) error { return withConfig(c, &code, Run, ctx) },
			},
			{
				Name: "check", Usage: "check FILE and list every fault in it", ArgsUsage: "FILE",
				Action: func(ctx context.Context, c *cli.Command) error {
					return withConfig(c, &code, func(context.Context, *procconfig.Config) error {
						_, err := fmt.Fprintln(stdout, "no faults found")
						return err
					}, ctx)
				},
			},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(stderr, "bluebellsaild:", err)
		if code == exitOK {
			code = exitUsage
		}
	}
	return code
}

// withConfig loads the settings file given on the command line and calls do with it.
func withConfig(c *cli.Command, code *int, do func(context.Context, *procconfig.Config) error, ctx context.Context) error {
	if c.Args().Len() != 1 {
		return fmt.Errorf("exactly one settings file is required")
	}
	cfg, err := procconfig.Load(c.Args().First())
	if err == nil {
		err = do(ctx, cfg)
	}
	if err != nil {
		*code = exitFailed
	}
	return err
}
