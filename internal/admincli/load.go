package admincli

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bluebellsail/bluebellsail/internal/loadview"
)

func (a *app) loadCommand() *cli.Command {
	return &cli.Command{Name: "load", Usage: "show the room of services, who has it, who waits, who was refused and what is tight", ArgsUsage: "[SERVICE]",
		Description: "Asks all hosts. Hosts that do not answer are named first; all numbers then lack what they know.",
		Action:      a.load}
}

func (a *app) load(ctx context.Context, cmd *cli.Command) error {
	path := "/v1/load"
	switch cmd.Args().Len() {
	case 0:
	case 1:
		path += "/" + url.PathEscape(cmd.Args().First())
	default:
		return usage("want at most one SERVICE; see %s --help", cmd.FullName())
	}
	var out loadview.Fleet
	return a.read(ctx, cmd, path, &out, func(w io.Writer) { printLoad(w, &out) })
}

// shownHosts bounds the hosts in the printed table; --json has all.
const shownHosts = 20

func printLoad(w io.Writer, f *loadview.Fleet) {
	printLoadSummary(w, f)
	printRooms(w, f)
	printLoadServers(w, f)
	printLoadAccounts(w, f)
	printWaiting(w, f)
	printRefused(w, f)
	printLoadHosts(w, f)
	printLeftOut(w, f.LeftOut)
}

func printLoadSummary(w io.Writer, f *loadview.Fleet) {
	of := "all services"
	if f.Service != "" {
		of = "service " + f.Service
	}
	if f.Whole {
		fmt.Fprintf(w, "%s, as all %d hosts tell it\n", of, len(f.Hosts))
	} else {
		fmt.Fprintf(w, "%s, NOT WHOLE: %d hosts tell it, %d do not; all numbers are lower bounds\n", of, len(f.Hosts), len(f.Missing))
	}
	for _, m := range f.Missing {
		fmt.Fprintf(w, "  missing: host %s: %s\n", m.Host, m.Status)
	}
	t := f.Totals
	if t.Servers == 0 {
		fmt.Fprint(w, "room: not counted by any of these hosts; its parts are switched off, or nothing was assigned yet")
	} else {
		fmt.Fprintf(w, "room: %d servers, %d of %d slots taken", t.Servers, t.Running, t.Slots)
	}
	fmt.Fprintf(w, ", %d waiting, %d refused in the last 10 s", t.Waiting, t.Refused)
	if t.MemoryTokens.Of > 0 {
		fmt.Fprintf(w, ", %d of %d tokens of memory held", t.MemoryTokens.Used, t.MemoryTokens.Of)
	}
	fmt.Fprintln(w)
}

func printRooms(w io.Writer, f *loadview.Fleet) {
	heading(w, len(f.Rooms), "SERVICE\tSHARD\tOWNER\tSERVERS\tRUNNING\tSLOTS\tWAITING\tREFUSED\tDISPUTED")
	for _, r := range f.Rooms {
		fmt.Fprintf(w, "%s\t%d/%d\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Service, r.Shard, r.Shards, r.By, r.Servers, r.Running, r.Slots, r.Waiting, r.Refused, yes(r.Disputed))
	}
}

func printLoadServers(w io.Writer, f *loadview.Fleet) {
	heading(w, len(f.Servers), "SERVICE\tSERVER\tTIGHT\tRUNNING\tWAITING\tSLOTS\tREPORTED\tASSIGNED\tMEMORY\tFAULTS")
	for _, s := range f.Servers {
		running, waiting, slots, age := "-", "-", "-", "never"
		if s.Slots > 0 {
			slots = strconv.Itoa(s.Slots)
		}
		if r := s.Reported; r != nil {
			running, waiting, slots, age = strconv.Itoa(r.Running), strconv.Itoa(r.Waiting), strconv.Itoa(r.Slots), ago(r.AgeMS)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%.0f%%\n", s.Service, s.Server, words(s.Tight()), running, waiting, slots, age, s.Assigned, use(s.Memory), 100*s.FaultPart)
	}
}

func printLoadAccounts(w io.Writer, f *loadview.Fleet) {
	heading(w, len(f.Accounts), "ACCOUNT\tREQUESTS\tWAITING\tREFUSED\tDUE\tUSED\tHELD BYTES")
	for _, a := range f.Accounts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%d\n", dash(a.Account), a.Requests, a.Waiting, a.Refused, share(a.Due, a.Due), share(a.Used, a.Due), a.HeldBytes)
	}
	if r := f.Rest; r.Accounts > 0 {
		fmt.Fprintf(w, "%d more accounts\t%d\t%d\t%d\t\t\t\n", r.Accounts, r.Requests, r.Waiting, r.Refused)
	}
}

func printWaiting(w io.Writer, f *loadview.Fleet) {
	heading(w, len(f.Waiting), "WAITING ACCOUNT\tRANK\tREQUESTS\tLONGEST\tSERVICE\tSHARD\tAT")
	for _, x := range f.Waiting {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\t%s\n", dash(x.Account), x.Rank, x.Requests, ago(x.LongestMS), x.Service, x.Shard, x.At)
	}
}

func printRefused(w io.Writer, f *loadview.Fleet) {
	heading(w, len(f.Refused), "REFUSED ACCOUNT\tREASON\tREQUESTS\tSERVICE")
	for _, x := range f.Refused {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", dash(x.Account), x.Reason, x.Requests, dash(x.Service))
	}
}

func printLoadHosts(w io.Writer, f *loadview.Fleet) {
	heading(w, len(f.Hosts), "HOST\tZONE\tTIGHT\tLINK KBIT/S\tDELAY\tMEMORY MB\tPROCESSOR\tSLOW READERS\tWEIGHT\tWAITING\tREFUSED\tASKED")
	shown := f.Hosts[:min(len(f.Hosts), shownHosts)]
	for _, h := range shown {
		m := h.Machine
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.2f\t%d\t%d\t%s ago\n", h.Host, h.Zone, words(h.Tight), use(m.Link), ago(m.LinkDelayMS),
			use(m.Memory), use(m.Processor), use(m.SlowReaders), m.Weight, h.Waiting, h.Refused, ago(h.AgeMS))
	}
	if more := len(f.Hosts) - len(shown); more > 0 {
		fmt.Fprintf(w, "%d more hosts, less tight; --json has them\n", more)
	}
}

func printLeftOut(w io.Writer, l loadview.LeftOut) {
	if l != (loadview.LeftOut{}) {
		fmt.Fprintf(w, "\nleft out of the lists, least tight first: %d rooms, %d servers, %d accounts, %d waiting, %d refused\n",
			l.Rooms, l.Servers, l.Accounts, l.Waiting, l.Refused)
	}
}

// heading starts a table if it has rows.
func heading(w io.Writer, rows int, columns string) {
	if rows > 0 {
		fmt.Fprintf(w, "\n%s\n", columns)
	}
}

func use(u *loadview.Use) string {
	switch {
	case u == nil:
		return "-"
	case u.Of == 0:
		return strconv.FormatInt(u.Used, 10)
	}
	return fmt.Sprintf("%d/%d", u.Used, u.Of)
}

// share formats part as a percentage; a dash if nothing is due.
func share(part, due float64) string {
	if due == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*part)
}

func ago(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func words(list []string) string { return dash(strings.Join(list, ",")) }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "-"
}
