package inflight

import (
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// makeRoom frees space for a new record: first it drops answers, then finished records that
// no bill needs, oldest first. A record that may still have to be billed is never dropped;
// if there is nothing else to drop, the new record is refused.
func (s *Store) makeRoom(size, records int) error {
	for s.overLimits(size, records) {
		short := s.bytes+size > s.cfg.MaxBytes
		if !(short && s.dropAnswer()) && !s.dropExpendable() {
			return errkind.New(errkind.Overloaded, "no room for another in-flight record: this host holds %d records, %d bytes", s.count, s.bytes)
		}
	}
	return nil
}

func (s *Store) overLimits(size, records int) bool {
	return s.count+records > s.cfg.MaxRecords || s.bytes+size > s.cfg.MaxBytes
}

// trimAnswers keeps the bytes within MaxBytes after an answer was added to a record. The
// usage and the state of an update are always stored, so the bound may be exceeded by a few
// dozen bytes per record.
func (s *Store) trimAnswers() {
	for s.bytes > s.cfg.MaxBytes && s.dropAnswer() {
	}
}

// dropAnswer drops the oldest stored answer; a retry then learns that the answer is no
// longer available.
func (s *Store) dropAnswer() bool {
	for len(s.answers) > 0 {
		e := s.answers[0]
		s.answers = s.answers[1:]
		if e.removed || len(e.rec.GetAnswer()) == 0 {
			continue
		}
		rec := proto.CloneOf(e.rec)
		rec.Answer = nil
		size := proto.Size(rec) + entryOverhead
		s.bytes += size - e.size
		e.rec, e.size = rec, size
		return true
	}
	return false
}

func (s *Store) dropExpendable() bool {
	for i, e := range s.finished {
		if e.removed || !s.expendable(e) {
			continue
		}
		s.finished = append(s.finished[:i], s.finished[i+1:]...)
		s.remove(e)
		return true
	}
	return false
}
