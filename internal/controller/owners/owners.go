// Package owners finds the hosts that own a key: a budget, a shard of a service's backend
// servers, a server's rate limit or a request fingerprint. The owner of a key is the live
// host that serves callers and ranks first for it by rendezvous hash, so all hosts with
// the same view of the fleet find the same owner without exchanging messages.
//
// No invariant depends on that agreement. Two hosts with different views may find two
// owners for a while. Each of these spends from its own grants and merely knows less of
// what the other one does.
//
// Where hosts tell different capacities, they own keys by weights that all derive from the same capacities.
// The limits of servers are an exception, see Table.Unweighted.
package owners

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/capacity"
	"github.com/bluebellsail/bluebellsail/internal/controller/members"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

const (
	// firstBackoff and maxBackoff bound how long an owner that did not answer is skipped. A
	// host that was killed counts as alive for some heartbeats, and each request that called
	// it in that time would wait for the whole timeout of the call.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = time.Second
)

// backupRanks is how many hosts may replace owners that did not answer. If a sixth of the
// hosts fail, all of three ranks fail at once in one of 250 cases.
//
// The number is bounded because a host whose own link or CPU is overloaded gets no answer in
// time from any host. It would ask one host after the other, and each would reserve tokens of
// the same budget for it: twelve hosts held half of a budget this way.
const backupRanks = 1

// Host is a host that may own keys.
type Host struct {
	Name        string
	Incarnation uint64
	// Address of the host's peer service; empty for this host.
	Address string
}

// Receiver returns the host as a receiver of outbox messages.
func (h Host) Receiver() outbox.Receiver {
	return outbox.Receiver{Host: h.Name, Incarnation: h.Incarnation, Address: h.Address}
}

// Self reports whether h is this host.
func (h Host) Self() bool { return h.Address == "" }

// Config configures a Table.
type Config struct {
	// Self returns this host; ok is false while it can't own a key.
	Self func() (h Host, ok bool)
	// Peers lists the other hosts. It returns the same slice until something changes.
	Peers func() []members.PeerInfo
	// Capacity is what this host may use. Serves is true if it serves callers.
	Capacity capacity.Capacity
	Serves   bool
}

// Table ranks the hosts that may own keys. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu    sync.Mutex
	peers []members.PeerInfo
	self  Host
	// candidates are the hosts that may own keys, by weight; unweighted are the same ones without weights.
	candidates, unweighted rendezvous.Members
	hosts                  map[string]Host
	// alive holds the hosts that are neither suspected nor dead, without weights. serving counts the hosts that
	// serve callers and are not leaving, dead ones included.
	alive   rendezvous.Members
	serving int
	// aliveNames are the names in alive, ordered.
	aliveNames []string
	// views are the values of alive and serving that were current within viewRetention, newest last.
	views     []view
	agreement agreement
	backoffs  map[string]backoff
}

// view is which hosts counted as alive from a time on.
type view struct {
	since   time.Time
	self    string
	alive   rendezvous.Members
	serving int
}

const (
	// viewRetention is how long former views are kept.
	viewRetention = 5 * time.Second
	// maxViews bounds them. If hosts change more often, the oldest ones are dropped, and EachRecent
	// does not cover the whole time.
	maxViews = 32
)

// backoff is the time for which a host that did not answer is skipped.
type backoff struct {
	length time.Duration
	until  time.Time
}

// New returns a Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, backoffs: make(map[string]backoff)}
}

// FirstRanked returns the n hosts that rank first for a key, its owner first; fewer if there are
// not as many. Hosts that did not answer recently are skipped and replaced by at most backupRanks
// further ones.
func (t *Table) FirstRanked(key string, n int) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.answering(t.candidates, key, n)
}

// answering returns the first n of the candidates for a key, as described at FirstRanked; t.mu is held.
func (t *Table) answering(candidates rendezvous.Members, key string, n int) []Host {
	now := time.Now()
	var out []Host
	for _, name := range candidates.First(rendezvous.Hash(key), n+backupRanks) {
		if now.Before(t.backoffs[name].until) {
			continue
		}
		if out = append(out, t.hosts[name]); len(out) == n {
			break
		}
	}
	return out
}

// Owner returns the host that ranks first for a key, even if it did not answer recently.
func (t *Table) Owner(key string) (Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.owner(t.candidates, key)
}

// owner returns the first of the candidates for a key; t.mu is held.
func (t *Table) owner(candidates rendezvous.Members, key string) (Host, bool) {
	first := candidates.First(rendezvous.Hash(key), 1)
	if len(first) == 0 {
		return Host{}, false
	}
	return t.hosts[first[0]], true
}

// Rank returns this host's rank for a key among the hosts that are neither suspected nor dead, 0 for the
// first, without weights; ok is false if this host can't own keys. Unlike FirstRanked it leaves suspected hosts out:
// decisions by rank must not wait until a failed host counts as dead.
func (t *Table) Rank(key string) (rank int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if t.self.Name == "" {
		return 0, false
	}
	return t.alive.RankOf(t.self.Name, rendezvous.Hash(key))
}

// AliveFraction returns the fraction of the hosts serving callers that are neither suspected nor dead, as
// far as this host knows.
func (t *Table) AliveFraction() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if t.serving == 0 {
		return 1
	}
	return float64(t.alive.Len()) / float64(t.serving)
}

// EachRecent calls f with this host's rank for a key, without weights, and the fraction of hosts alive, in each view that
// was current at some time in the last d; rank is negative if this host could not own the key. It
// returns false if it does not know the views of that whole time.
func (t *Table) EachRecent(key string, d time.Duration, f func(rank int, alive float64)) (complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	since, hash := time.Now().Add(-d), rendezvous.Hash(key)
	for i := len(t.views) - 1; i >= 0; i-- {
		v := &t.views[i]
		rank, ok := v.alive.RankOf(v.self, hash)
		if !ok || v.self == "" {
			rank = -1
		}
		f(rank, float64(v.alive.Len())/float64(max(v.serving, 1)))
		if !v.since.After(since) {
			return true
		}
	}
	return false
}

// isCurrentView reports whether the newest view has the given hosts alive, and this host and the number
// of serving hosts as they are now; t.mu is held.
func (t *Table) isCurrentView(alive []string) bool {
	if len(t.views) == 0 {
		return false
	}
	newest := &t.views[len(t.views)-1]
	return newest.self == t.self.Name && newest.serving == t.serving && slices.Equal(alive, t.aliveNames)
}

// recordView adds the current view to the recent ones and drops those that ended before viewRetention;
// t.mu is held.
func (t *Table) recordView(now time.Time) {
	t.views = append(t.views, view{since: now, self: t.self.Name, alive: t.alive, serving: t.serving})
	first := max(len(t.views)-maxViews, 0)
	for first+1 < len(t.views) && now.Sub(t.views[first+1].since) >= viewRetention {
		first++
	}
	t.views = slices.Delete(t.views, 0, first)
}

// refresh rebuilds the lists of hosts if the hosts have changed; t.mu is held.
func (t *Table) refresh() {
	peers := t.cfg.Peers()
	self, ok := t.cfg.Self()
	if !ok {
		self = Host{}
	}
	if t.hosts == nil || self != t.self || !sameSlice(peers, t.peers) {
		t.build(self, peers)
	}
}

// sameSlice reports whether a and b are the same slice, rather than merely equal.
func sameSlice(a, b []members.PeerInfo) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// build lists the hosts that may own keys; t.mu is held.
func (t *Table) build(self Host, peers []members.PeerInfo) {
	t.peers, t.self = peers, self
	t.hosts = make(map[string]Host, len(peers)+1)
	t.serving = 0
	names := make([]string, 0, len(peers)+1)
	alive := make([]string, 0, len(peers)+1)
	if self.Name != "" {
		alive = append(alive, self.Name)
		t.serving++
		t.hosts[self.Name] = self
		names = append(names, self.Name)
	}
	for _, p := range peers {
		// Suspected hosts stay owners: in a large fleet it takes seconds to refute a suspicion,
		// and each change of an owner strands the tokens that the former one holds. A caller of
		// a failed host finds out by itself.
		if p.CallerAddress == "" || p.PeerAddress == "" || p.Leaving {
			continue
		}
		t.serving++
		if p.Health == pb.HostHealth_HOST_HEALTH_DEAD {
			continue
		}
		t.hosts[p.Host] = Host{Name: p.Host, Incarnation: p.Incarnation, Address: p.PeerAddress}
		names = append(names, p.Host)
		if p.Health == pb.HostHealth_HOST_HEALTH_ALIVE {
			alive = append(alive, p.Host)
		}
	}
	slices.Sort(alive)
	changed := !t.isCurrentView(alive)
	t.unweighted, t.alive, t.aliveNames = rendezvous.New(names), rendezvous.New(alive), alive
	t.candidates = t.unweighted.Weighted(t.weights(names))
	now := time.Now()
	if changed {
		t.recordView(now)
	}
	t.restartAgreement(now, t.viewDigest(alive))
}

// MarkUnanswered records that a host did not answer. The host is skipped for a while.
func (t *Table) MarkUnanswered(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	p := t.backoffs[host]
	if now.Before(p.until) {
		return // a concurrent call has started the backoff already
	}
	p.length = min(max(2*p.length, firstBackoff), maxBackoff)
	p.until = now.Add(p.length)
	t.backoffs[host] = p
}

// MarkAnswered records that a host answered.
func (t *Table) MarkAnswered(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.backoffs, host)
}
