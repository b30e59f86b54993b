package standin

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

// diedStatus is the exit status if the process dies because of an injected fault.
const diedStatus = 3

// Main runs the command line of standin and returns the exit status.
func Main() int {
	cmd := &cli.Command{
		Name:   "standin",
		Usage:  "a fake backend server for tests and the demo",
		Flags:  flags(),
		Action: serve,
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: defaultListen, Usage: "address to listen on"},
		&cli.StringFlag{Name: "address-file", Usage: "file to write the address to once listening"},
		&cli.StringSliceFlag{Name: "announce", Usage: "addresses of the entry hosts to announce to"},
		&cli.StringFlag{Name: "announce-key", Usage: "key that the hosts require of backend servers", Sources: cli.EnvVars("STANDIN_ANNOUNCE_KEY")},
		&cli.DurationFlag{Name: "announce-every", Value: defaultAnnounceEvery},
		&cli.StringFlag{Name: "zone", Value: "a", Usage: "availability zone"},
		&cli.StringFlag{Name: "pool", Value: "main"},
		&cli.StringFlag{Name: "role", Usage: "role in its pool"},
		&cli.StringSliceFlag{Name: "models", Usage: "models served"},
		&cli.StringSliceFlag{Name: "services", Usage: "plain services served"},
		&cli.StringSliceFlag{Name: "adapters", Usage: "adapters loaded"},
		&cli.IntFlag{Name: "slots", Value: defaultSlots, Usage: "sequences that decode at the same time"},
		&cli.FloatFlag{Name: "decode", Value: 100, Usage: "output tokens per second of one sequence; 0: no limit"},
		&cli.FloatFlag{Name: "prefill", Value: 10000, Usage: "prompt tokens per second; 0: no limit"},
		&cli.FloatFlag{Name: "slowdown", Value: 0.02, Usage: "share by which each further sequence lengthens a step"},
		&cli.DurationFlag{Name: "service-time", Usage: "duration of a call of a plain service"},
		&cli.DurationFlag{Name: "load-time", Usage: "time to load a model or an adapter"},
		&cli.BoolFlag{Name: "checks-fence", Usage: "reject orders with a stale fencing number"},
		&cli.BoolFlag{Name: "no-resume", Usage: "do not resume streams"},
		&cli.BoolFlag{Name: "no-kv", Usage: "do not announce support for exporting and importing KV caches"},
		&cli.DurationFlag{Name: "keep", Value: defaultKeep, Usage: "how long finished streams can still be read"},
		&cli.DurationFlag{Name: "leave-grace", Value: defaultLeaveGrace, Usage: "how long work is still accepted after leaving was announced"},
		&cli.DurationFlag{Name: "leave-limit", Value: time.Minute, Usage: "how long streams may take to finish after --leave-grace"},
		&cli.IntFlag{Name: "cache-blocks", Value: defaultCacheBlocks, Usage: "capacity of the prefix cache in blocks"},
		&cli.DurationFlag{Name: "cache-delay", Usage: "delay of cache events"},
	}
}

func optionsOf(c *cli.Command) Options {
	return Options{
		Listen:          c.String("listen"),
		Announce:        c.StringSlice("announce"),
		AnnounceKey:     c.String("announce-key"),
		AnnounceEvery:   c.Duration("announce-every"),
		Zone:            c.String("zone"),
		Pool:            c.String("pool"),
		Role:            c.String("role"),
		Models:          c.StringSlice("models"),
		Services:        c.StringSlice("services"),
		Adapters:        c.StringSlice("adapters"),
		Slots:           c.Int("slots"),
		DecodeSpeed:     c.Float("decode"),
		PrefillSpeed:    c.Float("prefill"),
		BatchSlowdown:   c.Float("slowdown"),
		ServiceTime:     c.Duration("service-time"),
		LoadTime:        c.Duration("load-time"),
		ChecksFence:     c.Bool("checks-fence"),
		NoResume:        c.Bool("no-resume"),
		NoMoveKV:        c.Bool("no-kv"),
		Keep:            c.Duration("keep"),
		LeaveGrace:      c.Duration("leave-grace"),
		CacheBlocks:     c.Int("cache-blocks"),
		CacheEventDelay: c.Duration("cache-delay"),
		Log:             zerolog.New(os.Stderr).With().Timestamp().Logger(),
		OnDie:           func() { os.Exit(diedStatus) },
	}
}

// serve runs the server until a signal, then drains it.
func serve(ctx context.Context, c *cli.Command) error {
	s := New(optionsOf(c))
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Println("listening", s.Address())
	if file := c.String("address-file"); file != "" {
		if err := writeAddress(file, s.Address()); err != nil {
			return err
		}
	}
	<-ctx.Done()
	limit, cancel := context.WithTimeout(context.Background(), c.Duration("leave-grace")+c.Duration("leave-limit"))
	defer cancel()
	return s.Leave(limit)
}

// writeAddress writes the file atomically, since a reader that polls for it must never see a
// part of the address.
func writeAddress(file, address string) error {
	part := file + ".part"
	if err := os.WriteFile(part, []byte(address+"\n"), 0o644); err != nil {
		return errors.Wrap(err, "address file")
	}
	return errors.Wrap(os.Rename(part, file), "address file")
}
