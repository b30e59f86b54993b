package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// MaxCrashes is the number of crashes after which a request is quarantined, and a part if the servers had
	// not begun to answer.
	MaxCrashes = 3
	// crashWeight is the weight of a crash before the server had begun to answer; after that it is 1.
	crashWeight = 2
	// quarantineWeight is the weight of the crashes after which a request or part is quarantined.
	quarantineWeight = MaxCrashes * crashWeight
	// maxKeptCrashes bounds the crashes recorded per request.
	maxKeptCrashes = 8
	// maxPerAccount bounds the requests remembered per client account.
	maxPerAccount = 64
	// retention is how long a request is remembered after its last crash or trial.
	retention = 24 * time.Hour
	// clearedRetention is how long it is remembered that a request was cleared: hosts that were cut
	// off may still report the crashes before it.
	clearedRetention = 10 * time.Minute
)

// trialPauses are the pauses before the trials of a quarantined request. No trial follows the last
// one.
var trialPauses = []time.Duration{2 * time.Second, time.Minute, time.Hour}

// doubtfulPauses are the pauses for a request that may not be the cause, since fewer than
// MaxCrashes of its crashes happened outside losses of several servers. It has as many elements as
// trialPauses.
var doubtfulPauses = []time.Duration{2 * time.Second, 5 * time.Second, time.Minute}

const (
	// A crash is part of a mass loss if at least lossSize servers that did not run the request
	// ended within lossWindow of it: the servers were lost together, and the request hardly caused
	// that.
	lossSize   = 2
	lossWindow = time.Second
)

// Level is how a request is treated.
type Level string

// Levels.
const (
	// Free means that no server has crashed while running the request since it was last answered.
	Free Level = "free"
	// Suspected means that the request runs once at a time.
	Suspected Level = "suspected"
	// Quarantined means that the request runs in trials only.
	Quarantined Level = "quarantined"
)

// Status is how a request is treated now, and why.
type Status struct {
	Level Level
	// Crashes and Trials are the numbers of known crashes and trials.
	Crashes, Trials int
	// LastCrash is the age of the newest crash; Reporter is the host that observed it.
	LastCrash time.Duration
	Reporter  string
	// NextTrial is the time until the next trial; 0 or negative if it may run now. It is set for
	// Quarantined only.
	NextTrial time.Duration
}

// crash is a crash of a server that was running a request.
type crash struct {
	inc instance.Incarnation
	at  time.Time
	// host is the host that observed the crash; others is the number of other requests that it had
	// at the server.
	host   string
	others int
	// software is what the server ran; empty if that is not known. begun is set if the request had output
	// from the server. Both are recorded for parts only.
	software string
	begun    bool
	// memoryFull is set if the requests at the server were known to hold more than its memory.
	memoryFull bool
}

// weight is how much a crash counts. A server that had begun to answer a request hardly crashed because of it.
func (c crash) weight() int {
	if c.begun {
		return 1
	}
	return crashWeight
}

type trial struct {
	// name is the name of the admission under which the trial was made.
	name string
	at   time.Time
}

// suspect is what is known of one request or part.
type suspect struct {
	// account is the client account whose request added a part; empty for requests.
	account    string
	epoch      uint64
	crashes    []crash
	trials     []trial
	lastChange time.Time
	// doubtful is the result of isDoubtful for version doubtfulVersion of the table.
	doubtful        bool
	doubtfulVersion uint64
	// toldApart is the result of tellApart for version toldApartVersion of the table.
	toldApart        toldApart
	toldApartVersion uint64
}

// Table holds the requests that were running when servers crashed, and the parts of their prompts.
type Table struct {
	accounts map[string]map[Fingerprint]*suspect
	parts    map[Fingerprint]*suspect
	// partsOf has the parts by the account that added them.
	partsOf  map[string]map[Fingerprint]*suspect
	answered answeredParts
	slots    map[ID]slot
	// version counts the changes. digest is the digest of version digestVersion.
	version, digestVersion, digest uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		accounts: make(map[string]map[Fingerprint]*suspect), parts: make(map[Fingerprint]*suspect),
		partsOf: make(map[string]map[Fingerprint]*suspect), slots: make(map[ID]slot),
	}
}

// Version changes whenever the contents change.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) find(id ID) *suspect {
	if id.Fingerprint.isPart() {
		return t.parts[id.Fingerprint]
	}
	return t.accounts[id.Account][id.Fingerprint]
}

// findOrAdd returns the entry of a request, adding one if there is none. If its account has no
// room, the new entry replaces the account's least severe one.
func (t *Table) findOrAdd(now time.Time, id ID) *suspect {
	if s := t.find(id); s != nil {
		return s
	}
	suspects := t.accounts[id.Account]
	if suspects == nil {
		suspects = make(map[Fingerprint]*suspect)
		t.accounts[id.Account] = suspects
	}
	if len(suspects) >= maxPerAccount {
		delete(suspects, leastSevere(suspects))
	}
	s := &suspect{lastChange: now}
	suspects[id.Fingerprint] = s
	return s
}

// leastSevere returns the request with the fewest crashes; among several, the one whose last change
// is the oldest.
func leastSevere(suspects map[Fingerprint]*suspect) Fingerprint {
	var least Fingerprint
	var found *suspect
	for f, s := range suspects {
		if found == nil || s.lessSevereThan(found) {
			least, found = f, s
		}
	}
	return least
}

func (s *suspect) lessSevereThan(than *suspect) bool {
	if len(s.crashes) != len(than.crashes) {
		return len(s.crashes) < len(than.crashes)
	}
	return s.lastChange.Before(than.lastChange)
}

// Status returns the status of a request, or of a part regardless of the request that has it.
func (t *Table) Status(now time.Time, id ID) Status {
	s := t.find(id)
	if s == nil || s.weight() < crashWeight {
		return Status{Level: Free}
	}
	last := s.last()
	out := Status{
		Level: Suspected, Crashes: len(s.crashes), Trials: len(s.trials), LastCrash: now.Sub(last.at), Reporter: last.host,
	}
	if s.weight() >= quarantineWeight {
		out.Level, out.NextTrial = Quarantined, s.nextTrial(t.pauses(id, s)).Sub(now)
	}
	return out
}

// weight returns the weight of all crashes.
func (s *suspect) weight() int {
	if s.excused() {
		return 0
	}
	return weightOf(s.crashes)
}

// excused reports whether all crashes are explained by servers whose memory was over its capacity. A request
// under which another server has ended too, or with MaxCrashes crashes, has no excuse.
func (s *suspect) excused() bool {
	return len(s.crashes) < MaxCrashes && !slices.ContainsFunc(s.crashes, func(c crash) bool { return !c.memoryFull })
}

func weightOf(crashes []crash) int {
	sum := 0
	for _, c := range crashes {
		sum += c.weight()
	}
	return sum
}

// nextTrial returns when a quarantined request may run again: at its next trial, or when it is
// forgotten.
func (s *suspect) nextTrial(pauses []time.Duration) time.Time {
	if len(s.trials) >= len(pauses) {
		return s.lastChange.Add(retention)
	}
	return s.lastChange.Add(pauses[len(s.trials)])
}

// pauses returns the pauses before the trials of a request or part.
func (t *Table) pauses(id ID, s *suspect) []time.Duration {
	if id.Fingerprint.isPart() {
		return partTrialPauses
	}
	if s.doubtfulVersion != t.version {
		s.doubtful, s.doubtfulVersion = t.isDoubtful(s), t.version
	}
	if s.doubtful {
		return doubtfulPauses
	}
	return trialPauses
}

// isDoubtful reports whether fewer than MaxCrashes crashes happened outside mass losses.
func (t *Table) isDoubtful(s *suspect) bool {
	alone := 0
	for _, c := range s.crashes {
		if !t.inMassLoss(s, c) {
			alone++
		}
	}
	return alone < MaxCrashes
}

// inMassLoss reports whether a crash was part of a loss of several servers, as far as the crashes
// recorded for other requests show it.
func (t *Table) inMassLoss(s *suspect, c crash) bool {
	lost := make(map[instance.Incarnation]bool)
	for _, suspects := range t.accounts {
		for _, other := range suspects {
			for _, o := range other.crashes {
				if o.at.Sub(c.at).Abs() <= lossWindow && !s.ranAt(o.inc) {
					lost[o.inc] = true
				}
			}
		}
	}
	return len(lost) >= lossSize
}

// ranAt reports whether the request is known to have run at an incarnation of a server that ended.
func (s *suspect) ranAt(inc instance.Incarnation) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.inc == inc })
}

// RecordCrash records that an incarnation of a server ended while it ran a request, as observed by
// host. others is the number of other requests that the host had at the server. It returns false if
// the crash was known.
func (t *Table) RecordCrash(now time.Time, id ID, inc instance.Incarnation, host string, others int) bool {
	return t.record(now, id, crash{inc: inc, at: now, host: host, others: others})
}

// RecordCrashAtFullMemory is RecordCrash for a server whose requests were known to hold more than its memory.
func (t *Table) RecordCrashAtFullMemory(now time.Time, id ID, inc instance.Incarnation, host string, others int) bool {
	return t.record(now, id, crash{inc: inc, at: now, host: host, others: others, memoryFull: true})
}

func (t *Table) record(now time.Time, id ID, c crash) bool {
	if !t.findOrAdd(now, id).addCrash(c, maxKeptCrashes) {
		return false
	}
	t.version++
	return true
}

// addCrash adds a crash, of which at most limit are kept. It returns false if nothing has changed.
func (s *suspect) addCrash(c crash, limit int) bool {
	at, known := slices.BinarySearchFunc(s.crashes, c, crash.compare)
	if known && s.crashes[at].memoryFull && !c.memoryFull {
		s.crashes[at].memoryFull = false // hosts differ: it is excused only if all agree
		return true
	}
	if known || at >= limit {
		return false
	}
	// Hosts that receive more crashes than are kept, in whatever order, must keep the same ones.
	s.crashes = slices.Insert(s.crashes, at, c)
	s.crashes = s.crashes[:min(len(s.crashes), limit)]
	s.touch(c.at)
	return true
}

func (c crash) compare(with crash) int {
	return cmp.Or(strings.Compare(c.inc.ID, with.inc.ID), cmp.Compare(c.inc.Started, with.inc.Started))
}

// last returns the newest crash.
func (s *suspect) last() crash {
	return slices.MaxFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}

func (s *suspect) addTrial(t trial) bool {
	if slices.ContainsFunc(s.trials, func(k trial) bool { return k.name == t.name }) {
		return false
	}
	s.trials = append(s.trials, t)
	s.touch(t.at)
	return true
}

func (s *suspect) touch(at time.Time) {
	if at.After(s.lastChange) {
		s.lastChange = at
	}
}

// RecordTrial records that a trial has reached a server; a trial that reaches none is repeated. It
// returns false if the trial was known or the request has no recorded crashes.
func (t *Table) RecordTrial(now time.Time, id ID, name string) bool {
	s := t.find(id)
	if s == nil || len(s.crashes) == 0 || !s.addTrial(trial{name: name, at: now}) {
		return false
	}
	t.version++
	return true
}

// Clear removes a request's crashes after a server answered it or an operator released it. It
// returns false if the request has none.
func (t *Table) Clear(now time.Time, id ID) bool {
	s := t.find(id)
	if s == nil || len(s.crashes) == 0 {
		return false
	}
	*s = suspect{account: s.account, epoch: s.epoch + 1, lastChange: now}
	delete(t.slots, id)
	t.version++
	return true
}

// Expire removes old entries. It returns the IDs of those that still had recorded crashes.
func (t *Table) Expire(now time.Time) []ID {
	var out []ID
	for account, suspects := range t.accounts {
		for _, f := range expired(now, suspects) {
			out = t.noteRemoved(out, ID{account, f})
			delete(suspects, f)
		}
		if len(suspects) == 0 {
			delete(t.accounts, account)
		}
	}
	for _, f := range expired(now, t.parts) {
		out = t.noteRemoved(out, partID(f))
		t.removePart(f)
	}
	t.expireSlots(now)
	return out
}

// expired returns the fingerprints of the entries that are too old to be kept.
func expired(now time.Time, suspects map[Fingerprint]*suspect) []Fingerprint {
	var out []Fingerprint
	for f, s := range suspects {
		keep := retention
		if len(s.crashes) == 0 {
			keep = clearedRetention
		}
		if now.Sub(s.lastChange) >= keep {
			out = append(out, f)
		}
	}
	return out
}

// noteRemoved appends the ID of an entry that is to be removed if it has recorded crashes.
func (t *Table) noteRemoved(list []ID, id ID) []ID {
	t.version++
	if len(t.find(id).crashes) == 0 {
		return list
	}
	return append(list, id)
}

// Merge adds what another host knows of a request. It returns false if nothing in it is new.
func (t *Table) Merge(now time.Time, msg *pb.Suspect) (id ID, changed bool) {
	id, ok := IDFromProto(msg)
	if !ok {
		return id, false
	}
	s, lastChange := t.find(id), timeFromAge(now, msg.GetAgeMs())
	switch {
	case s == nil:
		s = t.add(now, id, msg.GetAccount())
		s.epoch, s.lastChange, changed = msg.GetEpoch(), lastChange, true
	case msg.GetEpoch() < s.epoch:
		return id, false
	case msg.GetEpoch() > s.epoch:
		*s = suspect{account: s.account, epoch: msg.GetEpoch(), lastChange: lastChange}
		delete(t.slots, id)
		changed = true
	}
	for _, c := range msg.GetCrashes() {
		inc := instance.Incarnation{ID: c.GetServer().GetId(), Started: c.GetServer().GetIncarnation()}
		added := crash{inc: inc, at: timeFromAge(now, c.GetAgeMs()), host: c.GetHost(), others: int(c.GetOthers()), software: c.GetSoftware(), begun: c.GetBegun(), memoryFull: c.GetMemoryFull()}
		changed = s.addCrash(added, id.maxCrashes()) || changed
	}
	for _, tr := range msg.GetTrials() {
		changed = s.addTrial(trial{name: tr.GetName(), at: timeFromAge(now, tr.GetAgeMs())}) || changed
	}
	if changed {
		t.version++
	}
	return id, changed
}

// add adds the entry of a request, or of a part that a request of an account has added.
func (t *Table) add(now time.Time, id ID, account string) *suspect {
	if id.Fingerprint.isPart() {
		return t.findOrAddPart(now, id.Fingerprint, account)
	}
	return t.findOrAdd(now, id)
}

// maxCrashes returns how many crashes are recorded of a request or part.
func (id ID) maxCrashes() int {
	if id.Fingerprint.isPart() {
		return maxKeptPartCrashes
	}
	return maxKeptCrashes
}

// timeFromAge converts an age to a time. Ages out of range are clamped.
func timeFromAge(now time.Time, ms int64) time.Time {
	age := min(max(time.Duration(ms), 0), retention/time.Millisecond) * time.Millisecond
	return now.Add(-age)
}

// CrashedIncarnations returns the incarnations of servers that ended while running a request, and
// how long ago each of them ended.
func (t *Table) CrashedIncarnations(now time.Time, id ID) map[instance.Incarnation]time.Duration {
	out := make(map[instance.Incarnation]time.Duration)
	if s := t.find(id); s != nil {
		for _, c := range s.crashes {
			out[c.inc] = now.Sub(c.at)
		}
	}
	return out
}
