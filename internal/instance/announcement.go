package instance

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Incarnation identifies one run of a backend server's process.
//
// A server may start again under the same id. It has then lost its requests and its caches, and
// numbers its announcements anew, so nothing known of the former incarnation applies to the new one.
type Incarnation struct {
	ID string
	// Started is when the process started, in Unix milliseconds of the server's clock. It only
	// orders the incarnations under one id. It is zero if the server does not report it; an
	// incarnation that does comes after such a one.
	Started uint64
}

// Announcement is the state that an instance announces of itself.
type Announcement struct {
	ID      string
	Started uint64
	Service string
	Address string
	Zone    string
	// Version of the server's software.
	Version string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining reports that it accepts no new requests.
	Draining bool
	// WarmupLeft is the remaining time in which it is slow after its start.
	WarmupLeft time.Duration
	// Seq increases with each announcement of the incarnation.
	Seq uint64
}

// Incarnation returns the incarnation that announces itself.
func (a Announcement) Incarnation() Incarnation {
	return Incarnation{ID: a.ID, Started: a.Started}
}

const (
	// maxText bounds an id, a service's name and the like, in bytes. One message between hosts
	// carries up to 64 servers.
	maxText = 256
	// maxSlots bounds the requests that a server runs at once; engines run some dozens.
	maxSlots = 1 << 20
	// maxWarmup bounds the warm-up time of a server; models load in minutes.
	maxWarmup = 24 * time.Hour
)

// CheckID returns an error if the id of a server is invalid. The id is sent in a header of each
// request and in messages between hosts.
//
// An id that is not UTF-8 cannot be encoded into a message: no heartbeat of a host that accepted
// it could be sent, and its peers would consider the host dead. A line break is not allowed in a
// header, so each request to the server would fail.
func CheckID(id string) error {
	if id == "" || len(id) > maxText {
		return errors.Errorf("invalid id length of %d bytes", len(id))
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return errors.Errorf("the id %q contains characters other than visible ASCII", id)
		}
	}
	return nil
}

// Check returns an error if the announcement does not describe a usable server.
func (a Announcement) Check() error {
	if err := CheckID(a.ID); err != nil {
		return err
	}
	if a.Service == "" || len(a.Service) > maxText || len(a.Zone) > maxText || len(a.Version) > maxText {
		return errors.New("the service, zone or version is missing or too long")
	}
	if at, err := netip.ParseAddrPort(a.Address); err != nil || at.Port() == 0 || at.Addr().IsUnspecified() {
		return errors.Errorf("%q is not a server address", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Errorf("invalid number of slots: %d", a.Slots)
	}
	if a.WarmupLeft < 0 || a.WarmupLeft > maxWarmup {
		return errors.Errorf("invalid warm-up time: %v", a.WarmupLeft)
	}
	return nil
}
