package logreport

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Room tells how a request that found no room at once was decided on. A request that got a server at once has
// none.
type Room struct {
	Account string `json:"account"`
	// Host is the host that answered the caller, and Owner the one that decided; empty if it is not known.
	Host  string `json:"host"`
	Owner string `json:"owner"`
	// Decisions is the number of the owners' lines that fit the request, which don't have its id. The fields
	// below are those of the line if there is exactly one.
	Decisions int    `json:"decisions"`
	Service   string `json:"service,omitempty"`
	Shard     string `json:"shard,omitempty"`
	Rank      string `json:"rank,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
	Server    string `json:"server,omitempty"`
	// Ahead is the number of requests that waited when it came.
	Ahead string `json:"ahead,omitempty"`
	// WaitedMS is how long it waited, or how long it took to refuse it, and MaxWaitMS how long it could; ms.
	WaitedMS  float64 `json:"waited_ms"`
	MaxWaitMS float64 `json:"max_wait_ms,omitempty"`
	// Before counts the requests that the owner decided on while this one waited.
	Before []Before `json:"before,omitempty"`
	// Figures has the figures of memory, link and server in the request's line.
	Figures []Field `json:"figures,omitempty"`
}

// Before counts requests that found no room and were decided on before another one.
type Before struct {
	Account  string `json:"account"`
	Rank     string `json:"rank"`
	Outcome  string `json:"outcome"`
	Requests int    `json:"requests"`
	// Later is the number of them that came after the request and were decided on before it.
	Later int `json:"later"`
}

const (
	queueDecided = "queue-decided"
	// maxDecisions bounds the owners' decisions that are kept.
	maxDecisions = 5000
	// waitedSlack is the difference, in milliseconds, of the two lines' figures of one wait: an owner tells
	// another host whole microseconds.
	waitedSlack = 0.001
)

// figures are the keys of a request's line that tell of the room at its server and host.
var figures = []string{"memory_permille", "engine_priority", "predicted", "running", "limit", "link_delay", "hint_ignored"}

// addDecision keeps an owner's decision near the request.
func (r *Report) addDecision(l Line) {
	near := slices.ContainsFunc(r.Request, func(q Line) bool {
		return !l.Time.Before(q.Time.Add(-windowBefore)) && !l.Time.After(q.Time.Add(windowAfter))
	})
	if !near {
		return
	}
	if len(r.decisions) >= 2*maxDecisions {
		r.decisions = slices.Delete(r.decisions, 0, len(r.decisions)-maxDecisions)
	}
	r.decisions = append(r.decisions, l)
}

// findRoom tells of the last line of the request that says that it found no room.
func (r *Report) findRoom() {
	for _, l := range slices.Backward(r.Request) {
		if room := r.roomOf(l); room != nil {
			r.Room = room
			return
		}
	}
}

func (r *Report) roomOf(l Line) *Room {
	attempt, waited := waitingAttempt(l)
	refusedAfter, refused := milliseconds(l.Get("refused_after"))
	room := &Room{Account: l.Get("account"), Host: l.Host}
	var fits func(Line) bool
	switch {
	case l.Get("kind") == string(errkind.Overloaded):
		room.WaitedMS = refusedAfter
		fits = func(d Line) bool {
			return d.Get("outcome") != "granted" && d.Get("outcome") != "left" && r.mayRefuse(d, l)
		}
	case waited:
		room.WaitedMS, _ = milliseconds(attempt.Get("waited"))
		room.Owner = cmp.Or(attempt.Get("owner"), l.Host)
		fits = func(d Line) bool { return isGrant(d, attempt, room) }
	case refused:
		room.WaitedMS = refusedAfter
		fits = func(d Line) bool { return d.Get("outcome") != "granted" && r.mayRefuse(d, l) }
	default:
		return nil
	}
	for _, key := range figures {
		if v := attempt.Get(key); v != "" {
			room.Figures = append(room.Figures, Field{Key: key, Value: v})
		} else if v := l.Get(key); v != "" && !waited {
			room.Figures = append(room.Figures, Field{Key: key, Value: v})
		}
	}
	at := -1
	for i, d := range r.decisions {
		if d.Get("account") == room.Account && fits(d) {
			room.Decisions++
			at = i
		}
	}
	if room.Decisions == 1 {
		room.fill(r.decisions[at])
		room.Before = r.before(at)
	}
	return room
}

// fill takes over what the owner's line says.
func (m *Room) fill(d Line) {
	m.Owner, m.Service, m.Shard, m.Rank = d.Host, d.Get("service"), d.Get("shard"), d.Get("rank")
	m.Outcome, m.Server, m.Ahead = d.Get("outcome"), d.Get("server"), d.Get("ahead")
	m.MaxWaitMS, _ = milliseconds(d.Get("max_wait"))
	if waited, ok := milliseconds(d.Get("waited")); ok {
		m.WaitedMS = waited
	}
}

// waitingAttempt returns the part of a request's line that tells of the last attempt that waited.
func waitingAttempt(l Line) (attempt Line, waited bool) {
	for _, a := range attempts(l) {
		if a.Get("waited") != "" {
			attempt, waited = a, true
		}
	}
	return attempt, waited
}

// attempts returns the parts of a request's line that tell of its attempts. Each begins with the server.
func attempts(l Line) []Line {
	var out []Line
	for _, f := range l.Fields {
		if f.Key == "server" {
			out = append(out, Line{Time: l.Time, Host: l.Host})
		}
		if n := len(out); n > 0 {
			out[n-1].Fields = append(out[n-1].Fields, f)
		}
	}
	return out
}

// isGrant reports whether an owner's decision is the one by which an attempt got its server.
func isGrant(d, attempt Line, room *Room) bool {
	waited, ok := milliseconds(d.Get("waited"))
	return ok && d.Host == room.Owner && d.Get("outcome") == "granted" && d.Get("server") == attempt.Get("server") &&
		d.Get("ahead") == attempt.Get("ahead") && math.Abs(waited-room.WaitedMS) <= waitedSlack
}

// mayRefuse reports whether an owner's decision may be the refusal that the request's line tells of. The
// message names the service.
func (r *Report) mayRefuse(d, l Line) bool {
	ended := !d.Time.Before(l.Time.Add(-time.Second)) && !d.Time.After(l.Time.Add(time.Second))
	return ended && strings.Contains(" "+l.Get("error")+" ", " "+d.Get("service")+" ")
}

// before counts the decisions of the same owner on the same service while the request of decision at waited.
func (r *Report) before(at int) []Before {
	d := r.decisions[at]
	waited, _ := milliseconds(d.Get("waited"))
	began := d.Time.Add(-time.Duration(waited * float64(time.Millisecond))).Truncate(time.Second)
	ticket, _ := strconv.ParseUint(d.Get("ticket"), 10, 64)
	type group struct{ account, rank, outcome string }
	groups := make(map[group]int)
	var out []Before
	for _, o := range r.decisions[:at] {
		if o.Host != d.Host || o.Get("service") != d.Get("service") || o.Get("shard") != d.Get("shard") || o.Time.Before(began) {
			continue
		}
		g := group{o.Get("account"), o.Get("rank"), o.Get("outcome")}
		i, known := groups[g]
		if !known {
			i = len(out)
			groups[g] = i
			out = append(out, Before{Account: g.account, Rank: g.rank, Outcome: g.outcome})
		}
		out[i].Requests++
		if t, err := strconv.ParseUint(o.Get("ticket"), 10, 64); err == nil && t > ticket {
			out[i].Later++
		}
	}
	slices.SortFunc(out, func(a, b Before) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}

func milliseconds(text string) (ms float64, ok bool) {
	ms, err := strconv.ParseFloat(text, 64)
	return ms, err == nil
}
