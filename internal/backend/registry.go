// Package backend is a host's registry of backend servers. Servers announce
// themselves to any host; hosts pass on what they heard in their heartbeats. The
// registry says which servers may get new work, how busy each one is, how fast
// it runs and which prompt prefixes it has cached. It is pure: the caller passes
// the time in and serialises the calls.
package backend

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Defaults of Config.
const (
	// DefaultLapse leaves half a second of the two seconds in which no host may send
	// new work to a server that left, for clocks and scheduling.
	DefaultLapse       = 1500 * time.Millisecond
	DefaultForget      = time.Minute
	DefaultCacheBlocks = 1024
)

// TransitUnknown is passed to Merge when nothing bounds how long the states were
// on their way, as with those in a heartbeat that a peer sent by itself.
const TransitUnknown time.Duration = -1

// Config bounds the registry; zero fields get the defaults.
type Config struct {
	// Lapse is the age at which an announcement no longer lets a server get work.
	Lapse time.Duration
	// Forget is the age at which a server is dropped from memory.
	Forget time.Duration
	// CacheBlocks bounds the prefix blocks remembered per server.
	CacheBlocks int
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Lapse, DefaultLapse)
	defaults.Set(&c.Forget, DefaultForget)
	defaults.Set(&c.CacheBlocks, DefaultCacheBlocks)
	return c
}

// Kind is what a target is.
type Kind uint8

// Kinds of targets.
const (
	Model Kind = iota
	Service
)

// Target is a model or a plain service that servers announce.
type Target struct {
	Kind Kind
	Name string
}

// Registry holds the announced backend servers.
type Registry struct {
	cfg      Config
	servers  map[string]*Server
	byTarget map[Target][]*Server
	changes  uint64
	// dirty: byTarget is out of date. It is rebuilt when next read, so that a burst of
	// new servers, as when a host starts, costs one rebuild.
	dirty bool
}

// New makes an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		cfg:      cfg.withDefaults(),
		servers:  make(map[string]*Server),
		byTarget: make(map[Target][]*Server),
	}
}

// Announce takes an announcement that a server sent to this host. It returns
// false if it is older than what is known of the server.
func (r *Registry) Announce(now time.Time, st *pb.ServerState) bool {
	return r.take(now, st)
}

// Merge takes what a peer knows. transit is an upper bound of the time the states
// were on their way: for those in a reply the whole round trip. With TransitUnknown
// only what can't be wrong when late is taken: that a server leaves.
//
// Symptom this prevents: a heartbeat held up in the network makes a server that
// left seconds ago look fresh, and this host sends it new work.
func (r *Registry) Merge(now time.Time, transit time.Duration, states []*pb.ServerState) {
	for _, st := range states {
		if transit < 0 {
			r.noteLeaving(st)
			continue
		}
		age := time.Duration(max(st.GetAgeMs(), 0))*time.Millisecond + transit
		if age >= r.cfg.Forget {
			continue
		}
		r.take(now.Add(-age), st)
	}
}

// noteLeaving marks a known server as leaving if st says so.
func (r *Registry) noteLeaving(st *pb.ServerState) {
	s := r.servers[st.GetAddress()]
	if s == nil || !st.GetLeaving() || st.GetIncarnation() < s.state.GetIncarnation() {
		return
	}
	// A newer incarnation that already leaves also ends the older one.
	s.leaving = true
	s.leavingIncarnation = max(s.leavingIncarnation, st.GetIncarnation())
}

// take stores st, which reached the first host at heard, if it is news.
func (r *Registry) take(heard time.Time, st *pb.ServerState) bool {
	if st.GetAddress() == "" {
		return false
	}
	s := r.servers[st.GetAddress()]
	if s == nil {
		s = newServer(st, heard, r.cfg.CacheBlocks)
		r.servers[st.GetAddress()] = s
		r.dirty = true
		return true
	}
	known := s.state
	switch {
	case st.GetIncarnation() < known.GetIncarnation():
		return false
	case st.GetIncarnation() > known.GetIncarnation():
		r.dirty = r.dirty || !sameTargets(st, known)
		s.restart(st, heard)
		return true
	}
	// Announcements can overtake each other: leaving counts even from an older one.
	s.leaving = s.leaving || st.GetLeaving()
	if st.GetSeq() <= known.GetSeq() {
		return false
	}
	r.dirty = r.dirty || !sameTargets(st, known)
	s.update(st, heard)
	return true
}

func sameTargets(a, b *pb.ServerState) bool {
	return slices.Equal(a.GetModels(), b.GetModels()) && slices.Equal(a.GetServices(), b.GetServices())
}

// reindex rebuilds the lists per target if they are out of date.
func (r *Registry) reindex() {
	if !r.dirty {
		return
	}
	r.dirty = false
	r.changes++
	clear(r.byTarget)
	for _, s := range r.servers {
		for _, m := range s.state.GetModels() {
			t := Target{Model, m}
			r.byTarget[t] = append(r.byTarget[t], s)
		}
		for _, name := range s.state.GetServices() {
			t := Target{Service, name}
			r.byTarget[t] = append(r.byTarget[t], s)
		}
	}
	for _, list := range r.byTarget {
		slices.SortFunc(list, func(a, b *Server) int {
			if a.Address() < b.Address() {
				return -1
			}
			return 1
		})
	}
}

// Changes counts the changes of the lists that Serving returns.
func (r *Registry) Changes() uint64 {
	r.reindex()
	return r.changes
}

// Expire drops servers not heard of for the Forget time. Call it now and then.
func (r *Registry) Expire(now time.Time) {
	for addr, s := range r.servers {
		if now.Sub(s.heard) >= r.cfg.Forget && s.Own() == 0 {
			delete(r.servers, addr)
			r.dirty = true
		}
	}
}

// Serving returns the servers known to serve t, usable or not, in order of
// address. The list is valid until the next change and must not be written to.
func (r *Registry) Serving(t Target) []*Server {
	r.reindex()
	return r.byTarget[t]
}

// Server finds a server by address.
func (r *Registry) Server(addr string) (*Server, bool) {
	s, ok := r.servers[addr]
	return s, ok
}

// Usable tells whether the server at addr may get new work.
func (r *Registry) Usable(now time.Time, addr string) bool {
	s := r.servers[addr]
	return s != nil && r.UsableServer(now, s)
}

// UsableServer tells whether s may get new work: it does not leave and its
// announcement has not lapsed.
func (r *Registry) UsableServer(now time.Time, s *Server) bool {
	return !s.leaving && now.Sub(s.heard) < r.cfg.Lapse
}

// Lapse is the age at which an announcement lapses.
func (r *Registry) Lapse() time.Duration { return r.cfg.Lapse }

// Snapshot returns all servers in order of address, with AgeMs as of now, for
// heartbeats and status.
func (r *Registry) Snapshot(now time.Time) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(r.servers))
	for _, s := range r.servers {
		if now.Sub(s.heard) < r.cfg.Forget {
			out = append(out, s.stateAt(now))
		}
	}
	slices.SortFunc(out, func(a, b *pb.ServerState) int {
		if a.GetAddress() < b.GetAddress() {
			return -1
		}
		return 1
	})
	return out
}
