// Package quarantine binds package quarantine to a host: it finds out whether a server ended
// under a request, tells all hosts, has the owner of a request admit its runs one at a time,
// and brings a host that starts, or that was cut off, up to date.
//
// What one host sees is told at once by package news. Each host besides compares what it knows
// with another host's once a second, so whatever was lost or missed arrives as well. A host
// with a disk keeps all of it there: it lasts through a loss of all hosts at once.
//
// The owner of a request is the host that ranks first for its fingerprint, so requests that
// nothing is held against cost no message.
package quarantine

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/quarantine"
)

const (
	// callTimeout bounds one call for admission; it takes a few milliseconds.
	callTimeout = 150 * time.Millisecond
	// waitFor and waitStep bound how long a request waits for another run of the same one.
	waitFor  = 500 * time.Millisecond
	waitStep = 20 * time.Millisecond
	// endedKept is how long the end of a run of a server explains broken connections to it.
	endedKept = 30 * time.Second
	// noDeadline bounds a run whose request has no deadline.
	noDeadline = time.Minute
)

// Owners finds the owner of a request; *owners.Table implements it.
type Owners interface {
	Of(key string, n int) []owners.Host
	Unanswered(host string)
	Answered(host string)
}

// Store keeps what is known over the end of a process.
type Store interface {
	Load() ([]*pb.Suspect, error)
	Save([]*pb.Suspect) error
}

// Config of a Guard.
type Config struct {
	// Host is this host's name, Run that of this run of it.
	Host, Run string
	Owners    Owners
	Client    func(address string) pb.PeerClient
	// Peers are the peer addresses of hosts to learn from.
	Peers func() []string
	// Tell tells all hosts.
	Tell func(*pb.Suspect)
	// Answers tells whether a server answers at all, in any way.
	Answers func(ctx context.Context, address, path string) bool
	// Store is nil on hosts without a disk.
	Store Store
	Log   zerolog.Logger
}

// Guard implements filter.Quarantine. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	passes  atomic.Uint64
	synced  atomic.Bool
	metrics metrics
	// behind is what goes on after its request has ended.
	behind sync.WaitGroup

	mu    sync.Mutex
	table *quarantine.Table
	// ended are the runs of servers that were found to have ended, and when that was seen first.
	ended map[instance.Incarnation]time.Time
	// probes are the questions to servers under way.
	probes map[instance.Incarnation]*probe
	// saved is the version of the table in the store.
	saved uint64
}

var _ filter.Quarantine = (*Guard)(nil)

// New makes a guard with what its store holds. A store that can't be read is logged: the other
// hosts know what was in it.
func New(cfg Config) *Guard {
	g := &Guard{
		cfg: cfg, table: quarantine.NewTable(), ended: make(map[instance.Incarnation]time.Time),
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
	g.saved = g.table.Version()
	g.synced.Store(true)
	g.cfg.Log.Info().Str("event", "suspects-loaded").Int("suspects", len(states)).Send()
}

// Key of a request among the keys that hosts own.
func Key(id quarantine.ID) string { return "suspects/" + id.Account + "/" + id.Fingerprint.String() }

// Admit implements filter.Quarantine.
func (g *Guard) Admit(ctx context.Context, id quarantine.ID) (filter.Admission, error) {
	p := g.newPass(id)
	if err := p.admit(ctx); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// AdmitResumed implements filter.Quarantine.
func (g *Guard) AdmitResumed(id quarantine.ID) filter.Admission { return g.newPass(id) }

func (g *Guard) newPass(id quarantine.ID) *pass {
	return &pass{g: g, id: id, name: g.cfg.Run + "/" + strconv.FormatUint(g.passes.Add(1), 10)}
}

// standing of a request as this host knows it.
func (g *Guard) standing(id quarantine.ID) quarantine.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Status(time.Now(), id)
}

// decide has this host decide on a run.
func (g *Guard) decide(id quarantine.ID, name string, lifetime time.Duration) quarantine.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Admit(time.Now(), id, name, lifetime)
}

// change has the table take something, and tells all hosts if it is news.
func (g *Guard) change(id quarantine.ID, take func(now time.Time, t *quarantine.Table) bool) bool {
	s := g.changeHere(id, take)
	if s == nil {
		return false
	}
	g.tell(s)
	return true
}

func (g *Guard) changeHere(id quarantine.ID, take func(now time.Time, t *quarantine.Table) bool) *pb.Suspect {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !take(now, g.table) {
		return nil
	}
	return g.table.Suspect(now, id)
}

// tell tells all hosts of a change, and logs it.
func (g *Guard) tell(s *pb.Suspect) {
	g.logChange(s, "here")
	g.cfg.Tell(s)
}

// crashed notes the end of a server under a request.
func (g *Guard) crashed(id quarantine.ID, b filter.ConnectionLoss) {
	if g.change(id, func(now time.Time, t *quarantine.Table) bool { return t.RecordCrash(now, id, b.Incarnation, g.cfg.Host, b.OtherRequests) }) {
		g.metrics.crashes.Add(1)
	}
}

// tried notes that a trial has reached a server.
func (g *Guard) tried(id quarantine.ID, name string) {
	g.change(id, func(now time.Time, t *quarantine.Table) bool { return t.RecordTrial(now, id, name) })
}

// clear takes that a request was answered, or released by an operator.
func (g *Guard) clear(id quarantine.ID) bool {
	cleared := g.change(id, func(now time.Time, t *quarantine.Table) bool { return t.Clear(now, id) })
	if cleared {
		g.metrics.cleared.Add(1)
	}
	return cleared
}

// logChange writes what is known of a request after a change; from is where it was heard.
func (g *Guard) logChange(s *pb.Suspect, from string) {
	id, _ := quarantine.IDFromProto(s)
	st := g.standing(id)
	g.cfg.Log.Info().Str("event", "suspect-changed").Str("account", id.Account).Stringer("fingerprint", id.Fingerprint).
		Str("level", string(st.Level)).Int("crashes", st.Crashes).Int("trials", st.Trials).Str("reporter", st.Reporter).
		Dur("last_crash_ago", st.LastCrash).Uint64("epoch", s.GetEpoch()).Str("from", from).Send()
}

// refused is the answer to a request that may not run now.
func refused(st quarantine.Status, v quarantine.Verdict) error {
	if v.Decision == quarantine.Wait {
		return errkind.New(errkind.RequestQuarantined, "a server crashed under this request, and it is being run elsewhere").After(v.After)
	}
	return errkind.New(errkind.RequestQuarantined, "%d servers crashed while they ran this request", st.Crashes).After(v.After)
}
