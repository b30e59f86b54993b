package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// The exit statuses.
const (
	exitError       = 1 // usage error, or no host could be reached
	exitWrongOrLost = 2 // an answer was wrong or lost
	exitRefused     = 3 // the request of `once` was rejected
)

// Main runs the load tool's command line and returns the exit status.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err := command(os.Stdout).Run(ctx, os.Args)
	var status exitStatus
	if errors.As(err, &status) {
		return int(status)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		return exitError
	}
	return 0
}

// exitStatus is an exit status whose reason was printed already.
type exitStatus int

// Error implements error.
func (e exitStatus) Error() string { return "exit status " + strconv.Itoa(int(e)) }

func command(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests to a fleet and check the answers",
		Commands: []*cli.Command{
			{
				Name:   "run",
				Usage:  "send many requests and report the outcomes",
				Flags:  append(commonFlags(), runFlags()...),
				Action: func(ctx context.Context, c *cli.Command) error { return runCommand(ctx, c, out) },
			},
			{
				Name:   "once",
				Usage:  "send one chat and print its answer",
				Flags:  append(commonFlags(), onceFlags()...),
				Action: func(ctx context.Context, c *cli.Command) error { return onceCommand(ctx, c, out) },
			},
		},
		// Main returns the exit status, so the library must not exit.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "host", Usage: "entry hosts to fetch addresses from"},
		&cli.StringFlag{Name: "direct", Usage: "backend server to send requests to directly, without any host"},
		&cli.StringFlag{Name: "zone", Usage: "availability zone of the caller"},
		&cli.StringSliceFlag{Name: "account", Usage: "client accounts as name=key"},
		&cli.StringFlag{Name: "model", Usage: "model to use"},
		&cli.IntFlag{Name: "max-tokens", Value: 32, Usage: "maximum output tokens of each answer"},
		&cli.BoolFlag{Name: "exact", Usage: "make each answer use all of --max-tokens"},
		&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "deadline of each request"},
		&cli.IntFlag{Name: "attempts", Value: 5, Usage: "maximum attempts of each request"},
		&cli.DurationFlag{Name: "patience", Usage: "try another address after this time without a byte; 0: never"},
	}
}

func runFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "work", Value: string(WorkChat), Usage: "chat, lookup or entry"},
		&cli.StringFlag{Name: "service", Usage: "plain service to call"},
		&cli.BoolFlag{Name: "whole", Usage: "request whole answers instead of streams"},
		&cli.IntFlag{Name: "prompt-bytes", Value: 256},
		&cli.IntFlag{Name: "shared-bytes", Usage: "bytes of the prompt that all requests of an account share"},
		&cli.StringFlag{Name: "seed", Usage: "seed that makes prompts and keys differ between runs; default: from the clock"},
		&cli.FloatFlag{Name: "rate", Usage: "requests per second; 0: as fast as --concurrency callers can"},
		&cli.IntFlag{Name: "concurrency", Value: 8},
		&cli.IntFlag{Name: "count", Usage: "number of requests to send"},
		&cli.DurationFlag{Name: "duration", Usage: "time during which requests are started"},
		&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
	}
}

func onceFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "prompt", Value: "hello"},
		&cli.StringSliceFlag{Name: "earlier", Usage: "a message before the prompt; may be given more than once"},
		&cli.StringFlag{Name: "idempotency-key", Usage: "default: from the clock"},
	}
}

func optionsOf(c *cli.Command) (Options, error) {
	accounts, err := parseAccounts(c.StringSlice("account"))
	return Options{
		Hosts:     c.StringSlice("host"),
		Direct:    c.String("direct"),
		Zone:      c.String("zone"),
		Accounts:  accounts,
		Model:     c.String("model"),
		Stream:    true,
		MaxTokens: c.Int("max-tokens"),
		Exact:     c.Bool("exact"),
		Timeout:   c.Duration("timeout"),
		Attempts:  c.Int("attempts"),
		Patience:  c.Duration("patience"),
		Seed:      strconv.FormatInt(time.Now().UnixNano(), 36),
	}, err
}

func parseAccounts(list []string) ([]Account, error) {
	var accounts []Account
	for _, s := range list {
		name, key, ok := strings.Cut(s, "=")
		if !ok {
			return nil, errors.Errorf("account %q is not name=key", s)
		}
		accounts = append(accounts, Account{Name: name, Key: key})
	}
	return accounts, nil
}

func runCommand(ctx context.Context, c *cli.Command, out io.Writer) error {
	o, err := optionsOf(c)
	if err != nil {
		return err
	}
	o.Work = Work(c.String("work"))
	o.Service = c.String("service")
	o.Stream = !c.Bool("whole")
	o.PromptBytes = c.Int("prompt-bytes")
	o.SharedBytes = c.Int("shared-bytes")
	o.Rate = c.Float("rate")
	o.Concurrency = c.Int("concurrency")
	o.Count = c.Int("count")
	o.Duration = c.Duration("duration")
	if c.IsSet("seed") {
		o.Seed = c.String("seed")
	}
	report, err := Run(ctx, o)
	if err != nil {
		return err
	}
	if err := printReport(report, c.Bool("json"), out); err != nil {
		return err
	}
	if report.HasFailures() {
		return exitStatus(exitWrongOrLost)
	}
	return nil
}

func printReport(r *Report, asJSON bool, out io.Writer) error {
	if asJSON {
		return r.PrintJSON(out)
	}
	r.Print(out)
	return nil
}
