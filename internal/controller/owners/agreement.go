package owners

import (
	"encoding/binary"
	"hash/fnv"
	"time"
)

// agreement is which of the hosts that are alive are known to have the same view as this host: the same
// hosts, in the same incarnations, are alive, and no other one serves callers.
type agreement struct {
	// digest identifies the view, 0 if some of its hosts are suspected or dead. since is when it began.
	digest uint64
	since  time.Time
	// confirmed holds the hosts that reported the same view since then, and the time of the latest
	// report that made them all.
	confirmed map[string]bool
	complete  time.Time
}

// minAgreeing is the least number of hosts that can agree: a host that has just started may know no other.
const minAgreeing = 2

// viewDigest returns the digest of the current view, whose alive hosts are the given ones in order; t.mu is
// held.
func (t *Table) viewDigest(alive []string) uint64 {
	if len(alive) != t.serving || len(alive) < minAgreeing || t.self.Name == "" {
		return 0
	}
	h := fnv.New64a()
	for _, name := range alive {
		_, _ = h.Write([]byte(name))
		_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{0}, t.hosts[name].Incarnation))
	}
	return max(h.Sum64(), 1)
}

// restartAgreement forgets who had the former view; t.mu is held.
func (t *Table) restartAgreement(now time.Time, digest uint64) {
	if t.agreement.confirmed != nil && digest == t.agreement.digest {
		return
	}
	t.agreement = agreement{digest: digest, since: now, confirmed: make(map[string]bool)}
}

// ViewDigest returns the digest of this host's view; 0 if some of the hosts are suspected or dead.
func (t *Table) ViewDigest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.agreement.digest
}

// RecordViewDigest records the digest of another host's view, which it had at some time after asked.
func (t *Table) RecordViewDigest(host string, digest uint64, asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	a := &t.agreement
	if digest == 0 || digest != a.digest || asked.Before(a.since) {
		delete(a.confirmed, host)
		return
	}
	if _, known := t.hosts[host]; !known || a.confirmed[host] {
		return
	}
	a.confirmed[host] = true
	a.complete = time.Now()
}

// AgreedFor returns for how long this host has known that all other hosts have its view; 0 if it does not.
// No other host then takes itself for the owner of this host's keys.
func (t *Table) AgreedFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if a := &t.agreement; a.digest != 0 && len(a.confirmed) == t.serving-1 {
		return time.Since(a.complete)
	}
	return 0
}
