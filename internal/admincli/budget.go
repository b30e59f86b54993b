package admincli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
)

const (
	flagTokens = "tokens"
	flagNote   = "note"
	flagLimit  = "limit"
)

func (a *app) budgetCommand() *cli.Command {
	tokens := &cli.Uint64Flag{Name: flagTokens, Usage: "`NUMBER` of tokens", Required: true}
	note := &cli.StringFlag{Name: flagNote, Usage: "`TEXT` for the statement"}
	return &cli.Command{Name: "budget", Usage: "prepaid token budgets", Commands: []*cli.Command{
		{Name: "list", Usage: "list all budgets", Action: a.budgetList},
		{Name: "show", Usage: "show a budget and the tokens that hosts hold of it", ArgsUsage: "NAME", Action: a.budgetShow},
		{Name: "create", Usage: "create a budget", ArgsUsage: "NAME", Action: a.budgetCreate, Flags: []cli.Flag{
			tokens, note, &cli.StringFlag{Name: "account", Usage: "client `ACCOUNT` that the budget is for"}}},
		{Name: "top-up", Usage: "add tokens to a budget", ArgsUsage: "NAME", Action: a.budgetTopUp, Flags: []cli.Flag{tokens, note}},
		{Name: "statement", Usage: "list a budget's bills and top-ups", ArgsUsage: "NAME", Action: a.budgetStatement, Flags: []cli.Flag{
			&cli.UintFlag{Name: flagLimit, Value: 50, Usage: "`NUMBER` of latest lines to list"}}},
	}}
}

func budgetPath(name string) string { return "/v1/budgets/" + url.PathEscape(name) }

func (a *app) budgetList(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.BudgetList
	return a.read(ctx, cmd, "/v1/budgets", &out, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tACCOUNT\tFUNDED\tBILLED\tGRANTED\tFREE\tBILLS")
		for _, b := range out.Budgets {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", b.Name, b.Account, b.Funded, b.Billed, b.Granted, b.Free, b.Bills)
		}
	})
}

func printBudget(w io.Writer, b adminapi.Budget) {
	fmt.Fprintf(w, "budget %s: funded %d, billed %d, granted %d, free %d, bills %d\n",
		b.Name, b.Funded, b.Billed, b.Granted, b.Free, b.Bills)
	for _, h := range b.Holders {
		fmt.Fprintf(w, "  %s/%d holds %d\n", h.Host, h.Incarnation, h.Tokens)
	}
}

// printFunds prints the part of a budget that the answer to a change contains. Grants are not
// part of that answer, and a resend gets the first answer again.
func printFunds(w io.Writer, b adminapi.Budget) {
	fmt.Fprintf(w, "budget %s: funded %d, billed %d\n", b.Name, b.Funded, b.Billed)
}

func (a *app) budgetShow(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	var out adminapi.Budget
	return a.read(ctx, cmd, budgetPath(args[0]), &out, func(w io.Writer) { printBudget(w, out) })
}

func (a *app) budgetCreate(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	return a.changeBudget(ctx, cmd, "/v1/budgets", adminapi.CreateBudget{
		Name: args[0], Account: cmd.String("account"), Tokens: cmd.Uint64(flagTokens), Note: cmd.String(flagNote)})
}

func (a *app) budgetTopUp(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	return a.changeBudget(ctx, cmd, budgetPath(args[0])+"/top-ups", adminapi.TopUp{
		Tokens: cmd.Uint64(flagTokens), Note: cmd.String(flagNote)})
}

func (a *app) changeBudget(ctx context.Context, cmd *cli.Command, path string, request any) error {
	body, err := encode(request)
	if err != nil {
		return err
	}
	var out adminapi.BudgetAnswer
	return a.change(ctx, cmd, call{method: http.MethodPost, path: path, body: body}, &out, func(w io.Writer) {
		printFunds(w, out.Budget)
		printOperation(w, out.OpID, out.Resend)
	})
}

func (a *app) budgetStatement(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "NAME")
	if err != nil {
		return err
	}
	path := budgetPath(args[0]) + "/statement?limit=" + strconv.FormatUint(uint64(cmd.Uint(flagLimit)), 10)
	var out adminapi.Statement
	return a.read(ctx, cmd, path, &out, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tKIND\tTOKENS\tIDENTITY\tREQUEST\tACTOR\tNOTE")
		for _, l := range out.Lines {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n",
				l.Time.Format(time.RFC3339), l.Kind, l.Tokens, l.Identity, l.RequestID, l.Actor, l.Note)
		}
	})
}
