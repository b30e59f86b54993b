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

func (a *app) evacuateCommand() *cli.Command {
	return &cli.Command{Name: "evacuate", Usage: "stop new requests to the backend servers of an availability zone", Commands: []*cli.Command{
		{Name: "list", Usage: "list the evacuated zones", Action: a.evacuateList},
		{Name: "begin", Usage: "evacuate a zone", ArgsUsage: "ZONE", Action: a.evacuateBegin,
			Description: "Requests that run there finish. The zone stays evacuated until evacuate end."},
		{Name: "end", Usage: "allow requests to a zone's servers again", ArgsUsage: "ZONE", Action: a.evacuateEnd},
	}}
}

func (a *app) evacuateList(ctx context.Context, cmd *cli.Command) error {
	var out adminapi.EvacuationList
	return a.read(ctx, cmd, "/v1/evacuations", &out, func(w io.Writer) {
		fmt.Fprintln(w, "ZONE\tSINCE\tBY")
		for _, e := range out.Zones {
			fmt.Fprintf(w, "%s\t%s\t%s\n", e.Zone, e.Since.Format(time.RFC3339), e.Actor)
		}
	})
}

func (a *app) evacuateBegin(ctx context.Context, cmd *cli.Command) error {
	return a.setEvacuation(ctx, cmd, http.MethodPost, "is evacuated")
}

func (a *app) evacuateEnd(ctx context.Context, cmd *cli.Command) error {
	return a.setEvacuation(ctx, cmd, http.MethodDelete, "is not evacuated any more")
}

func (a *app) setEvacuation(ctx context.Context, cmd *cli.Command, method, state string) error {
	args, err := arguments(cmd, "ZONE")
	if err != nil {
		return err
	}
	revision, err := a.evacuationsRevision(ctx, cmd)
	if err != nil {
		return err
	}
	var out adminapi.EvacuationSet
	c := call{method: method, path: "/v1/evacuations/" + url.PathEscape(args[0]), ifMatch: revision}
	return a.change(ctx, cmd, c, &out, func(w io.Writer) {
		fmt.Fprintf(w, "zone %s %s\n", out.Zone, state)
		if !out.Changed {
			fmt.Fprintln(w, "that was so before")
		}
		printOperation(w, out.OpID, out.Resend)
	})
}

// evacuationsRevision returns the present revision of the evacuated zones, which the order changes.
func (a *app) evacuationsRevision(ctx context.Context, cmd *cli.Command) (string, error) {
	cl, err := a.client(cmd)
	if err != nil {
		return "", err
	}
	var present adminapi.EvacuationList
	if err := cl.do(ctx, call{method: http.MethodGet, path: "/v1/evacuations"}, &present); err != nil {
		return "", err
	}
	return strconv.FormatUint(present.Revision, 10), nil
}
