// Command measure prints the tables of docs/design: budgets during network partitions and routing
// under load, simulated in virtual time from a fixed seed.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/measure/budgets"
	"github.com/bluebellsail/bluebellsail/internal/measure/routing"
)

// defaultSeed is the seed of the tables in docs/design.
const defaultSeed = 1

// table is one table and the function that measures and prints it.
type table struct {
	name  string
	title string
	run   func(w io.Writer, seed int64) error
}

var tables = []table{
	{"budgets", "Budgets during partitions (docs/design/budgets.md)", budgets.Run},
	{"routing", "Routing under load (docs/design/routing.md)", routing.Run},
}

func main() {
	app := &cli.Command{
		Name:  "measure",
		Usage: "print the named tables of docs/design, or all of them if no name is given",
		Flags: []cli.Flag{&cli.Int64Flag{Name: "seed", Value: defaultSeed}},
		Action: func(_ context.Context, c *cli.Command) error {
			return measure(os.Stdout, c.Int64("seed"), c.Args().Slice())
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// measure prints the named tables, or all of them if names is empty.
func measure(w io.Writer, seed int64, names []string) error {
	for _, name := range names {
		if !known(name) {
			return fmt.Errorf("unknown table %q; the tables are budgets and routing", name)
		}
	}
	for _, t := range tables {
		if len(names) > 0 && !slices.Contains(names, t.name) {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s, seed %d\n\n", t.title, seed); err != nil {
			return err
		}
		if err := t.run(w, seed); err != nil {
			return err
		}
	}
	return nil
}

func known(name string) bool {
	return slices.ContainsFunc(tables, func(t table) bool { return t.name == name })
}
