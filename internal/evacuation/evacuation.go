// Package evacuation holds the availability zones that operators have evacuated: hosts send no
// new request to the backend servers of such a zone, and those that run there finish. It is part
// of the replicated state: pure, and the same on every replica.
package evacuation

import (
	"cmp"
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// maxZoneBytes bounds the name of a zone.
	maxZoneBytes = 256
	// maxZones bounds the evacuated zones, because each heartbeat carries all of them.
	maxZones = 64
)

// State is the replicated set of evacuated zones. Invariant: zones is ordered by name and holds
// each zone once. The zones are immutable, so slices of them may be shared.
type State struct {
	revision uint64
	zones    []*pb.Evacuation
}

// NewState returns a state without evacuated zones.
func NewState() *State { return &State{} }

// Record describes the log record that changes the state.
type Record struct {
	Index uint64
	// Now is the applied time in Unix milliseconds.
	Now   int64
	Actor string
}

// Set begins or ends the evacuation of a zone. An order that changes nothing is acknowledged, since
// operators send an order again if its acknowledgement was lost. The zone need not have servers or
// hosts: they may start later. An order for another revision than the present one changes nothing and is reported as outdated,
// unless the zone is in the ordered state. Errors are of the kind BadRequest.
func (s *State) Set(r Record, c *pb.SetEvacuation) (*pb.SetEvacuationResult, error) {
	if err := CheckZone(c.GetZone()); err != nil {
		return nil, err
	}
	at, evacuated := slices.BinarySearchFunc(s.zones, c.GetZone(), compareZone)
	switch {
	case evacuated == c.GetEvacuated():
		return &pb.SetEvacuationResult{Evacuations: s.Current()}, nil
	case c.IfRevision != nil && c.GetIfRevision() != s.revision:
		return &pb.SetEvacuationResult{Evacuations: s.Current(), Outdated: true}, nil
	case evacuated:
		s.zones = slices.Delete(slices.Clone(s.zones), at, at+1)
	case len(s.zones) == maxZones:
		return nil, errkind.New(errkind.BadRequest, "%d zones are evacuated already, which is the maximum", maxZones)
	default:
		s.zones = slices.Insert(slices.Clone(s.zones), at, &pb.Evacuation{Zone: c.GetZone(), SinceMs: r.Now, Actor: r.Actor})
	}
	s.revision = r.Index
	return &pb.SetEvacuationResult{Evacuations: s.Current(), Changed: true}, nil
}

func compareZone(e *pb.Evacuation, zone string) int { return cmp.Compare(e.GetZone(), zone) }

// CheckZone returns an error of the kind BadRequest if the name of a zone is invalid. It must be
// valid UTF-8, because heartbeats carry it.
func CheckZone(zone string) error {
	if zone == "" || len(zone) > maxZoneBytes {
		return errkind.New(errkind.BadRequest, "the name of a zone must have 1 to %d bytes, this one has %d", maxZoneBytes, len(zone))
	}
	if !utf8.ValidString(zone) {
		return errkind.New(errkind.BadRequest, "the name of the zone is not valid UTF-8")
	}
	for _, c := range zone {
		if !unicode.IsPrint(c) {
			return errkind.New(errkind.BadRequest, "the name of the zone %q contains characters that can't be printed", zone)
		}
	}
	return nil
}

// Current returns the evacuated zones with their revision. The result must not be modified.
func (s *State) Current() *pb.Evacuations {
	return &pb.Evacuations{Revision: s.revision, Zones: s.zones}
}

// Image is the state in a snapshot.
type Image struct {
	Revision uint64      `json:"revision,omitempty"`
	Zones    []zoneImage `json:"zones,omitempty"`
}

type zoneImage struct {
	Zone    string `json:"zone"`
	SinceMS int64  `json:"since_ms"`
	Actor   string `json:"actor,omitempty"`
}

// Image returns the state for a snapshot.
func (s *State) Image() Image {
	im := Image{Revision: s.revision}
	for _, e := range s.zones {
		im.Zones = append(im.Zones, zoneImage{Zone: e.GetZone(), SinceMS: e.GetSinceMs(), Actor: e.GetActor()})
	}
	return im
}

// Restore replaces the state by that of a snapshot. A snapshot of a version that knew no
// evacuations restores to none.
func (s *State) Restore(im Image) {
	*s = State{revision: im.Revision}
	for _, z := range im.Zones {
		s.zones = append(s.zones, &pb.Evacuation{Zone: z.Zone, SinceMs: z.SinceMS, Actor: z.Actor})
	}
}
