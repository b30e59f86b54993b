package admincli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

func (a *app) accountCommand() *cli.Command {
	return &cli.Command{Name: "account", Usage: "client accounts and their keys", Commands: []*cli.Command{
		{Name: "list", Usage: "list all accounts and the hashes of their keys", Action: a.accountList},
		{Name: "create", Usage: "create an account and print its key once", ArgsUsage: "NAME", Action: a.accountCreate, Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Usage: "`TEAM` whose rules the account follows", Required: true},
			&cli.StringFlag{Name: "budget", Usage: "`BUDGET` that the account is billed to; default: the account's name"},
			&cli.IntFlag{Name: "weight", Usage: "`WEIGHT` in fair queues, 1 to 100"}}},
		{Name: "new-key", Usage: "add a key to an account and print it once", ArgsUsage: "NAME", Action: a.accountNewKey},
		{Name: "drop-key", Usage: "remove a key from an account", ArgsUsage: "NAME HASH", Action: a.accountDropKey},
		{Name: "disable", Usage: "reject all requests of an account", ArgsUsage: "NAME", Action: a.accountDisable},
		{Name: "enable", Usage: "accept an account's requests again", ArgsUsage: "NAME", Action: a.accountEnable},
	}}
}

func accountPath(name string) string { return "/v1/accounts/" + url.PathEscape(name) }

func (a *app) accountList(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.AccountList
	return a.read(ctx, cmd, "/v1/accounts", &out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tTEAM\tBUDGET\tWEIGHT\tDISABLED\tKEYS")
		for _, acc := range out.Accounts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%d\n", acc.Name, acc.Team, acc.Budget, max(acc.Weight, 1), acc.Disabled, len(acc.KeyHashes))
			for _, h := range acc.KeyHashes {
				fmt.Fprintf(w, "  %s\n", h)
			}
		}
	})
}

func (a *app) accountCreate(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	budget := cmd.String("budget")
	if budget == "" {
		budget = args[0]
	}
	key := adminapi.NewKey()
	return a.addKey(ctx, cmd, "/v1/accounts", key, adminapi.CreateAccount{
		Name: args[0], Team: cmd.String("team"), Budget: budget, Weight: int(cmd.Int("weight")), KeyHash: settings.HashKey(key)})
}

func (a *app) accountNewKey(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	key := adminapi.NewKey()
	return a.addKey(ctx, cmd, accountPath(args[0])+"/keys", key, adminapi.AddKey{KeyHash: settings.HashKey(key)})
}

// addKey sends the hash of key, and prints key only if the answer confirms that this hash is
// in force. The key itself never leaves this machine.
func (a *app) addKey(ctx context.Context, cmd *cli.Command, path, key string, request any) error {
	body, err := encode(request)
	if err != nil {
		return err
	}
	cl, err := a.client(cmd)
	if err != nil {
		return err
	}
	var out adminapi.KeyAnswer
	c := call{method: http.MethodPost, path: path, body: body, opID: operationID(cmd)}
	if err := cl.do(ctx, c, &out); err != nil {
		return err
	}
	if out.KeyHash == settings.HashKey(key) {
		out.Key = key
	}
	return a.print(cmd, &out, func(w io.Writer) { printKey(w, out) })
}

func printKey(w io.Writer, out adminapi.KeyAnswer) {
	if out.Key != "" {
		fmt.Fprintf(w, "account %s, version %d, key, shown only now:\n%s\n", out.Account, out.Version, out.Key)
	} else {
		fmt.Fprintf(w, "account %s, version %d: an earlier request made the key, which is not known here; "+
			"make another with new-key\n", out.Account, out.Version)
	}
	printOperation(w, out.OpID, out.Resend)
}

func (a *app) accountDropKey(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME", "HASH")
	if err != nil {
		return err
	}
	var out adminapi.KeyAnswer
	path := accountPath(args[0]) + "/keys/" + url.PathEscape(args[1])
	return a.change(ctx, cmd, call{method: http.MethodDelete, path: path}, &out, func(w io.Writer) {
		fmt.Fprintf(w, "account %s, version %d, without key %s\n", out.Account, out.Version, out.KeyHash)
		printOperation(w, out.OpID, out.Resend)
	})
}

func (a *app) accountDisable(ctx context.Context, cmd *cli.Command) error {
	return a.setDisabled(ctx, cmd, "true")
}

func (a *app) accountEnable(ctx context.Context, cmd *cli.Command) error {
	return a.setDisabled(ctx, cmd, "false")
}

// setDisabled changes one value regardless of the account's version, since this can't
// overwrite another operator's change of any other value.
func (a *app) setDisabled(ctx context.Context, cmd *cli.Command, value string) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	path := configPath("/accounts/" + args[0] + "/disabled")
	return a.changeConfig(ctx, cmd, call{method: http.MethodPut, path: path, ifMatch: anyVersion, body: []byte(value)})
}
