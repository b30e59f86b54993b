package logreport

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Report describes a request from the logs.
type Report struct {
	// Request has the lines of all hosts about the request.
	Request []Line `json:"request"`
	// Around has the lines about the state of the hosts of these lines and of the control
	// group near the times of these lines, ordered by time.
	Around []Line `json:"around"`
	// Dropped counts the oldest lines that were left out of Around because of its bound.
	Dropped int `json:"dropped,omitempty"`
	// Reading explains, for a request that was not served, what its kind of error means and
	// which lines show the cause; empty if there is nothing to add.
	Reading string `json:"reading,omitempty"`
	// Room tells how a request that found no room at once was decided on; nil for others.
	Room *Room `json:"room,omitempty"`

	// decisions are the owners' decisions on requests without room near the request's lines, in the order of
	// the logs.
	decisions []Line
}

const (
	// windowBefore and windowAfter bound the time between a request's line and the lines around
	// it. Changes of leader, starts and lost servers take effect within a few seconds. A
	// request's line is written at its end, so windowBefore also covers the duration of the
	// longest usual request.
	windowBefore = 15 * time.Second
	windowAfter  = 2 * time.Second
	// maxAround bounds the lines around a request.
	maxAround = 200
	// maxLine bounds a line in bytes; a request's line has about one kilobyte.
	maxLine = 1 << 20
)

// ErrNotFound is returned if no log has a line of the request.
var ErrNotFound = errors.New("no log has a line of this request; search the host that the caller used for its start, stop and connection-closed")

// aroundEvents are the events about the state of a host and its view of the fleet.
var aroundEvents = []string{
	"starting", "run-before", "serving", "leaving", "left", "ended", "stood-still", "memory-high", "panic-recovered", "handler-panicked",
	"registered", "not-registered", "ledger-lost", "ledger-regained", "settle-unanswered", "tokens-granted", "transfer-given", "transfer-received",
	"routes-in-force", "routes-confirmed", "table-served", "routes-replaced", "routes-unreadable",
	"peer-health", "server-lost", "server-paused", "connection-closed", "evacuation-ordered", "evacuation-in-force", "server-cold",
	"version-shared", "version-not-shared", "service-pressed", "service-relieved", "slow-readers-refused", "caller-slow", "server-slow",
	"link-full", "link-load", "link-relieved", "crash-at-full-memory",
}

// groupEvents are events of control hosts that concern all hosts.
var groupEvents = []string{
	"replica-opened", "replica-caught-up", "replica-stopped", "became-leader", "became-follower", "leader-known", "leader-lost", "disk-slow", "leader-disk-stalled",
}

// readings explains what to look for, by the kind of the request's error.
var readings = map[errkind.Kind]string{
	errkind.UnknownPath:         "the routing table of this revision does not have the route, and was confirmed table_confirmed_ago ms before; compare with the revision of routes-replaced",
	errkind.Unauthenticated:     "no account has the key in the settings of this revision, which were confirmed table_confirmed_ago ms before; compare with the revision of routes-replaced",
	errkind.HostNotReady:        "the host could not confirm that it has the newest settings, or had just started; see starting, table-served, leader-known (without: ms without a leader), replica-caught-up",
	errkind.BudgetExhausted:     "the ledger had nothing left to grant, now or when it was last reached; see tokens-granted of the account, and hosts that died with tokens (peer-health)",
	errkind.BudgetUnreachable:   "the host had too few tokens and could not reach the ledger; see ledger-lost, leader-lost and leader-known, peer-health of the control hosts",
	errkind.NoBackendServer:     "no server of the service was available; see server-lost, evacuation-in-force, server-cold and starting",
	errkind.BackendServerFailed: "the server failed or gave an invalid answer; see outcome and detail for how, and server-lost for whether other requests failed there too",
	errkind.DeadlineExceeded:    "the deadline passed; compare took with ran: if they differ, the time was spent before the attempt (settle-unanswered, ledger-lost, stood-still)",
	errkind.Overloaded:          "the error says whether servers, memory or this host's link had no room; room has the owner's decision (queue-decided), service-pressed and slow-readers-refused what was full; count request lines by host and account, and see bluebellsail load for the present",
	errkind.HostLeaving:         "the host was shutting down; see leaving",
	errkind.CallerGone:          "the caller closed its connection first",
	errkind.Internal:            "a fault of this program, or a connection that this host closed; see connection-closed, handler-panicked, ended",
}

// Make reads the logs and reports on a request. open opens the log with index i. It is called
// twice for each log, so that logs are not held in memory.
func Make(id string, logs int, open func(i int) (io.ReadCloser, error)) (*Report, error) {
	r := &Report{}
	err := forEachLine(logs, open, func(l Line) {
		if l.Get("request") == id {
			r.Request = append(r.Request, l)
		}
	})
	if err != nil {
		return nil, err
	}
	if len(r.Request) == 0 {
		return nil, ErrNotFound
	}
	err = forEachLine(logs, open, func(l Line) {
		if l.Event == queueDecided {
			r.addDecision(l)
		}
		if l.Get("request") != id && r.isNear(l) {
			r.add(l)
		}
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(r.Request, byTime)
	r.trim()
	r.findRoom()
	last := r.Request[len(r.Request)-1]
	r.Reading = readings[errkind.Kind(last.Get("kind"))]
	return r, nil
}

// add adds a line to Around, and trims Around when it has twice the allowed lines.
func (r *Report) add(l Line) {
	r.Around = append(r.Around, l)
	if len(r.Around) >= 2*maxAround {
		r.trim()
	}
}

// trim keeps the newest lines of Around, since the cause of a failure is logged near the end
// of the request.
func (r *Report) trim() {
	slices.SortStableFunc(r.Around, byTime)
	if over := len(r.Around) - maxAround; over > 0 {
		r.Dropped += over
		r.Around = slices.Delete(r.Around, 0, over)
	}
}

// isNear reports whether a line belongs into Around. Lines about the budget of another account
// do not.
func (r *Report) isNear(l Line) bool {
	group := slices.Contains(groupEvents, l.Event)
	if !group && !slices.Contains(aroundEvents, l.Event) {
		return false
	}
	return slices.ContainsFunc(r.Request, func(q Line) bool {
		if budget := l.Get("budget"); budget != "" && budget != q.Get("account") {
			return false
		}
		inTime := !l.Time.Before(q.Time.Add(-windowBefore)) && !l.Time.After(q.Time.Add(windowAfter))
		return inTime && (group || l.Host == q.Host)
	})
}

func byTime(a, b Line) int { return a.Time.Compare(b.Time) }

// forEachLine calls visit for each line of each log.
func forEachLine(logs int, open func(i int) (io.ReadCloser, error), visit func(Line)) error {
	for i := range logs {
		f, err := open(i)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, maxLine)
		for s.Scan() {
			if l, ok := Parse(s.Text()); ok {
				visit(l)
			}
		}
		_ = f.Close()
		if err := s.Err(); err != nil {
			return errors.Wrap(err, "read log")
		}
	}
	return nil
}

// String returns the pairs of the line without level, host, zone, event and time.
func (l Line) String() string {
	var b strings.Builder
	for _, f := range l.Fields {
		switch f.Key {
		case "level", "host", "zone", "event", "time":
			continue
		}
		b.WriteString(" " + f.Key + "=" + f.Value)
	}
	return strings.TrimSpace(b.String())
}
