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
	// lossDetectionDelay is the time after faultAt until hosts detect that their connections to
	// the lost servers broke.
	lossDetectionDelay = 500 * time.Millisecond
	eventDelay         = 200 * time.Millisecond
	maxRun             = 10 * time.Minute
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
	// ended is called when j has left its server. completed is false if j was cancelled.
	ended(now time.Duration, j *job, completed bool)
	// firstToken is called when j has its first token.
	firstToken(now time.Duration, j *job)
	// serverLost is called when j's server is lost.
	serverLost(now time.Duration, j *job)
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
	// settled is the length of the longest prefix of jobs that all have a result.
	settled int
}

type timedEvent struct {
	at time.Duration
	ev backend.CacheEvent
}

// epoch is the wall-clock time at virtual time 0.
var epoch = time.Unix(1_000_000, 0)

func wallTime(t time.Duration) time.Time { return epoch.Add(t) }

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

// roundTrip returns the round-trip time between a job's host and a server.
func (m *sim) roundTrip(j *job, s *server) time.Duration {
	if m.hostZone(j.host) == s.zone {
		return 0
	}
	return 2 * m.site.delay
}

// dispatch sends j to a server.
func (m *sim) dispatch(j *job, s *server) {
	j.server, j.running, j.produced, j.firstAt, j.prefillLeft = s.index, true, 0, 0, 0
	j.attempts++
	j.runningIndex = len(m.running)
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
		m.runServers(now)
		r.tick(now)
		if m.finished() {
			return
		}
	}
}

func (m *sim) finished() bool {
	for m.settled < len(m.jobs) && m.jobs[m.settled].result != pending {
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

// runServers simulates one tick of the servers and notifies the router of the outcomes.
func (m *sim) runServers(now time.Duration) {
	m.ticks++
	if now == faultAt {
		m.failServers()
	}
	end := now + tick
	for _, s := range m.servers {
		if s.dead {
			continue
		}
		for _, j := range s.runTick(end, tick) {
			m.removeRunning(j)
			j.result = inTime
			if end+m.roundTrip(j, s) > j.deadline {
				j.result = late
				m.wasted += j.produced
			}
			m.router.ended(end, j, true)
		}
		m.cacheEvents(end, s)
	}
	m.reportLost(end)
	for _, j := range slices.Clone(m.running) {
		if j.firstAt == end {
			m.router.firstToken(end, j)
		}
		if j.running && end >= j.deadline {
			m.cancelLate(end, j)
		}
	}
}

// cancelLate cancels a running job whose deadline has passed.
func (m *sim) cancelLate(now time.Duration, j *job) {
	m.servers[j.server].cancel(j)
	m.wasted += j.produced
	m.removeRunning(j)
	j.result = late
	m.router.ended(now, j, false)
}

func (m *sim) removeRunning(j *job) {
	j.running = false
	last := len(m.running) - 1
	m.running[j.runningIndex] = m.running[last]
	m.running[j.runningIndex].runningIndex = j.runningIndex
	m.running = m.running[:last]
}

func (m *sim) failServers() {
	for i, s := range m.servers {
		if (m.fault.servers > 0 && i < m.fault.servers) || (m.fault.zone && s.zone == m.site.zones[0]) {
			s.dead = true
			m.broken = append(m.broken, s.active...)
			m.broken = append(m.broken, s.queue...)
		}
	}
}

// reportLost notifies the router of requests on lost servers as soon as hosts can detect the loss.
func (m *sim) reportLost(now time.Duration) {
	if now < faultAt+lossDetectionDelay {
		return
	}
	broken := m.broken
	m.broken = nil
	for _, j := range broken {
		if !j.running {
			continue
		}
		m.wasted += j.produced
		m.removeRunning(j)
		m.router.serverLost(now, j)
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
