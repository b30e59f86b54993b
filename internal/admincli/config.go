package admincli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
)

const (
	flagVersion = "version"
	flagAny     = "any-version"
	// anyVersion is the header If-Match of a change that expects no particular version.
	anyVersion = "*"
)

func (a *app) configCommand() *cli.Command {
	versions := []cli.Flag{
		&cli.Uint64Flag{Name: flagVersion, Usage: "`VERSION` of the subtree that the change expects; 0 if nothing is set yet"},
		&cli.BoolFlag{Name: flagAny, Usage: "change the subtree regardless of its version"},
	}
	return &cli.Command{Name: "config", Usage: "the settings tree, by path", Commands: []*cli.Command{
		{Name: "get", Usage: "show the settings at a path", ArgsUsage: "PATH", Action: a.configGet},
		{Name: "set", Usage: "change the settings at a path", ArgsUsage: "PATH VALUE", Action: a.configSet, Flags: versions,
			Description: "VALUE is JSON, @FILE, or - for standard input."},
		{Name: "apply", Usage: "set the teams, accounts and fleet in a file that differ from the settings tree", ArgsUsage: "FILE", Action: a.configApply,
			Description: "FILE is JSON such as examples/recife/tree.json. What it omits stays unchanged, including accounts' keys."},
		{Name: "delete", Usage: "delete the settings at a path", ArgsUsage: "PATH", Action: a.configDelete, Flags: versions},
		{Name: "history", Usage: "list the changes at and below a path", ArgsUsage: "PATH", Action: a.configHistory, Flags: []cli.Flag{
			&cli.UintFlag{Name: flagLimit, Value: 50, Usage: "`NUMBER` of latest changes to list"}}},
		{Name: "status", Usage: "show which revision is in force on each host, and which hosts are out of contact", Action: a.configStatus},
	}}
}

// configPath returns the API's path for a path in the settings tree.
func configPath(treePath string) string { return apiPath("/v1/config/", treePath) }

func apiPath(prefix, treePath string) string {
	parts := strings.Split(strings.Trim(treePath, "/"), "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return prefix + strings.Join(parts, "/")
}

func (a *app) configGet(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "PATH")
	if err != nil {
		return err
	}
	var out adminapi.ConfigAnswer
	return a.read(ctx, cmd, configPath(args[0]), &out, func(w io.Writer) {
		fmt.Fprintf(w, "%s, version %d, revision %d\n%s\n", out.Path, out.Version, out.Revision, indent(out.Value))
	})
}

func indent(raw json.RawMessage) string {
	b, err := json.MarshalIndent(raw, "", "  ")
	if err != nil {
		return string(raw)
	}
	return string(b)
}

func (a *app) configSet(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "PATH", "VALUE")
	if err != nil {
		return err
	}
	ifMatch, err := expectedVersion(cmd)
	if err != nil {
		return err
	}
	value, err := a.value(args[1])
	if err != nil {
		return err
	}
	return a.changeConfig(ctx, cmd, call{method: http.MethodPut, path: configPath(args[0]), ifMatch: ifMatch, body: value})
}

// value reads a JSON value from the command line, a file or standard input.
func (a *app) value(arg string) ([]byte, error) {
	value := []byte(arg)
	var err error
	if file, ok := strings.CutPrefix(arg, "@"); ok {
		value, err = os.ReadFile(file)
	}
	if arg == "-" {
		value, err = io.ReadAll(a.stdin)
	}
	if err != nil {
		return nil, usage("read the value: %v", err)
	}
	if !json.Valid(value) {
		return nil, usage(`the value is not JSON; a string needs quotes, such as '"urgent"'`)
	}
	return value, nil
}

// expectedVersion returns the header If-Match. The operator has to give a version: one that
// the tool read just before the change would not protect changes that the operator hasn't seen.
func expectedVersion(cmd *cli.Command) (string, error) {
	if cmd.IsSet(flagVersion) == cmd.Bool(flagAny) {
		return "", usage("give --%s VERSION, as shown by config get, or --%s", flagVersion, flagAny)
	}
	if cmd.Bool(flagAny) {
		return anyVersion, nil
	}
	return strconv.FormatUint(cmd.Uint64(flagVersion), 10), nil
}

func (a *app) configDelete(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "PATH")
	if err != nil {
		return err
	}
	ifMatch, err := expectedVersion(cmd)
	if err != nil {
		return err
	}
	return a.changeConfig(ctx, cmd, call{method: http.MethodDelete, path: configPath(args[0]), ifMatch: ifMatch})
}

func (a *app) changeConfig(ctx context.Context, cmd *cli.Command, c call) error {
	var out adminapi.ChangeAnswer
	return a.change(ctx, cmd, c, &out, func(w io.Writer) { printChange(w, out) })
}

func printChange(w io.Writer, out adminapi.ChangeAnswer) {
	fmt.Fprintf(w, "revision %d, version %d\n", out.Revision, out.Version)
	printOperation(w, out.OpID, out.Resend)
}

func (a *app) configHistory(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "PATH")
	if err != nil {
		return err
	}
	var out adminapi.HistoryAnswer
	path := apiPath("/v1/config-history/", args[0]) + "?limit=" + strconv.FormatUint(uint64(cmd.Uint(flagLimit)), 10)
	return a.read(ctx, cmd, path, &out, func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tVERSION\tTIME\tACTOR\tOP_ID\tPATH\tVALUE")
		for _, c := range out.Changes {
			value := string(c.Value)
			if c.Delete {
				value = "(deleted)"
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\t%s\t%s\n",
				c.Revision, c.Version, c.Time.Format(time.RFC3339), c.Actor, c.OpID, c.Path, value)
		}
	})
}

func (a *app) configStatus(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.ConfigStatus
	return a.read(ctx, cmd, "/v1/config-status", &out, func(w io.Writer) {
		if out.CommittedKnown {
			fmt.Fprintf(w, "committed revision %d\n", out.CommittedRevision)
		} else {
			fmt.Fprintf(w, "committed revision not known: %s\n", out.CommittedError)
		}
		fmt.Fprintln(w, "HOST\tZONE\tREVISION\tIN FORCE\tCONTACT")
		for _, h := range out.Hosts {
			contact := "yes"
			if !h.InContact {
				contact = "out, last heard " + (time.Duration(h.HeardMS) * time.Millisecond).String() + " ago"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%s\n", h.Host, h.Zone, h.Revision, h.InForce, contact)
		}
	})
}
