// Package quarantine binds package quarantine to a host: it finds out whether a server crashed
// while it ran a request, notifies all hosts, has the owner of a request admit its executions
// one at a time, and brings a host that starts, or that was partitioned, up to date.
//
// Package news broadcasts each change that a host observes at once. In addition each host
// compares its table with another host's once a second, which repairs lost or missed updates.
// A host with a disk stores its table there, so that it survives a failure of all hosts at
// once.
//
// The owner of a request is the host that ranks first for its fingerprint. Requests that are
// not suspected cost no message.
package quarantine

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

const (
	// callTimeout bounds one call for admission, which takes a few milliseconds.
	callTimeout = 150 * time.Millisecond
	// slotTimeout is how long a request waits for another execution of the same request to end.
	// It asks for admission every slotPollInterval.
	slotTimeout      = 500 * time.Millisecond
	slotPollInterval = 20 * time.Millisecond
	// endedRetention is how long the end of a server's incarnation explains broken connections
	// to it.
	endedRetention = 30 * time.Second
	// defaultLifetime bounds an execution whose request has no deadline.
	defaultLifetime = time.Minute
)

// Owners finds the owner of a request; *owners.Table implements it.
type Owners interface {
	FirstRanked(key string, n int) []owners.Host
	MarkUnanswered(host string)
	MarkAnswered(host string)
}

// Store keeps the suspected requests across restarts of the process.
type Store interface {
	Load() ([]*pb.Suspect, error)
	Save([]*pb.Suspect) error
}

// Config configures a Guard.
type Config struct {
	// Host is this host's name, Incarnation the unique name of its incarnation.
	Host, Incarnation string
	Owners            Owners
	Client            func(address string) pb.PeerClient
	// Peers returns the peer addresses of the hosts to synchronize with.
	Peers func() []string
	// Broadcast notifies all hosts.
	Broadcast func(*pb.Suspect)
	// Replicate broadcasts a change and returns once other hosts hold it; see news.Broadcaster.
	Replicate func(context.Context, *pb.Suspect) error
	// Probe finds out whether a server is alive.
	Probe func(ctx context.Context, address, path string) engineclient.Liveness
	// Store is nil at hosts without a disk.
	Store Store
	Log   zerolog.Logger
}

// Guard implements filter.Quarantine. It is safe for concurrent use.
type Guard struct {
	cfg Config
	// admissions counts the admissions; their numbers are part of their names.
	admissions atomic.Uint64
	synced     atomic.Bool
	metrics    metrics
	// background tracks the goroutines that outlive their requests.
	background sync.WaitGroup

	mu    sync.Mutex
	table *quarantine.Table
	// endedAt maps the incarnations of servers found to have ended to the time when this was first
	// observed.
	endedAt map[instance.Incarnation]time.Time
	// probes holds the probes in progress.
	probes map[instance.Incarnation]*probe
	// savedVersion is the version of the table in the store.
	savedVersion uint64
}

var _ filter.Quarantine = (*Guard)(nil)

// New returns a Guard with the contents of its store. A store that can't be read is only logged,
// since the other hosts know its contents.
func New(cfg Config) *Guard {
	g := &Guard{
		cfg: cfg, table: quarantine.NewTable(), endedAt: make(map[instance.Incarnation]time.Time),
		probes: make(map[instance.Incarnation]*probe),
	}
	g.metrics.init()
	if cfg.Store != nil {
		g.load()
	}
	return g
}

func (g *Guard) load() {
	states, err := g.cfg.Store.Load()
	if err != nil {
		g.cfg.Log.Warn().Str("event", "suspects-unreadable").Err(err).Send()
		return
	}
	for _, s := range states {
		g.table.Merge(time.Now(), s)
	}
	g.savedVersion = g.table.Version()
	g.synced.Store(true)
	g.cfg.Log.Info().Str("event", "suspects-loaded").Int("suspects", len(states)).Send()
}

// Key returns the key by which hosts are ranked as owners of a request.
func Key(id quarantine.ID) string { return "suspects/" + id.Account + "/" + id.Fingerprint.String() }

// Admit implements filter.Quarantine.
func (g *Guard) Admit(ctx context.Context, r quarantine.Request) (filter.Admission, error) {
	a := g.newAdmission(r)
	if err := a.admit(ctx); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// AdmitResumed implements filter.Quarantine.
func (g *Guard) AdmitResumed(r quarantine.Request) filter.Admission { return g.newAdmission(r) }

func (g *Guard) newAdmission(r quarantine.Request) *admission {
	return &admission{g: g, request: r, name: g.cfg.Incarnation + "/" + strconv.FormatUint(g.admissions.Add(1), 10)}
}

// restrictions returns a request's restrictions as this host knows them, and the version of the table.
func (g *Guard) restrictions(r quarantine.Request) ([]quarantine.Restriction, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Restrictions(time.Now(), r), g.table.Version()
}

// statusIn returns the quarantine status of a request, or of a part in a request, as this host knows it.
func (g *Guard) statusIn(id quarantine.ID, r quarantine.Request) quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.StatusIn(time.Now(), id, r)
}

func (g *Guard) status(id quarantine.ID) quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Status(time.Now(), id)
}

func (g *Guard) version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Version()
}

// unproved reports whether a request has parts of which this host does not know that a server with the given
// software has answered them.
func (g *Guard) unproved(r quarantine.Request, software string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Unproved(time.Now(), r, software)
}

// decide decides at this host whether an execution is admitted.
func (g *Guard) decide(q quarantine.Query) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Admit(time.Now(), q)
}

// update applies a change to the table and, if the table has changed, notifies all hosts.
func (g *Guard) update(id quarantine.ID, apply func(now time.Time, t *quarantine.Table) bool) bool {
	s := g.updateTable(id, apply)
	if s == nil {
		return false
	}
	g.broadcast(s)
	return true
}

func (g *Guard) updateTable(id quarantine.ID, apply func(now time.Time, t *quarantine.Table) bool) *pb.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !apply(now, g.table) {
		return nil
	}
	return g.table.Suspect(now, id)
}

// broadcast notifies all hosts of a change and logs it.
func (g *Guard) broadcast(s *pb.Suspect) {
	g.logChange(s, "here")
	g.cfg.Broadcast(s)
}

// recordCrash records that a server crashed while it ran a request, against the request and its unproved
// parts.
func (g *Guard) recordCrash(r quarantine.Request, b filter.ConnectionLoss) {
	full := b.MemoryFull != nil && b.MemoryFull()
	if full {
		g.metrics.atFullMemory.Add(1)
		g.cfg.Log.Info().Str("event", "crash-at-full-memory").Str("request", b.RequestID).Str("server", b.Incarnation.ID).
			Uint64("incarnation", b.Incarnation.Started).Send()
	}
	if g.update(r.ID, func(now time.Time, t *quarantine.Table) bool {
		if full {
			return t.RecordCrashAtFullMemory(now, r.ID, b.Incarnation, g.cfg.Host, b.OtherRequests)
		}
		return t.RecordCrash(now, r.ID, b.Incarnation, g.cfg.Host, b.OtherRequests)
	}) {
		g.metrics.crashes.Add(1)
	}
	if len(r.Parts) == 0 {
		return
	}
	accused := g.updateParts(func(now time.Time, t *quarantine.Table) []quarantine.ID {
		return t.RecordPartCrashes(now, r, quarantine.Crash{
			Incarnation: b.Incarnation, Host: g.cfg.Host, Others: b.OtherRequests, Software: b.Software, Begun: b.Output,
			MemoryFull: full,
		})
	})
	g.cfg.Log.Info().Str("event", "parts-accused").Str("request", b.RequestID).Str("server", b.Incarnation.ID).Str("software", b.Software).Bool("begun", b.Output).
		Str("accused", partList(accused)).Int("proved", len(r.Parts)-len(accused)).Send()
}

// recordAnswer records that a server has answered a request with output.
func (g *Guard) recordAnswer(r quarantine.Request, software string) {
	if len(r.Parts) == 0 {
		return
	}
	cleared := g.updateParts(func(now time.Time, t *quarantine.Table) []quarantine.ID { return t.RecordAnswer(now, r, software) })
	g.metrics.cleared.Add(int64(len(cleared)))
}

// updateParts applies a change to the table and notifies all hosts of the parts that it returns.
func (g *Guard) updateParts(apply func(now time.Time, t *quarantine.Table) []quarantine.ID) []quarantine.ID {
	ids, changed := g.updatePartsTable(apply)
	for _, s := range changed {
		g.broadcast(s)
	}
	return ids
}

func (g *Guard) updatePartsTable(apply func(now time.Time, t *quarantine.Table) []quarantine.ID) (ids []quarantine.ID, changed []*pb.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	ids = apply(now, g.table)
	for _, id := range ids {
		changed = append(changed, g.table.Suspect(now, id))
	}
	return ids, changed
}

// recordTrial records that a trial has reached a server.
func (g *Guard) recordTrial(id quarantine.ID, name string) {
	g.update(id, func(now time.Time, t *quarantine.Table) bool { return t.RecordTrial(now, id, name) })
}

// clear removes all records about a request that was answered, or released by an operator.
func (g *Guard) clear(id quarantine.ID) bool {
	cleared := g.update(id, func(now time.Time, t *quarantine.Table) bool { return t.Clear(now, id) })
	if cleared {
		g.metrics.cleared.Add(1)
	}
	return cleared
}

// logChange logs the state of a request after a change; from is the source of the change.
func (g *Guard) logChange(s *pb.Suspect, from string) {
	id, _ := quarantine.IDFromProto(s)
	st := g.status(id)
	event := g.cfg.Log.Info().Str("event", "suspect-changed").Str("account", s.GetAccount()).Stringer("fingerprint", id.Fingerprint).
		Str("level", string(st.Level)).Int("crashes", st.Crashes).Int("trials", st.Trials).Str("reporter", st.Reporter).
		Dur("last_crash_ago", st.LastCrash).Uint64("epoch", s.GetEpoch()).Str("from", from)
	logPart(event, id).Send()
}

// logPart adds the part of prompts that an ID is of to a log line, if it is of one.
func logPart(event *zerolog.Event, id quarantine.ID) *zerolog.Event {
	if part, ok := id.Fingerprint.Part(); ok {
		return event.Str("part", formatPart(part))
	}
	return event
}

// formatPart formats a part as the line of a request does.
func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// partList formats the parts of prompts that IDs are of.
func partList(ids []quarantine.ID) string {
	var parts []string
	for _, id := range ids {
		part, _ := id.Fingerprint.Part()
		parts = append(parts, formatPart(part))
	}
	return strings.Join(parts, ",")
}

// refusal returns the error for a request that must not run now because of a restriction.
func refusal(r quarantine.Restriction, v quarantine.Verdict) error {
	what := "this request"
	if part, ok := r.ID.Fingerprint.Part(); ok {
		what = "requests with part " + formatPart(part) + " of its prompt"
	}
	if v.Decision == quarantine.Wait {
		return errkind.New(errkind.RequestQuarantined, "a server crashed while it ran %s, and another execution is in progress", what).After(v.After)
	}
	return errkind.New(errkind.RequestQuarantined, "%d servers crashed while they ran %s", r.Status.Crashes, what).After(v.After)
}
