package admincli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
)

func (a *app) quarantineCommand() *cli.Command {
	return &cli.Command{Name: "quarantine", Usage: "requests, and parts of their prompts, that crashed backend servers", Commands: []*cli.Command{
		{Name: "list", Usage: "list them, their crashes and the time until the next trial", Action: a.quarantineList},
		{Name: "release", Usage: "make all hosts forget the crashes of a request or part", ArgsUsage: "FINGERPRINT", Action: a.quarantineRelease,
			Description: "FINGERPRINT is shown by quarantine list and in the request's log line."},
	}}
}

func (a *app) quarantineList(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.QuarantineList
	return a.read(ctx, cmd, "/v1/quarantine", &out, func(w io.Writer) {
		fmt.Fprintln(w, "FINGERPRINT\tPART\tACCOUNT\tLEVEL\tCRASHES\tTRIALS\tNEXT TRIAL\tLAST SERVER\tAGO\tSEEN BY")
		for _, q := range out.Requests {
			var last adminapi.ServerCrash
			if n := len(q.Crashes); n > 0 {
				last = q.Crashes[n-1]
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\n", q.Fingerprint, q.Part, q.Account, q.Level, len(q.Crashes), q.Trials,
				seconds(q.NextTrialMS), last.Server, seconds(last.AgoMS), last.Host)
		}
	})
}

func seconds(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}

func (a *app) quarantineRelease(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FINGERPRINT")
	if err != nil {
		return err
	}
	var out adminapi.RequestReleased
	path := "/v1/quarantine/" + url.PathEscape(args[0]) + "/release"
	return a.change(ctx, cmd, call{method: http.MethodPost, path: path}, &out, func(w io.Writer) {
		fmt.Fprintf(w, "request %s is released\n", out.Fingerprint)
		printOperation(w, out.OpID, false)
	})
}
