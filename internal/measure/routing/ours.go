package routing

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/sched"
)

// scheduler is the product's router, with one scheduling core per host.
type scheduler struct {
	registries
	cores  []*sched.Core
	queued []map[uint64]*job
	ticket uint64
}

func newScheduler(m *sim, seed int64, cfg sched.Config) router {
	o := &scheduler{registries: newRegistries(m)}
	var names []string
	for h := range m.site.hosts {
		names = append(names, fmt.Sprintf("host-%d", h))
	}
	for h := range m.site.hosts {
		c := cfg
		c.Host, c.Zone, c.ZoneDelay = names[h], m.hostZone(h), m.site.delay
		core := sched.New(c, o.regs[h], rand.New(rand.NewSource(seed+int64(h))))
		core.SetHosts(names)
		o.cores = append(o.cores, core)
		o.queued = append(o.queued, make(map[uint64]*job))
	}
	return o
}

func (o *scheduler) arrive(now time.Duration, j *job) {
	o.ticket++
	j.ticket = o.ticket
	res, decided := o.cores[j.host].Submit(wallTime(now), sched.Work{
		Ticket: j.ticket, Account: j.accountName(), Class: j.class, Target: j.target,
		PromptTokens: uint64(j.prompt), OutputCap: uint64(j.limit), PromptHashes: j.hashes,
		Deadline: wallTime(j.deadline), Exclude: j.exclude,
	})
	o.queued[j.host][j.ticket] = j
	if decided {
		o.apply(j.host, res)
	}
}

func (o *scheduler) apply(host int, res sched.Result) {
	j := o.queued[host][res.Ticket]
	delete(o.queued[host], res.Ticket)
	switch {
	case res.Err == nil:
		o.sim.dispatch(j, o.sim.byAddr[res.Grant.State.GetAddress()])
	case j.attempts > 0:
		j.result = failed
	default:
		j.result = refused
	}
}

func (o *scheduler) tick(now time.Duration) {
	for h := range o.cores {
		o.step(now, h)
	}
}

func (o *scheduler) step(now time.Duration, host int) {
	for _, res := range o.cores[host].Step(wallTime(now + tick)) {
		o.apply(host, res)
	}
}

func (o *scheduler) ended(now time.Duration, j *job, completed bool) {
	o.cores[j.host].Release(wallTime(now), j.ticket, sched.End{Completed: completed, Output: uint64(j.produced)})
}

func (o *scheduler) firstToken(now time.Duration, j *job) {
	o.cores[j.host].FirstToken(j.ticket, now-j.arrive)
}

func (o *scheduler) serverLost(now time.Duration, j *job) {
	o.cores[j.host].Release(wallTime(now), j.ticket, sched.End{})
	j.exclude = append(j.exclude, o.sim.servers[j.server].address)
	o.arrive(now, j)
}

func (o *scheduler) heartbeat(now time.Duration) {
	o.registries.heartbeat(now)
	for i, from := range o.regs {
		work := from.RecentWork()
		for k, to := range o.regs {
			if k != i {
				to.MergeRecentWork(wallTime(now), fmt.Sprintf("host-%d", i), work)
			}
		}
	}
}
