package waiting

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/balance"
	"github.com/bluebellsail/bluebellsail/internal/fairqueue"
)

// grant decides on the requests of a queue: those whose latest start has passed are refused, and the others
// get what room there is, in order.
func (c *Core) grant(now time.Time, q *queue, out []Result) []Result {
	q.lastUsed = now
	out = c.expire(now, q, out)
	tried := trials{}
	for q.fair.Len() > 0 {
		res, ok := c.grantNext(now, q, &tried)
		if !ok {
			break
		}
		out = append(out, res)
	}
	return out
}

func (c *Core) expire(now time.Time, q *queue, out []Result) []Result {
	if q.fair.Len() == 0 || now.Before(q.nextExpiry) {
		return out
	}
	var expired []*request
	q.nextExpiry = time.Time{}
	q.fair.Each(func(e *fairqueue.Entry[*request]) {
		if r := e.Value; !now.Before(r.latest) && !r.arrived.Equal(now) {
			expired = append(expired, r)
		} else if q.nextExpiry.IsZero() || r.latest.Before(q.nextExpiry) {
			q.nextExpiry = r.latest
		}
	})
	for _, r := range expired {
		out = append(out, c.refuse(now, r, Expired))
	}
	return out
}

// trials are the requests of a queue that found no room in one step, during which room only shrinks.
type trials struct {
	// failed has the least size of a request that found no room, by restriction.
	failed map[uint64]uint64
	// beyondShare has the accounts that have their share of the room.
	beyondShare map[string]bool
	count       int
}

// hopeless reports whether a request needs no trial, since one that is not larger and may go to at least the
// same servers found no room.
func (t *trials) hopeless(r *request) bool {
	for _, restriction := range [...]uint64{0, r.restriction} {
		if least, ok := t.failed[restriction]; ok && r.size >= least {
			return true
		}
	}
	return false
}

// add records the trial of a request. It reports whether its account has its share of the room.
func (t *trials) add(r *request, noRoom *balance.NoRoom) (beyondShare bool) {
	t.count++
	if noRoom.Account {
		if t.beyondShare == nil {
			t.beyondShare = make(map[string]bool)
		}
		t.beyondShare[r.work.Account] = true
		return true
	}
	if t.failed == nil {
		t.failed = make(map[uint64]uint64)
	}
	if least, ok := t.failed[r.restriction]; !ok || r.size < least {
		t.failed[r.restriction] = r.size
	}
	return false
}

// grantNext decides on the first request in order for which there is room. Requests that only some servers
// may get keep no others waiting, nor do accounts beyond their share other accounts. Those that fit into no
// server's room keep smaller ones waiting once they have been passed over maxPassed times.
func (c *Core) grantNext(now time.Time, q *queue, tried *trials) (Result, bool) {
	var found *request
	var choice balance.Choice
	var err error
	var passed []*request
	q.fair.InOrder(func(e *fairqueue.Entry[*request]) fairqueue.Verdict {
		r := e.Value
		if tried.beyondShare[r.work.Account] {
			return fairqueue.NextAccount
		}
		if r.restriction != 0 && tried.count >= maxTries {
			return fairqueue.NextEntry
		}
		if !tried.hopeless(r) {
			choice, err = c.chooser.Choose(now, &r.work)
			var noRoom *balance.NoRoom
			if !errors.As(err, &noRoom) {
				found = r
				return fairqueue.Stop
			}
			if tried.add(r, noRoom) && tried.count < maxTries {
				return fairqueue.NextAccount
			}
		}
		if r.restriction == 0 {
			if r.passed >= maxPassed || r.size <= q.smallest {
				return fairqueue.Stop
			}
			passed = append(passed, r)
		}
		return fairqueue.NextEntry
	})
	if found == nil {
		return Result{}, false
	}
	if err == nil {
		for _, r := range passed {
			r.passed++
		}
	}
	return c.finish(now, found, choice, err), true
}

// bound refuses a request that has just begun to wait if it can't begin in time, or the worst request if
// too many wait.
func (c *Core) bound(now time.Time, r *request, out []Result) []Result {
	q := r.queue
	predicted := c.chooser.DrainTime(q.service, q.shard, q.fair.Ahead(r.entry))
	if !now.Add(predicted + predicted/predictionMargin).Before(r.latest) {
		return append(out, c.refuse(now, r, Refused))
	}
	var worst *fairqueue.Entry[*request]
	switch {
	case q.fair.AccountLen(r.work.Account) > c.cfg.PerAccount:
		worst = q.fair.Last(r.work.Account)
	case q.fair.Len() > c.cfg.PerShard:
		worst = q.fair.Worst()
	default:
		return out
	}
	outcome := PushedOut
	if worst.Value == r {
		outcome = Full
	}
	return append(out, c.refuse(now, worst.Value, outcome))
}

// restriction returns a hash of the restrictions on the servers that may get w; 0 if all may.
func restriction(w *balance.Work) uint64 {
	if len(w.Exclude) == 0 && !w.Restricted() {
		return 0
	}
	h := fnv.New64a()
	add := func(s string) {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	for _, inc := range w.Exclude {
		add(inc.ID)
		add(strconv.FormatUint(inc.Started, 16))
	}
	add("regions")
	for _, r := range w.Regions {
		add(r)
	}
	add("versions")
	for _, v := range w.Versions {
		add(v)
	}
	return max(h.Sum64(), 1)
}

// sizeOf returns how many tokens of an engine's memory a request needs as its caller expects it, its cached
// parts included; 0 for plain services, all of whose requests need the same.
func sizeOf(w *balance.Work) uint64 {
	if !w.Engine {
		return 0
	}
	output := w.OutputTokens
	if output == 0 {
		output = w.OutputCap
	}
	return w.PromptTokens + min(output, math.MaxUint64-w.PromptTokens)
}
