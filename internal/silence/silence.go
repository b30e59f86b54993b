// Package silence finds connections that went silent for good while new ones to
// the same server work, as when something between the two ends lost track of them.
// It learns the gaps to expect per server, asks for a probe over a new connection
// when a stream is quiet for longer, and says when to replace the connection. It is
// pure: the caller passes the time in, serialises the calls and does the probing.
package silence

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
)

// Defaults of Config.
const (
	DefaultFloor        = 250 * time.Millisecond
	DefaultCeiling      = 5 * time.Second
	DefaultProbeTimeout = 500 * time.Millisecond
	DefaultFirstFactor  = 4.0
	DefaultFirstFloor   = 10 * time.Second
	DefaultFirstCeiling = time.Minute
)

// Config bounds what is taken for silence; zero fields get the defaults.
type Config struct {
	// Floor and Ceiling bound the quiet time between bytes after which a stream is probed.
	Floor, Ceiling time.Duration
	// ProbeTimeout is how long a probe may take.
	ProbeTimeout time.Duration
	// FirstFactor times the predicted time to the first token is waited for it.
	FirstFactor float64
	// FirstFloor is the least wait for a first token where none was predicted.
	FirstFloor time.Duration
	// FirstCeiling bounds the wait for a first token if the server can't tell of progress.
	FirstCeiling time.Duration
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.Floor, DefaultFloor)
	defaults.Set(&c.Ceiling, DefaultCeiling)
	defaults.Set(&c.ProbeTimeout, DefaultProbeTimeout)
	defaults.Set(&c.FirstFactor, DefaultFirstFactor)
	defaults.Set(&c.FirstFloor, DefaultFirstFloor)
	defaults.Set(&c.FirstCeiling, DefaultFirstCeiling)
	return c
}

// Verdict is what to do about a stream.
type Verdict int

// Verdicts.
const (
	// Wait: nothing is wrong as far as can be told.
	Wait Verdict = iota
	// Probe: ask the server over a new connection and report with Probed.
	Probe
	// Replace: close the connection and resume its request over a new one, at
	// another server if the probe had no answer.
	Replace
)

// Progress is what a probe over a new connection found.
type Progress int

// Results of a probe.
const (
	// NoAnswer: the server did not answer in time.
	NoAnswer Progress = iota
	// Answers: the server answers but can't tell how far the request is.
	Answers
	// Waiting: the request still waits or its prompt is computed; no token beyond
	// those received exists.
	Waiting
	// Ahead: the server made tokens that never arrived here.
	Ahead
	// Gone: the server does not know the request.
	Gone
)

// Detector watches the streams of one host.
type Detector struct {
	cfg     Config
	gaps    *Gaps
	streams map[string]*stream
}

type stream struct {
	server  string
	first   time.Duration // predicted time to the first byte
	opened  time.Time
	last    time.Time // last byte, or when a probe showed that nothing is wrong
	begun   bool
	probing time.Time // when a probe began; zero: none under way
	replace bool
}

// New makes a Detector.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg.withDefaults(), gaps: NewGaps(cfg), streams: make(map[string]*stream)}
}

// Open begins to watch a request sent to server; first is the predicted time to
// its first byte.
func (d *Detector) Open(now time.Time, id, server string, first time.Duration) {
	d.streams[id] = &stream{server: server, first: first, opened: now, last: now}
}

// Close ends the watch.
func (d *Detector) Close(id string) { delete(d.streams, id) }

// Byte notes that any byte came on the stream, a keepalive included; token tells
// that it carried a part of the answer, whose gaps are learnt.
func (d *Detector) Byte(now time.Time, id string, token bool) {
	s := d.streams[id]
	if s == nil {
		return
	}
	if token && s.begun {
		d.gaps.Heard(s.server, false, now.Sub(s.last))
	}
	s.begun = s.begun || token
	s.last = now
	s.probing = time.Time{}
	s.replace = false
}

// allowed is how long the stream may be quiet before it is probed.
//
// Symptom this prevents: a long prompt is being computed, the connection is quiet
// meanwhile, and the request is moved again and again without ever starting.
func (d *Detector) allowed(s *stream) time.Duration {
	if s.begun {
		return d.gaps.Limit(s.server, false)
	}
	wait := time.Duration(d.cfg.FirstFactor * float64(s.first))
	return min(max(wait, d.cfg.Floor), d.cfg.FirstCeiling)
}

// Check says what to do about the stream now. Probe is said once per quiet time.
func (d *Detector) Check(now time.Time, id string) Verdict {
	s := d.streams[id]
	switch {
	case s == nil:
		return Wait
	case s.replace:
		return Replace
	case !s.probing.IsZero():
		if now.Sub(s.probing) >= d.cfg.ProbeTimeout {
			return Replace
		}
		return Wait
	case now.Sub(s.last) >= d.allowed(s):
		s.probing = now
		return Probe
	}
	return Wait
}

// Probed takes the result of a probe and returns what to do.
func (d *Detector) Probed(now time.Time, id string, p Progress) Verdict {
	s := d.streams[id]
	if s == nil || s.probing.IsZero() {
		// A byte came while the probe was under way.
		return Wait
	}
	s.probing = time.Time{}
	switch p {
	case Waiting:
		s.last = now
		return Wait
	case Answers:
		// Before the first token quiet is no proof: the prompt may be long.
		if !s.begun && now.Sub(s.opened) < d.cfg.FirstCeiling {
			s.last = now
			return Wait
		}
	}
	s.replace = true
	return Replace
}

// NextCheck is when Check has to be called for the stream; zero: not watched.
func (d *Detector) NextCheck(id string) time.Time {
	s := d.streams[id]
	switch {
	case s == nil:
		return time.Time{}
	case s.replace:
		return s.last
	case !s.probing.IsZero():
		return s.probing.Add(d.cfg.ProbeTimeout)
	}
	return s.last.Add(d.allowed(s))
}

// Bound is the longest time from the last byte of a stream that has begun until
// Replace is said, if the server answers probes truly.
func (d *Detector) Bound() time.Duration { return d.cfg.Ceiling + d.cfg.ProbeTimeout }
