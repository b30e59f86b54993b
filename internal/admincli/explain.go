package admincli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{Name: "explain", Usage: "show what was decided for a request, and why", ArgsUsage: "REQUEST-ID",
		Description: "REQUEST-ID is the header Bluebellsail-Request-Id of an answer, or ACCOUNT/IDEMPOTENCY-KEY.",
		Action:      a.explain}
}

// explain asks each address until one knows the request: what was decided is kept by
// the host that decided, and the host asked may not reach it.
func (a *app) explain(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "REQUEST-ID")
	if err != nil {
		return err
	}
	cl, err := a.client(cmd)
	if err != nil {
		return err
	}
	var out adminapi.Explanation
	for _, address := range cl.addresses {
		one := *cl
		one.addresses = []string{address}
		one.timeout = cl.timeout / time.Duration(len(cl.addresses))
		err = one.do(ctx, call{method: http.MethodGet, path: apiPath("/v1/explain/", args[0])}, &out)
		if err == nil {
			return a.print(cmd, &out, func(w io.Writer) { printExplanation(w, out) })
		}
		if _, notThere := refusedAs(err, errkind.NotFound); !notThere && exitCode(err) != exitUnreachable {
			return err
		}
	}
	return err
}

func printExplanation(w io.Writer, e adminapi.Explanation) {
	fmt.Fprintln(w, indent(e.Request))
	if e.Ledger == nil {
		fmt.Fprintf(w, "ledger: %s\n", e.LedgerNote)
		return
	}
	fmt.Fprintf(w, "ledger: billed %d tokens to %s at %s for request %s\n", e.Ledger.Tokens, e.Ledger.Budget, e.Ledger.Time.Format(time.RFC3339), e.Ledger.RequestID)
}
