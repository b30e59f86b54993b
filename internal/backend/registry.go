// Package backend is a host's registry of backend servers. Servers announce themselves to any
// host, and hosts forward the announcements in their heartbeats. The registry tracks which servers
// may get new requests, how loaded each one is, how fast it runs and which prompt prefixes it has
// cached. The package is pure: the caller passes the time in and serializes the calls.
package backend

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Default values of Config.
const (
	// DefaultLapse leaves half a second, for differences between clocks and for scheduling, of the
	// two seconds after which no host may send new requests to a server that left.
	DefaultLapse       = 1500 * time.Millisecond
	DefaultForget      = time.Minute
	DefaultCacheBlocks = 1024
)

// TransitUnknown is the transit time for Merge when nothing bounds it, as for the states in a
// heartbeat that a peer sent unasked.
const TransitUnknown time.Duration = -1

// Config configures the registry; zero fields get the defaults.
type Config struct {
	// Lapse is the age at which an announcement lapses: the server gets no new requests.
	Lapse time.Duration
	// Forget is the age of the last announcement at which a server is dropped from memory.
	Forget time.Duration
	// CacheBlocks bounds the prefix blocks kept per server.
	CacheBlocks int
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Lapse, DefaultLapse)
	defaults.Set(&c.Forget, DefaultForget)
	defaults.Set(&c.CacheBlocks, DefaultCacheBlocks)
	return c
}

// Kind is the kind of a target.
type Kind uint8

// Target kinds.
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
	// evacuated holds the evacuated availability zones.
	evacuated map[string]bool
	changes   uint64
	// dirty reports that byTarget is outdated. It is rebuilt at the next read, so that a burst of
	// new servers, for example at the start of a host, causes one rebuild.
	dirty bool
	// log holds the addresses of the servers in the order of their last change.
	log *changelog.Log
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		cfg:      cfg.withDefaults(),
		servers:  make(map[string]*Server),
		byTarget: make(map[Target][]*Server),
		log:      changelog.New(),
	}
}

// Announce applies an announcement that a server sent to this host. It returns false if it is not
// newer than the known one.
func (r *Registry) Announce(now time.Time, st *pb.ServerState) bool {
	return r.apply(now, st, "")
}

// Merge applies the states that the host from reports. transit is an upper bound of their transit time: for
// states in a reply the whole round trip. With TransitUnknown only the information that a server is
// leaving is applied, which cannot be wrong when it is late.
//
// Without that restriction, a heartbeat delayed by the network would make a server that left seconds
// ago look fresh, and this host would send it new requests.
func (r *Registry) Merge(now time.Time, transit time.Duration, states []*pb.ServerState, from string) {
	for _, st := range states {
		if transit < 0 {
			r.noteLeaving(st, from)
			continue
		}
		age := time.Duration(max(st.GetAgeMs(), 0))*time.Millisecond + transit
		if age >= r.cfg.Forget {
			continue
		}
		r.apply(now.Add(-age), st, from)
	}
}

// noteLeaving marks a known server as leaving if st reports that.
func (r *Registry) noteLeaving(st *pb.ServerState, from string) {
	s := r.servers[st.GetAddress()]
	if s == nil || !st.GetLeaving() || st.GetIncarnation() < s.state.GetIncarnation() {
		return
	}
	// A newer incarnation that is already leaving implies that the older one has ended.
	known := s.leaving
	s.leaving = true
	s.leavingIncarnation = max(s.leavingIncarnation, st.GetIncarnation())
	if !known {
		r.record(s, from)
	}
}

// apply stores st if it is newer than the known state. announced is when it reached the first host.
func (r *Registry) apply(announced time.Time, st *pb.ServerState, from string) bool {
	if st.GetAddress() == "" {
		return false
	}
	leftBefore := r.leaving(st.GetAddress())
	newer := r.store(announced, st)
	if newer || r.leaving(st.GetAddress()) != leftBefore {
		r.record(r.servers[st.GetAddress()], from)
	}
	return newer
}

func (r *Registry) leaving(address string) bool {
	s := r.servers[address]
	return s != nil && s.leaving
}

// store applies st and returns false if it is not newer than the known state.
func (r *Registry) store(announced time.Time, st *pb.ServerState) bool {
	s := r.servers[st.GetAddress()]
	if s == nil {
		s = newServer(st, announced, r.cfg.CacheBlocks)
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
		s.restart(st, announced)
		return true
	}
	// Announcements may arrive out of order: leaving counts even in an older one.
	s.leaving = s.leaving || st.GetLeaving()
	if st.GetSeq() <= known.GetSeq() {
		return false
	}
	r.dirty = r.dirty || !sameTargets(st, known)
	s.update(st, announced)
	return true
}

func sameTargets(a, b *pb.ServerState) bool {
	return slices.Equal(a.GetModels(), b.GetModels()) && slices.Equal(a.GetServices(), b.GetServices())
}

// reindex rebuilds the lists per target if they are outdated.
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

// Expire drops servers without an announcement for Forget. Call it periodically.
func (r *Registry) Expire(now time.Time) {
	for addr, s := range r.servers {
		if now.Sub(s.announcedAt) >= r.cfg.Forget && s.OwnInFlight() == 0 {
			delete(r.servers, addr)
			r.log.Remove(addr)
			r.dirty = true
		}
	}
}

// Serving returns the servers that announce t, usable or not, ordered by address. The list is valid
// until the next change and must not be modified.
func (r *Registry) Serving(t Target) []*Server {
	r.reindex()
	return r.byTarget[t]
}

// Server returns a server by address.
func (r *Registry) Server(addr string) (*Server, bool) {
	s, ok := r.servers[addr]
	return s, ok
}

// Usable reports whether the server at addr may get new requests.
func (r *Registry) Usable(now time.Time, addr string) bool {
	s := r.servers[addr]
	return s != nil && r.UsableServer(now, s)
}

// UsableServer reports whether s may get new requests: it is not leaving, its announcement has not
// lapsed, and its availability zone is not evacuated.
func (r *Registry) UsableServer(now time.Time, s *Server) bool {
	return !s.leaving && now.Sub(s.announcedAt) < r.cfg.Lapse && !r.evacuated[s.state.GetZone()]
}

// SetEvacuated replaces the set of evacuated availability zones. Their servers get no new requests.
// The set must not be changed afterwards.
func (r *Registry) SetEvacuated(zones map[string]bool) { r.evacuated = zones }

// Lapse returns the age at which an announcement lapses.
func (r *Registry) Lapse() time.Duration { return r.cfg.Lapse }

// Snapshot returns all servers ordered by address, with AgeMs as of now, for heartbeats and status.
func (r *Registry) Snapshot(now time.Time) []*pb.ServerState {
	out := make([]*pb.ServerState, 0, len(r.servers))
	for _, s := range r.servers {
		if now.Sub(s.announcedAt) < r.cfg.Forget {
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
