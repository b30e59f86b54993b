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
	// MaxCrashes quarantine a request.
	MaxCrashes = 3
	// maxKept bounds the crashes that are kept of a request.
	maxKept = 8
	// maxPerAccount bounds the requests that are remembered of one client account.
	maxPerAccount = 64
	// retention is how long a request is remembered after its last crash or trial.
	retention = 24 * time.Hour
	// clearedRetention is how long a clearance is remembered: hosts that were cut off
	// may tell of the crashes before it.
	clearedRetention = 10 * time.Minute
)

// trialPauses are the pauses before the trials of a quarantined request. There are no
// further ones.
var trialPauses = []time.Duration{2 * time.Second, time.Minute, time.Hour}

// doubtfulPauses are those of a request whose crashes were mostly among others. There are as many.
var doubtfulPauses = []time.Duration{2 * time.Second, 5 * time.Second, time.Minute}

const (
	// A crash is among others if lossSize servers or more ended within lossTime of it that did not
	// run the request: they were lost together, and the request has hardly caused that.
	lossSize = 2
	lossTime = time.Second
)

// Level says how a request is treated.
type Level string

// Levels.
const (
	// Free: no server crashed under it since it was last answered.
	Free Level = "free"
	// Suspected: it runs once at a time.
	Suspected Level = "suspected"
	// Quarantined: it runs in trials only.
	Quarantined Level = "quarantined"
)

// Status of a request.
type Status struct {
	Level Level
	// Crashes and trials that are known.
	Crashes, Trials int
	// LastCrash is how long ago the newest crash was; Reporter the host that saw it.
	LastCrash time.Duration
	Reporter  string
	// NextTrial is the time until the next trial; negative or 0: now. With Quarantined only.
	NextTrial time.Duration
}

// crash of a server under a request.
type crash struct {
	run instance.Incarnation
	at  time.Time
	// host saw it, with others requests at the server.
	host   string
	others int
}

type trial struct {
	// name of the pass under which it was made.
	name string
	at   time.Time
}

// suspect is what is known of one request.
type suspect struct {
	epoch   uint64
	crashes []crash
	trials  []trial
	touched time.Time
	// doubtful is whether its crashes were among others, as of a version of the table.
	doubtful   bool
	doubtfulOf uint64
}

// Table of the requests under which servers crashed.
type Table struct {
	accounts map[string]map[Fingerprint]*suspect
	slots    map[ID]slot
	// version counts the changes; digest is that of digestOf.
	version, digestOf, digest uint64
}

// NewTable makes an empty table.
func NewTable() *Table {
	return &Table{accounts: make(map[string]map[Fingerprint]*suspect), slots: make(map[ID]slot)}
}

// Version changes with each change of what is known.
func (t *Table) Version() uint64 { return t.version }

func (t *Table) find(id ID) *suspect { return t.accounts[id.Account][id.Fingerprint] }

// suspectOf is the entry of a request; a new one takes the place of the least telling one of
// its account if there is no room.
func (t *Table) suspectOf(now time.Time, id ID) *suspect {
	if s := t.find(id); s != nil {
		return s
	}
	of := t.accounts[id.Account]
	if of == nil {
		of = make(map[Fingerprint]*suspect)
		t.accounts[id.Account] = of
	}
	if len(of) >= maxPerAccount {
		delete(of, leastTelling(of))
	}
	s := &suspect{touched: now}
	of[id.Fingerprint] = s
	return s
}

// leastTelling is the request with the fewest crashes, of these the one that was heard of
// longest ago.
func leastTelling(of map[Fingerprint]*suspect) Fingerprint {
	var least Fingerprint
	var found *suspect
	for f, s := range of {
		if found == nil || s.lessTelling(found) {
			least, found = f, s
		}
	}
	return least
}

func (s *suspect) lessTelling(than *suspect) bool {
	if len(s.crashes) != len(than.crashes) {
		return len(s.crashes) < len(than.crashes)
	}
	return s.touched.Before(than.touched)
}

// Status of a request.
func (t *Table) Status(now time.Time, id ID) Status {
	s := t.find(id)
	if s == nil || len(s.crashes) == 0 {
		return Status{Level: Free}
	}
	last := s.last()
	out := Status{
		Level: Suspected, Crashes: len(s.crashes), Trials: len(s.trials), LastCrash: now.Sub(last.at), Reporter: last.host,
	}
	if len(s.crashes) >= MaxCrashes {
		out.Level, out.NextTrial = Quarantined, s.nextTrial(t.pauses(s)).Sub(now)
	}
	return out
}

// nextTrial is when a quarantined request may run again: the next trial, or the time at which
// it is forgotten.
func (s *suspect) nextTrial(pauses []time.Duration) time.Time {
	if len(s.trials) >= len(pauses) {
		return s.touched.Add(retention)
	}
	return s.touched.Add(pauses[len(s.trials)])
}

// pauses are those before the trials of a request.
func (t *Table) pauses(s *suspect) []time.Duration {
	if s.doubtfulOf != t.version {
		s.doubtful, s.doubtfulOf = t.isDoubtful(s), t.version
	}
	if s.doubtful {
		return doubtfulPauses
	}
	return trialPauses
}

// isDoubtful tells whether too few crashes under a request were its own to quarantine it.
func (t *Table) isDoubtful(s *suspect) bool {
	alone := 0
	for _, c := range s.crashes {
		if !t.amongOthers(s, c) {
			alone++
		}
	}
	return alone < MaxCrashes
}

// amongOthers tells whether a crash under a request was one of a loss of several servers, as far as
// the crashes under other requests show it.
func (t *Table) amongOthers(s *suspect, c crash) bool {
	lost := make(map[instance.Incarnation]bool)
	for _, of := range t.accounts {
		for _, other := range of {
			for _, o := range other.crashes {
				if o.at.Sub(c.at).Abs() <= lossTime && !s.ran(o.run) {
					lost[o.run] = true
				}
			}
		}
	}
	return len(lost) >= lossSize
}

// ran tells whether the request is known to have run at a run of a server that ended.
func (s *suspect) ran(run instance.Incarnation) bool {
	return slices.ContainsFunc(s.crashes, func(c crash) bool { return c.run == run })
}

// RecordCrash takes that a run of a server ended while it ran a request; others is how many other
// requests it had of the same host. False if that was known.
func (t *Table) RecordCrash(now time.Time, id ID, run instance.Incarnation, host string, others int) bool {
	s := t.suspectOf(now, id)
	if !s.addCrash(crash{run: run, at: now, host: host, others: others}) {
		return false
	}
	t.version++
	return true
}

func (s *suspect) addCrash(c crash) bool {
	at, known := slices.BinarySearchFunc(s.crashes, c, crash.compare)
	if known || at >= maxKept {
		return false
	}
	// Hosts that heard of more crashes than are kept, in any order, keep the same ones.
	s.crashes = slices.Insert(s.crashes, at, c)
	s.crashes = s.crashes[:min(len(s.crashes), maxKept)]
	s.touch(c.at)
	return true
}

func (c crash) compare(with crash) int {
	return cmp.Or(strings.Compare(c.run.ID, with.run.ID), cmp.Compare(c.run.Started, with.run.Started))
}

// last is the newest crash.
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
	if at.After(s.touched) {
		s.touched = at
	}
}

// RecordTrial takes that a trial has reached a server; one that found none is made again. False if that
// was known, or nothing is held against the request.
func (t *Table) RecordTrial(now time.Time, id ID, name string) bool {
	s := t.find(id)
	if s == nil || len(s.crashes) == 0 || !s.addTrial(trial{name: name, at: now}) {
		return false
	}
	t.version++
	return true
}

// Clear takes that a server answered a request, or that an operator released it. False if
// nothing was held against it.
func (t *Table) Clear(now time.Time, id ID) bool {
	s := t.find(id)
	if s == nil || len(s.crashes) == 0 {
		return false
	}
	*s = suspect{epoch: s.epoch + 1, touched: now}
	delete(t.slots, id)
	t.version++
	return true
}

// Expire forgets what is old, and returns the requests that were still held against.
func (t *Table) Expire(now time.Time) []ID {
	var out []ID
	for account, of := range t.accounts {
		for f, s := range of {
			keep := retention
			if len(s.crashes) == 0 {
				keep = clearedRetention
			}
			if now.Sub(s.touched) < keep {
				continue
			}
			if len(s.crashes) > 0 {
				out = append(out, ID{account, f})
			}
			delete(of, f)
			t.version++
		}
		if len(of) == 0 {
			delete(t.accounts, account)
		}
	}
	t.expireSlots(now)
	return out
}

// Merge takes what another host knows of a request; false if it is nothing new.
func (t *Table) Merge(now time.Time, told *pb.Suspect) (id ID, news bool) {
	id, ok := IDFromProto(told)
	if !ok {
		return id, false
	}
	s, touched := t.find(id), agedBy(now, told.GetAgeMs())
	switch {
	case s == nil:
		s = t.suspectOf(now, id)
		s.epoch, s.touched, news = told.GetEpoch(), touched, true
	case told.GetEpoch() < s.epoch:
		return id, false
	case told.GetEpoch() > s.epoch:
		*s = suspect{epoch: told.GetEpoch(), touched: touched}
		delete(t.slots, id)
		news = true
	}
	for _, c := range told.GetCrashes() {
		run := instance.Incarnation{ID: c.GetServer().GetId(), Started: c.GetServer().GetIncarnation()}
		news = s.addCrash(crash{run: run, at: agedBy(now, c.GetAgeMs()), host: c.GetHost(), others: int(c.GetOthers())}) || news
	}
	for _, tr := range told.GetTrials() {
		news = s.addTrial(trial{name: tr.GetName(), at: agedBy(now, tr.GetAgeMs())}) || news
	}
	if news {
		t.version++
	}
	return id, news
}

// agedBy is the time of something of an age; ages out of range are taken for the nearest.
func agedBy(now time.Time, ms int64) time.Time {
	age := min(max(time.Duration(ms), 0), retention/time.Millisecond) * time.Millisecond
	return now.Add(-age)
}

// CrashedIncarnations are the runs of servers that ended under a request, and how long ago.
func (t *Table) CrashedIncarnations(now time.Time, id ID) map[instance.Incarnation]time.Duration {
	out := make(map[instance.Incarnation]time.Duration)
	if s := t.find(id); s != nil {
		for _, c := range s.crashes {
			out[c.run] = now.Sub(c.at)
		}
	}
	return out
}
