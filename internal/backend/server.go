package backend

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Server is one backend server as this host knows it.
type Server struct {
	state              *pb.ServerState
	announcedAt        time.Time // latest time at which the announcement can have reached the first host
	leaving            bool
	leavingIncarnation uint64
	// cooldownUntil is the end of the server's cooldown for this host.
	cooldownUntil time.Time
	load          load
	cache         cache
	speed         speed
}

func newServer(st *pb.ServerState, announced time.Time, cacheBlocks int) *Server {
	s := &Server{state: st, announcedAt: announced, leaving: st.GetLeaving()}
	s.cache = newCache(cacheBlocks)
	s.speed.announce(st)
	s.load.report(loadTime(st, announced), st)
	return s
}

// loadTime returns when the server measured the load that it reports.
func loadTime(st *pb.ServerState, announced time.Time) time.Time {
	return announced.Add(-time.Duration(max(st.GetLoadAgeMs(), 0)) * time.Millisecond)
}

// restart begins a new incarnation: nothing known of the former one applies. This host's requests in
// flight stay counted until they are reported as ended.
func (s *Server) restart(st *pb.ServerState, announced time.Time) {
	s.state = st
	s.announcedAt = announced
	s.cooldownUntil = time.Time{}
	s.leaving = st.GetLeaving() || s.leavingIncarnation >= st.GetIncarnation()
	s.cache = newCache(s.cache.limit)
	s.speed = speed{}
	s.speed.announce(st)
	s.load.report(loadTime(st, announced), st)
}

func (s *Server) update(st *pb.ServerState, announced time.Time) {
	s.cache.announced(st.GetCacheSeq())
	s.state = st
	if announced.After(s.announcedAt) {
		s.announcedAt = announced
	}
	s.speed.announce(st)
	s.load.report(loadTime(st, announced), st)
}

// Address returns the address of the server.
func (s *Server) Address() string { return s.state.GetAddress() }

// State returns the last announcement; it must not be modified.
func (s *Server) State() *pb.ServerState { return s.state }

// Leaving reports whether the server has announced that it is leaving.
func (s *Server) Leaving() bool { return s.leaving }

// StartCooldown starts a cooldown: the server gets no request from this host before until. A cooldown
// that is still running is never shortened. It returns whether the server was not cooling down before.
func (s *Server) StartCooldown(now, until time.Time) (began bool) {
	began = !s.CoolingDown(now)
	if until.After(s.cooldownUntil) {
		s.cooldownUntil = until
	}
	return began
}

// CoolingDown reports whether the server cools down for this host.
func (s *Server) CoolingDown(now time.Time) bool { return now.Before(s.cooldownUntil) }

// CooldownLeft returns the rest of the server's cooldown for this host.
func (s *Server) CooldownLeft(now time.Time) time.Duration { return max(s.cooldownUntil.Sub(now), 0) }

// Slots returns the number of requests that the server runs at once; at least 1.
func (s *Server) Slots() int { return max(int(s.state.GetSlots()), 1) }

// stateAt copies the announcement with its age as of now, rounded up so that a peer never considers
// it fresher than it is.
func (s *Server) stateAt(now time.Time) *pb.ServerState {
	st := s.state
	age := now.Sub(s.announcedAt) + time.Millisecond - 1
	return &pb.ServerState{
		Address: st.GetAddress(), Incarnation: st.GetIncarnation(), Seq: st.GetSeq(), Zone: st.GetZone(),
		Pool: st.GetPool(), Models: st.GetModels(), Services: st.GetServices(), Adapters: st.GetAdapters(),
		Leaving: s.leaving, ChecksFence: st.GetChecksFence(), AgeMs: max(age.Milliseconds(), 0),
		Running: st.GetRunning(), Waiting: st.GetWaiting(), Slots: st.GetSlots(),
		TokensPerSecond: st.GetTokensPerSecond(), PrefillPerSecond: st.GetPrefillPerSecond(),
		Role: st.GetRole(), LoadAgeMs: st.GetLoadAgeMs(), Resumes: st.GetResumes(), MovesKv: st.GetMovesKv(),
		CacheSeq: st.GetCacheSeq(),
	}
}
