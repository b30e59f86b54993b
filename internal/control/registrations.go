package control

import (
	"sync"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// registrationsKept is how long the times of registrations are kept.
	registrationsKept = 30 * time.Second
	// registrationDelay is added to the age of a registration: so long may its request have been on the way.
	registrationDelay = 5 * time.Second
)

// registrations holds when hosts registered lately with this replica as the leader. It is not replicated: times of
// other hosts' clocks can't be compared. It is safe for concurrent use.
type registrations struct {
	mu sync.Mutex
	at map[uint64]time.Time
}

// add records that an incarnation registered at a time.
func (r *registrations) add(incarnation uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at == nil {
		r.at = make(map[uint64]time.Time)
	}
	for other, was := range r.at {
		if at.Sub(was) > registrationsKept {
			delete(r.at, other)
		}
	}
	r.at[incarnation] = at
}

// describe sets how long ago hosts registered.
func (r *registrations) describe(hosts []*pb.HostInfo, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if at, ok := r.at[h.GetIncarnation()]; ok {
			h.RegisteredMs = (now.Sub(at) + registrationDelay).Milliseconds()
		}
	}
}
