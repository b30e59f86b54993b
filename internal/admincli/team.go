package admincli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

func (a *app) teamCommand() *cli.Command {
	return &cli.Command{Name: "team", Usage: "teams and their rules", Commands: []*cli.Command{
		{Name: "list", Usage: "list all teams", Action: a.teamList},
		{Name: "show", Usage: "show a team's rules", ArgsUsage: "NAME", Action: a.teamShow},
		{Name: "set", Usage: "change some of a team's rules, or create the team", ArgsUsage: "NAME KEY=VALUE...", Action: a.teamSet,
			Description: "Keys are those of the subtree /teams/NAME; nested keys are separated by dots, such as retry.share=0.2.\n" +
				"Values are JSON or plain strings. An empty value removes the key.",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: flagVersion, Usage: "`VERSION` that the team must have; default: the current one"}}},
	}}
}

func teamPath(name string) string { return "/teams/" + name }

func (a *app) teamList(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.TeamList
	return a.read(ctx, cmd, "/v1/teams", &out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tPRIORITY\tMODELS\tSERVICES")
		for _, t := range out.Teams {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", t.Name, t.Priority, joinOrAll(t.Models), joinOrAll(t.Services))
		}
	})
}

func joinOrAll(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, ",")
}

func (a *app) teamShow(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	var out adminapi.ConfigAnswer
	return a.read(ctx, cmd, configPath(teamPath(args[0])), &out, func(w io.Writer) {
		fmt.Fprintf(w, "team %s, version %d\n%s\n", args[0], out.Version, indent(out.Value))
	})
}

// teamSet reads the team's rules, changes the given keys and writes the rules with the version
// that was read as the expected one, so that a concurrent change is never overwritten.
func (a *app) teamSet(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return usage("want NAME KEY=VALUE...; see %s --help", cmd.FullName())
	}
	cl, err := a.client(cmd)
	if err != nil {
		return err
	}
	path := teamPath(args[0])
	if out, err := cl.findEarlierChange(ctx, cmd, path); out != nil || err != nil {
		return a.printEarlierChange(cmd, out, err)
	}
	present, err := cl.readObject(ctx, path)
	if err != nil {
		return err
	}
	rules, version := present.value, present.version
	if cmd.IsSet(flagVersion) {
		version = cmd.Uint64(flagVersion)
	}
	for _, assignment := range args[1:] {
		if err := assign(rules, assignment); err != nil {
			return err
		}
	}
	body, err := encode(rules)
	if err != nil {
		return err
	}
	return a.changeConfig(ctx, cmd, call{
		method: http.MethodPut, path: configPath(path), ifMatch: strconv.FormatUint(version, 10), body: body})
}

func (a *app) printEarlierChange(cmd *cli.Command, out *adminapi.ChangeAnswer, err error) error {
	if err != nil {
		return err
	}
	return a.print(cmd, out, func(w io.Writer) { printChange(w, *out) })
}

// findEarlierChange returns the change at path that was made with the operation id from the
// command line, or nil if there is none. Without it, the resend of a change that is computed from
// the current value would be a different change, since it would read its own first result.
func (cl *client) findEarlierChange(ctx context.Context, cmd *cli.Command, path string) (*adminapi.ChangeAnswer, error) {
	opID := cmd.String(flagOpID)
	if opID == "" {
		return nil, nil
	}
	var history adminapi.HistoryAnswer
	if err := cl.do(ctx, call{method: http.MethodGet, path: apiPath("/v1/config-history/", path) + "?limit=1000"}, &history); err != nil {
		return nil, err
	}
	for _, c := range history.Changes {
		if c.OpID == opID {
			return &adminapi.ChangeAnswer{OpID: opID, Revision: c.Revision, Version: c.Version, Resend: true}, nil
		}
	}
	return nil, nil
}

// presentObject is the value at a path of the settings tree.
type presentObject struct {
	// value is empty if nothing is set.
	value map[string]any
	// version is the one that a change must expect.
	version uint64
	found   bool
}

// readObject returns the object at path, or an empty one if nothing is set.
func (cl *client) readObject(ctx context.Context, path string) (presentObject, error) {
	present := presentObject{value: map[string]any{}}
	var answer adminapi.ConfigAnswer
	err := cl.do(ctx, call{method: http.MethodGet, path: configPath(path)}, &answer)
	if r, ok := refusedAs(err, errkind.NotFound); ok {
		present.version = r.fields.PresentVersion
		return present, nil
	}
	if err != nil {
		return present, err
	}
	if err := json.Unmarshal(answer.Value, &present.value); err != nil {
		return present, errors.Wrapf(err, "decode %s", path)
	}
	present.version, present.found = answer.Version, true
	return present, nil
}

// assign sets key=value in object, or deletes the key if the value is empty.
func assign(object map[string]any, assignment string) error {
	key, value, ok := strings.Cut(assignment, "=")
	if !ok || key == "" {
		return usage("%q is not KEY=VALUE", assignment)
	}
	parts := strings.Split(key, ".")
	for _, part := range parts[:len(parts)-1] {
		inner, isObject := object[part].(map[string]any)
		if !isObject {
			inner = map[string]any{}
			object[part] = inner
		}
		object = inner
	}
	last := parts[len(parts)-1]
	if value == "" {
		delete(object, last)
		return nil
	}
	object[last] = value
	if json.Valid([]byte(value)) {
		object[last] = json.RawMessage(value)
	}
	return nil
}
