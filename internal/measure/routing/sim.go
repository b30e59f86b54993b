package routing

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/backend"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// The timing of the simulation.
const (
	tick          = 20 * time.Millisecond
	announceEvery = 500 * time.Millisecond
	// faultAt is when servers are lost.
	faultAt = 25 * time.Second
	// noticeLoss is how long after that hosts detect that their connections broke.
	noticeLoss = 500 * time.Millisecond
	eventDelay = 200 * time.Millisecond
	maxRun     = 10 * time.Minute
)

// fault describes the faults that are injected into a run.
type fault struct {
	name     string
	servers  int           // number of model servers that are lost
	zone     bool          // all servers in the first zone are lost
	lag      time.Duration // delay of load reports
	gapShare float64       // share of cache events that are lost
}

var faults = []fault{
	{name: "none"},
	{name: "lost server", servers: 1},
	{name: "lost zone", zone: true},
	{name: "reports 5 s late", lag: 5 * time.Second},
	{name: "events 20% lost", gapShare: 0.2},
}

// router is a policy under measurement.
type router interface {
	arrive(now time.Duration, j *job)
	// tick is called once per step, after the servers.
	tick(now time.Duration)
	// ended is called when j has left its server. whole is true if j has completed.
	ended(now time.Duration, j *job, whole bool)
	// first is called when j has its first token.
	first(now time.Duration, j *job)
	// lost is called when j's server is lost.
	lost(now time.Duration, j *job)
	announce(now time.Duration, host int, st *pb.ServerState)
	heartbeat(now time.Duration)
	event(now time.Duration, ev backend.CacheEvent)
}

// sim is one simulation run.
type sim struct {
	site    site
	fault   fault
	rng     *rand.Rand
	servers []*server
	byAddr  map[string]*server
	running []*job
	broken  []*job
	jobs    []*job
	router  router
	wasted  float64
	events  []timedEvent
	evSeq   []uint64
	ticks   int
	// settled is the number of jobs at the start of jobs that all have a result.
	settled int
}

type timedEvent struct {
	at time.Duration
	ev backend.CacheEvent
}

// epoch is the wall-clock time at virtual time 0.
var epoch = time.Unix(1_000_000, 0)

func wall(t time.Duration) time.Time { return epoch.Add(t) }

func sortByArrival(jobs []*job) {
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrive, b.arrive) })
	for i, j := range jobs {
		j.id = i + 1
	}
}

func newSim(s site, f fault, jobs []*job, seed int64) *sim {
	m := &sim{site: s, fault: f, jobs: jobs, rng: rand.New(rand.NewSource(seed)), byAddr: make(map[string]*server)}
	for i := range s.models + s.services {
		sv := newServer(i, fmt.Sprintf("10.0.0.%d:80", i+1), s.zones[i%len(s.zones)], i < s.models)
		m.servers = append(m.servers, sv)
		m.byAddr[sv.address] = sv
	}
	m.evSeq = make([]uint64, len(m.servers))
	return m
}

func (m *sim) hostZone(h int) string { return m.site.zones[h%len(m.site.zones)] }

// way returns the round-trip time between a job's host and a server.
func (m *sim) way(j *job, s *server) time.Duration {
	if m.hostZone(j.host) == s.zone {
		return 0
	}
	return 2 * m.site.delay
}

// dispatch sends j to a server.
func (m *sim) dispatch(j *job, s *server) {
	j.server, j.running, j.made, j.firstAt, j.toFill = s.index, true, 0, 0, 0
	j.attempts++
	j.place = len(m.running)
	m.running = append(m.running, j)
	if s.dead {
		m.broken = append(m.broken, j)
		return
	}
	s.queue = append(s.queue, j)
}

func (m *sim) run(r router) {
	m.router = r
	next := 0
	for now := time.Duration(0); now < maxRun; now += tick {
		m.announceAll(now)
		for next < len(m.jobs) && m.jobs[next].arrive <= now {
			r.arrive(now, m.jobs[next])
			next++
		}
		m.work(now)
		r.tick(now)
		if m.finished() {
			return
		}
	}
}

func (m *sim) finished() bool {
	for m.settled < len(m.jobs) && m.jobs[m.settled].result != open {
		m.settled++
	}
	return m.settled == len(m.jobs) || m.jobs[m.settled].arrive >= countUntil
}

func (m *sim) announceAll(now time.Duration) {
	if now%announceEvery == 0 {
		for _, s := range m.servers {
			if !s.dead {
				m.router.announce(now, m.rng.Intn(m.site.hosts), s.announce(now, m.fault.lag))
			}
		}
		m.router.heartbeat(now)
	}
	for len(m.events) > 0 && m.events[0].at <= now {
		m.router.event(now, m.events[0].ev)
		m.events = m.events[1:]
	}
}

// work simulates one tick of the servers and notifies the router of the outcomes.
func (m *sim) work(now time.Duration) {
	m.ticks++
	if now == faultAt {
		m.lose()
	}
	end := now + tick
	for _, s := range m.servers {
		if s.dead {
			continue
		}
		for _, j := range s.run(end, tick) {
			m.end(j)
			j.result = inTime
			if end+m.way(j, s) > j.deadline {
				j.result = late
				m.wasted += j.made
			}
			m.router.ended(end, j, true)
		}
		m.cacheEvents(end, s)
	}
	m.breakLost(end)
	for _, j := range slices.Clone(m.running) {
		if j.firstAt == end {
			m.router.first(end, j)
		}
		if j.running && end >= j.deadline {
			m.cut(end, j)
		}
	}
}

// cut cancels a running job whose deadline has passed.
func (m *sim) cut(now time.Duration, j *job) {
	m.servers[j.server].drop(j)
	m.wasted += j.made
	m.end(j)
	j.result = late
	m.router.ended(now, j, false)
}

func (m *sim) end(j *job) {
	j.running = false
	last := len(m.running) - 1
	m.running[j.place] = m.running[last]
	m.running[j.place].place = j.place
	m.running = m.running[:last]
}

func (m *sim) lose() {
	for i, s := range m.servers {
		if (m.fault.servers > 0 && i < m.fault.servers) || (m.fault.zone && s.zone == m.site.zones[0]) {
			s.dead = true
			m.broken = append(m.broken, s.active...)
			m.broken = append(m.broken, s.queue...)
		}
	}
}

// breakLost notifies the router of requests on lost servers as soon as hosts can detect the loss.
func (m *sim) breakLost(now time.Duration) {
	if now < faultAt+noticeLoss {
		return
	}
	broken := m.broken
	m.broken = nil
	for _, j := range broken {
		if !j.running {
			continue
		}
		m.wasted += j.made
		m.end(j)
		m.router.lost(now, j)
	}
}

func (m *sim) cacheEvents(now time.Duration, s *server) {
	c := &s.cache
	if len(c.stored)+len(c.removed) == 0 {
		return
	}
	m.evSeq[s.index]++
	ev := backend.CacheEvent{Server: s.address, Incarnation: 1, Seq: m.evSeq[s.index], Stored: c.stored, Removed: c.removed}
	c.stored, c.removed = nil, nil
	if m.rng.Float64() < m.fault.gapShare {
		return
	}
	m.events = append(m.events, timedEvent{now + eventDelay, ev})
}
