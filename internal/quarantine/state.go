package quarantine

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Suspect returns what is known of a request as a message for other hosts; nil if nothing is known.
func (t *Table) Suspect(now time.Time, id ID) *pb.Suspect {
	s := t.find(id)
	if s == nil {
		return nil
	}
	account := id.Account
	if id.Fingerprint.isPart() {
		account = s.account
	}
	out := &pb.Suspect{Account: account, Fingerprint: bytes.Clone(id.Fingerprint[:]), Epoch: s.epoch, AgeMs: now.Sub(s.lastChange).Milliseconds()}
	for _, c := range s.crashes {
		out.Crashes = append(out.Crashes, &pb.ServerCrash{
			Server: &pb.ServerRun{Id: c.inc.ID, Incarnation: c.inc.Started}, AgeMs: now.Sub(c.at).Milliseconds(),
			Host: c.host, Others: uint32(max(c.others, 0)), Software: c.software, Begun: c.begun, MemoryFull: c.memoryFull,
		})
	}
	for _, tr := range s.trials {
		out.Trials = append(out.Trials, &pb.SuspectTrial{Name: tr.name, AgeMs: now.Sub(tr.at).Milliseconds()})
	}
	return out
}

// Suspects returns the messages for all known requests, in order of their IDs.
func (t *Table) Suspects(now time.Time) []*pb.Suspect {
	var out []*pb.Suspect
	for _, id := range t.ids() {
		out = append(out, t.Suspect(now, id))
	}
	return out
}

// Entry describes a suspected or quarantined request or part.
type Entry struct {
	ID ID
	// Account is the client account of the request, or the one whose request added the part.
	Account string
	Status  Status
	// Crashes are the known crashes, oldest first.
	Crashes []*pb.ServerCrash
}

// Entries returns the suspected and quarantined requests and parts in order of their IDs.
func (t *Table) Entries(now time.Time) []Entry {
	var out []Entry
	for _, id := range t.ids() {
		st := t.Status(now, id)
		if st.Level == Free {
			continue
		}
		suspect := t.Suspect(now, id)
		crashes := suspect.GetCrashes()
		slices.SortStableFunc(crashes, func(a, b *pb.ServerCrash) int { return cmp.Compare(b.GetAgeMs(), a.GetAgeMs()) })
		out = append(out, Entry{ID: id, Account: suspect.GetAccount(), Status: st, Crashes: crashes})
	}
	return out
}

// SomeSuspects returns the messages for at most n requests, those with the most crashes first.
// Among requests with equally many crashes it begins at position from, so that a host that asks
// repeatedly with different positions receives all of them.
func (t *Table) SomeSuspects(now time.Time, n int, from uint64) []*pb.Suspect {
	ids := t.ids()
	if len(ids) > n {
		at := int(from % uint64(len(ids)))
		ids = append(ids[at:len(ids):len(ids)], ids[:at]...)
		slices.SortStableFunc(ids, func(a, b ID) int { return cmp.Compare(len(t.find(b).crashes), len(t.find(a).crashes)) })
		ids = ids[:n]
	}
	var out []*pb.Suspect
	for _, id := range ids {
		out = append(out, t.Suspect(now, id))
	}
	return out
}

func (t *Table) ids() []ID {
	var out []ID
	for account, suspects := range t.accounts {
		for f := range suspects {
			out = append(out, ID{account, f})
		}
	}
	for f := range t.parts {
		out = append(out, partID(f))
	}
	slices.SortFunc(out, func(a, b ID) int {
		if c := strings.Compare(a.Account, b.Account); c != 0 {
			return c
		}
		return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return out
}

// Digest returns a hash of the table's contents. It is equal at two hosts that know the same crashes
// and trials, regardless of when each of them received them.
func (t *Table) Digest() uint64 {
	if t.digestVersion == t.version {
		return t.digest
	}
	t.digest, t.digestVersion = 0, t.version
	for _, id := range t.ids() {
		t.digest += t.digestEntry(id)
	}
	return t.digest
}

// digestEntry hashes one request's crashes and trials, independently of their order.
func (t *Table) digestEntry(id ID) uint64 {
	s := t.find(id)
	sum := xxhash.Sum64String(fmt.Sprintf("%q %v %d", id.Account, id.Fingerprint, s.epoch))
	for _, c := range s.crashes {
		sum += xxhash.Sum64String(fmt.Sprintf("crash %q %d %v %d", c.inc.ID, c.inc.Started, id.Fingerprint, s.epoch))
		if c.memoryFull {
			sum += xxhash.Sum64String(fmt.Sprintf("full %q %d %v %d", c.inc.ID, c.inc.Started, id.Fingerprint, s.epoch))
		}
	}
	for _, tr := range s.trials {
		sum += xxhash.Sum64String(fmt.Sprintf("trial %q %v %d", tr.name, id.Fingerprint, s.epoch))
	}
	return sum
}
