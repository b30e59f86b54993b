package admincli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/logreport"
)

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{Name: "explain", Usage: "show the decisions made for a request, and their reasons", ArgsUsage: "REQUEST-ID",
		Description: "REQUEST-ID is the header Bluebellsail-Request-Id of an answer, or ACCOUNT/IDEMPOTENCY-KEY; with --logs, the id\n" +
			"that the caller gave its attempt. --logs reads the hosts' logs instead of querying the hosts.",
		Flags:  []cli.Flag{&cli.StringSliceFlag{Name: flagLogs, Usage: "log of a host, a `FILE` of key=value lines; may be repeated"}},
		Action: a.explain}
}

// flagLogs is the flag for the log files to read.
const flagLogs = "logs"

// explain queries each address until one finds the request. The host that made the decisions
// stores them, and the first queried host may not be able to reach it.
func (a *app) explain(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "REQUEST-ID")
	if err != nil {
		return err
	}
	if logs := cmd.StringSlice(flagLogs); len(logs) > 0 {
		return a.explainFromLogs(cmd, args[0], logs)
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

// explainFromLogs needs no running host, so it also works with the logs of a fleet that is down.
func (a *app) explainFromLogs(cmd *cli.Command, id string, logs []string) error {
	report, err := logreport.Make(id, len(logs), func(i int) (io.ReadCloser, error) { return os.Open(logs[i]) })
	if errors.Is(err, logreport.ErrNotFound) {
		return &exitError{code: exitRefused, err: err}
	}
	if err != nil {
		return usage("%v", err)
	}
	return a.print(cmd, report, func(w io.Writer) { printReport(w, report) })
}

func printReport(w io.Writer, r *logreport.Report) {
	for _, l := range r.Request {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.Time.Format(time.RFC3339), l.Host, l.Event, l)
	}
	if r.Reading != "" {
		fmt.Fprintf(w, "\n%s\n", r.Reading)
	}
	if r.Room != nil {
		printRoom(w, r.Room)
	}
	if len(r.Around) > 0 {
		fmt.Fprintln(w, "\naround it, this host and the control group:")
	}
	for _, l := range r.Around {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.Time.Format(time.RFC3339), l.Host, l.Event, l)
	}
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d more lines\n", r.Dropped)
	}
}

// printRoom prints how a request without room was decided on, and what went before it.
func printRoom(w io.Writer, m *logreport.Room) {
	fmt.Fprintf(w, "\nroom: account %s, answered by %s\n", dash(m.Account), m.Host)
	switch {
	case m.Decisions == 1:
		fmt.Fprintf(w, "owner %s, service %s, shard %s: %s, rank %s, %s ahead when it came, waited %.0f ms of at most %.0f ms\n",
			m.Owner, m.Service, m.Shard, strings.TrimSpace(m.Outcome+" "+m.Server), m.Rank, m.Ahead, m.WaitedMS, m.MaxWaitMS)
	case m.Owner != "":
		fmt.Fprintf(w, "owner %s, waited %.0f ms; %d queue-decided lines fit it, so its rank is not known: give the owner's log too\n", m.Owner, m.WaitedMS, m.Decisions)
	default:
		fmt.Fprintf(w, "decided after %.0f ms; %d queue-decided lines fit it: it was refused without a queue, or logs of owners are missing, or several of its account's were decided on in this second\n", m.WaitedMS, m.Decisions)
	}
	for _, f := range m.Figures {
		fmt.Fprintf(w, "%s %s\n", f.Key, f.Value)
	}
	if len(m.Before) > 0 {
		fmt.Fprintln(w, "\nbefore it, at this owner while it waited:\nACCOUNT\tRANK\tOUTCOME\tREQUESTS\tCAME LATER")
	}
	for _, b := range m.Before {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", dash(b.Account), b.Rank, b.Outcome, b.Requests, b.Later)
	}
}

func printExplanation(w io.Writer, e adminapi.Explanation) {
	fmt.Fprintln(w, indent(e.Request))
	if e.Ledger == nil {
		fmt.Fprintf(w, "ledger: %s\n", e.LedgerNote)
		return
	}
	fmt.Fprintf(w, "ledger: billed %d tokens to %s at %s for request %s\n", e.Ledger.Tokens, e.Ledger.Budget, e.Ledger.Time.Format(time.RFC3339), e.Ledger.RequestID)
}
