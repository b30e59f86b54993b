package instance

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Incarnation names one run of a backend server.
//
// A server may start again under the id that it had. It has lost its requests and its
// caches then, and it numbers its announcements anew, so nothing that was learned of the
// former run holds for the new one.
type Incarnation struct {
	ID string
	// Started is when the run began, in Unix milliseconds of the server's clock. It orders
	// the runs under one id and is compared with nothing else. Zero if the server does not
	// say: a run that does comes after it.
	Started uint64
}

// Announcement is what an instance says of itself.
type Announcement struct {
	ID      string
	Started uint64
	Service string
	Address string
	Zone    string
	// Version of the server's software.
	Version string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining: it takes no new requests.
	Draining bool
	// WarmupLeft is how much longer it is slow after its start.
	WarmupLeft time.Duration
	// Seq counts up with each announcement of the run.
	Seq uint64
}

// Incarnation is the run that announces itself.
func (a Announcement) Incarnation() Incarnation {
	return Incarnation{ID: a.ID, Started: a.Started}
}

const (
	// maxText bounds an id, a service's name and the like, in bytes. Hosts tell each other
	// 64 servers in one message.
	maxText = 256
	// maxSlots bounds the requests that a server runs at once; engines have some dozen.
	maxSlots = 1 << 20
	// maxWarmup bounds how long a server is slow after its start; models load in minutes.
	maxWarmup = 24 * time.Hour
)

// CheckID tells what is wrong with the id of a server. An id goes into a header of each
// request and into the messages between hosts.
//
// What goes wrong with any bytes: an id that is not UTF-8 can't be encoded into a message,
// so no heartbeat of the host that took it leaves, and its peers count it as dead. A line
// break can't stand in a header, so each request to the server fails.
func CheckID(id string) error {
	if id == "" || len(id) > maxText {
		return errors.Errorf("an id of %d bytes", len(id))
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return errors.Errorf("the id %q has other characters than visible ASCII", id)
		}
	}
	return nil
}

// Check tells why an announcement names no server to use; nil if it does.
func (a Announcement) Check() error {
	if err := CheckID(a.ID); err != nil {
		return err
	}
	if a.Service == "" || len(a.Service) > maxText || len(a.Zone) > maxText || len(a.Version) > maxText {
		return errors.New("the service, zone or version is missing or too long")
	}
	if at, err := netip.ParseAddrPort(a.Address); err != nil || at.Port() == 0 || at.Addr().IsUnspecified() {
		return errors.Errorf("%q is no address of a server", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Errorf("%d slots", a.Slots)
	}
	if a.WarmupLeft < 0 || a.WarmupLeft > maxWarmup {
		return errors.Errorf("a warm-up of %v", a.WarmupLeft)
	}
	return nil
}
