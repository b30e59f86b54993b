package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
)

const (
	// detection is the longest time until hosts detect that another one stopped or is back.
	detection = 2500 * time.Millisecond
	// avoidTime is how long a host asks no host that did not answer.
	avoidTime = 500 * time.Millisecond
	// maxHop bounds each of the four messages between an admission and the report of a rejection, so
	// that these take at most SettleTime together.
	maxHop = SettleTime / 4
	// callTimeout is how long a host waits for the answer to its request for an admission.
	callTimeout = 2 * maxHop
	// heartbeat is the time between two heartbeats from one host to another in fleets of up to meshHosts.
	heartbeat = 500 * time.Millisecond
	meshHosts = 7
	// minUsed is the percentage of a server's room that must be used while demand exceeds it.
	minUsed = 50
)

// epoch is the start time of the tests.
var epoch = time.Unix(1_000_000, 0)

var server = instance.Incarnation{ID: "s", Started: 1}

// entitlement is the allowance of a host by its view since a time.
type entitlement struct {
	at        time.Time
	allowance int
}

// state is the state of a host as others detect it.
type state struct {
	// side is the side on which it is; down: it is down; left: it was stopped in order.
	side        int
	incarnation int
}

const (
	down = -1
	left = -2
)

// modelHost is a host of the model.
type modelHost struct {
	up bool
	// stopped is set if it was stopped in order.
	stopped bool
	// incarnation counts the starts.
	incarnation int
	owner       *Owner
	lastID      uint64
	// admitted counts the requests that it admitted.
	admitted int
	// view is what this host believes of each host.
	view    []state
	numbers []int
	// viewSince is when the view last changed; agreeing are the hosts that had the same view since then,
	// and agreedAt is when the last of them was heard of.
	viewSince, agreedAt time.Time
	agreeing            map[int]bool
	avoided             []time.Time
	// deniedUntil is when the host may ask again.
	deniedUntil time.Time
	// entitlements are the allowances by its views, oldest first.
	entitlements []entitlement
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelFleet models hosts that send to one brittle server. Host 0 owns it, host 1 ranks next, and so on.
type modelFleet struct {
	rng    *rand.Rand
	now    time.Time
	queue  events
	order  int
	hosts  []*modelHost
	sides  []int
	number int

	tolerated, slots, room int
	// took is how long the server takes for a request, firstAnswer when it shows that it accepted it.
	took, firstAnswer time.Duration
	running           int
	busy              time.Duration
	// rejections are the times of rejections; lost are those of which no report reached the owner.
	rejections, lost []time.Time
	accepted         int
}

func newModelFleet(seed uint64, hosts, tolerated, slots int) *modelFleet {
	f := &modelFleet{
		rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, sides: make([]int, hosts), tolerated: tolerated, slots: slots, room: slots,
		took: 300 * time.Millisecond, firstAnswer: 50 * time.Millisecond,
	}
	for range hosts {
		f.hosts = append(f.hosts, &modelHost{up: true, view: make([]state, hosts), numbers: make([]int, hosts), avoided: make([]time.Time, hosts)})
	}
	for n, h := range f.hosts {
		h.owner = NewOwner()
		h.entitlements = []entitlement{{epoch.Add(-time.Hour), f.entitled(n)}}
		h.agreeing = make(map[int]bool)
	}
	if hosts <= meshHosts {
		f.beat()
	}
	return f
}

// after has do called after a time.
func (f *modelFleet) after(d time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, event{f.now.Add(d), f.order, do})
}

// run lets time pass.
func (f *modelFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// hop returns the time that a message takes.
func (f *modelFleet) hop() time.Duration { return 1 + time.Duration(f.rng.Int64N(int64(maxHop)-1)) }

// stateOf returns the state of a host.
func (f *modelFleet) stateOf(n int) state {
	h := f.hosts[n]
	switch {
	case h.stopped:
		return state{left, h.incarnation}
	case !h.up:
		return state{down, h.incarnation}
	}
	return state{f.sides[n], h.incarnation}
}

// believes reports whether host n believes that it reaches host m.
func (f *modelFleet) believes(n, m int) bool { return n == m || f.hosts[n].view[m].side == f.sides[n] }

// agreed reports whether host n knows that all others have had its view for AgreedTime.
func (f *modelFleet) agreed(n int) bool {
	h := f.hosts[n]
	others := 0
	for m := range f.hosts {
		if m == n || h.view[m].side == left {
			continue
		}
		if others++; !f.believes(n, m) || !h.agreeing[m] {
			return false
		}
	}
	return others > 0 && f.now.Sub(h.agreedAt) >= AgreedTime
}

// sameView reports whether hosts n and m believe the same of all hosts, and that none is down.
func (f *modelFleet) sameView(n, m int) bool {
	for i := range f.hosts {
		a, b := f.viewOf(n, i), f.viewOf(m, i)
		if (a.side == left) != (b.side == left) || a.side != left && (a.incarnation != b.incarnation || !f.believes(n, i) || !f.believes(m, i)) {
			return false
		}
	}
	return true
}

func (f *modelFleet) viewOf(n, m int) state {
	if n == m {
		return f.stateOf(n)
	}
	return f.hosts[n].view[m]
}

// beat has each host send heartbeats to all others, whose replies tell whether they have the same view.
func (f *modelFleet) beat() {
	for n, h := range f.hosts {
		asked, incarnation := f.now, h.incarnation
		for m := range f.hosts {
			if n == m || !h.up {
				continue
			}
			f.after(f.hop(), func() {
				if !f.reaches(n, incarnation, m) {
					return
				}
				same := f.sameView(n, m)
				f.after(f.hop(), func() {
					switch {
					case !f.reaches(n, incarnation, m) || asked.Before(h.viewSince):
					case !same:
						delete(h.agreeing, m)
					case !h.agreeing[m]:
						h.agreeing[m], h.agreedAt = true, f.now
					}
				})
			})
		}
	}
	f.after(heartbeat, f.beat)
}

// entitled returns the allowance of host n by its view.
func (f *modelFleet) entitled(n int) int {
	rank, alive, serving := 0, 0, 0
	for m := range f.hosts {
		if f.hosts[n].view[m].side != left || m == n {
			serving++
		}
		if f.believes(n, m) {
			alive++
			if m < n {
				rank++
			}
		}
	}
	return Allowance(f.tolerated, rank, float64(alive)/float64(serving))
}

// allowance returns the allowance of host n if all hosts agree, else the least one in the last SettledTime.
func (f *modelFleet) allowance(n int) int {
	if f.agreed(n) {
		return f.entitled(n)
	}
	since, least := f.now.Add(-SettledTime), f.tolerated
	e := f.hosts[n].entitlements
	for i := len(e) - 1; i >= 0; i-- {
		least = min(least, e[i].allowance)
		if !e[i].at.After(since) {
			return least
		}
	}
	return 0
}

func (f *modelFleet) viewChanged(n int) {
	h := f.hosts[n]
	h.entitlements = append(h.entitlements, entitlement{f.now, f.entitled(n)})
	h.viewSince, h.agreeing = f.now, make(map[int]bool)
}

// changed has all hosts detect the state of a host later.
func (f *modelFleet) changed(host int) {
	f.number++
	number, now := f.number, f.stateOf(host)
	for viewer, h := range f.hosts {
		f.after(time.Duration(f.rng.Int64N(int64(detection))), func() {
			if h.up && number > h.numbers[host] {
				h.view[host], h.numbers[host] = now, number
				f.viewChanged(viewer)
			}
		})
	}
}

func (f *modelFleet) kill(n int) {
	f.hosts[n].up = false
	f.changed(n)
}

// stop stops a host in order.
func (f *modelFleet) stop(n int) {
	f.hosts[n].stopped = true
	f.kill(n)
}

func (f *modelFleet) start(n int) {
	h := f.hosts[n]
	if h.up {
		f.kill(n)
	}
	h.up, h.stopped, h.owner, h.entitlements, h.deniedUntil = true, false, NewOwner(), nil, time.Time{}
	h.incarnation++
	clear(h.avoided)
	for m := range f.hosts {
		h.view[m], h.numbers[m] = f.stateOf(m), f.number
	}
	f.viewChanged(n)
	f.changed(n)
}

func (f *modelFleet) move(n, side int) {
	f.sides[n] = side
	f.viewChanged(n)
	f.changed(n)
}

// reaches reports whether a message of host n, in an incarnation, reaches host m.
func (f *modelFleet) reaches(n, incarnation, m int) bool {
	return f.hosts[n].up && f.hosts[n].incarnation == incarnation && f.hosts[m].up && f.sides[n] == f.sides[m]
}

// ownerFor returns the host that n asks; -1 if there is none.
func (f *modelFleet) ownerFor(n int) int {
	for m := range f.hosts {
		if f.believes(n, m) && !f.now.Before(f.hosts[n].avoided[m]) {
			return m
		}
	}
	return -1
}

// send has host n send a request, if it is admitted.
func (f *modelFleet) send(n int) {
	h := f.hosts[n]
	m := f.ownerFor(n)
	if !h.up || m < 0 || f.now.Before(h.deniedUntil) {
		return
	}
	h.lastID++
	k, incarnation, asked := Key{fmt.Sprint(n, ".", h.incarnation), h.lastID}, h.incarnation, f.now
	f.after(f.hop(), func() {
		if !f.reaches(n, incarnation, m) {
			h.avoided[m] = f.now.Add(avoidTime)
			return
		}
		ownerIncarnation := f.hosts[m].incarnation
		d := f.hosts[m].owner.Admit(f.now, Request{Incarnation: server, Key: k, Slots: f.slots, Allowance: f.allowance(m), Lifetime: 2 * time.Second})
		if d.Denial == Admitted {
			f.hosts[m].admitted++
		}
		f.after(f.hop(), func() {
			switch {
			case !f.reaches(n, incarnation, m) || f.hosts[m].incarnation != ownerIncarnation || f.now.Sub(asked) > callTimeout:
			case d.Denial != Admitted:
				h.deniedUntil = f.now.Add(d.After)
			default:
				f.after(f.hop(), func() { f.arrive(n, incarnation, m, k) })
			}
		})
	})
}

// arrive has a request of host n arrive at the server; host m has admitted it.
func (f *modelFleet) arrive(n, incarnation, m int, k Key) {
	if f.running >= f.room {
		at := f.now
		f.rejections = append(f.rejections, at)
		f.report(n, incarnation, m, func(o *Owner) { o.Rejected(f.now, server, k) }, func() { f.lost = append(f.lost, at) })
		return
	}
	f.running++
	f.accepted++
	nothing := func() {}
	f.after(f.firstAnswer, func() {
		f.report(n, incarnation, m, func(o *Owner) { o.Accepted(server, k) }, nothing)
	})
	f.after(f.took, func() {
		f.running--
		f.busy += f.took
		f.report(n, incarnation, m, func(o *Owner) { o.Finished(server, k) }, nothing)
	})
}

// report has host n report to the owner m after a message from the server and one between hosts.
func (f *modelFleet) report(n, incarnation, m int, apply func(*Owner), lost func()) {
	ownerIncarnation := f.hosts[m].incarnation
	f.after(f.hop(), func() {
		f.after(f.hop(), func() {
			if !f.reaches(n, incarnation, m) || f.hosts[m].incarnation != ownerIncarnation {
				lost()
				return
			}
			apply(f.hosts[m].owner)
		})
	})
}

// demand has all hosts together send requests at a mean rate for a duration, and lets it pass.
func (f *modelFleet) demand(perSecond float64, d time.Duration) {
	end := f.now.Add(d)
	for perSecond > 0 && f.now.Before(end) {
		f.run(min(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), end.Sub(f.now)))
		f.send(f.rng.IntN(len(f.hosts)))
	}
	f.run(end.Sub(f.now))
}

// excess returns by how many the rejections in any second exceed what is allowed: the tolerated number,
// and those of which the owner did not hear.
func (f *modelFleet) excess() (most int, at time.Time) {
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, t := range times {
			if !t.Before(from) && t.Sub(from) < time.Second {
				n++
			}
		}
		return n
	}
	for _, from := range f.rejections {
		if n := count(f.rejections, from) - count(f.lost, from) - f.tolerated; n > most {
			most, at = n, from
		}
	}
	return most, at
}
