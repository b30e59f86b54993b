// Package silence detects connections that have gone silent for good while new ones to the same
// server work, for example because a middlebox dropped their state. It tracks the usual gaps per
// server, requests a probe over a new connection when a stream is quiet for longer, and decides
// when to replace the connection. It is pure: the caller passes the time in, serializes the calls
// and sends the probes.
package silence

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
)

// Default values of Config.
const (
	DefaultFloor        = 250 * time.Millisecond
	DefaultCeiling      = 5 * time.Second
	DefaultProbeTimeout = 500 * time.Millisecond
	DefaultFirstFactor  = 4.0
	DefaultFirstFloor   = 10 * time.Second
	DefaultFirstCeiling = time.Minute
)

// Config sets the time limits of detection; zero fields get the defaults.
type Config struct {
	// Floor and Ceiling bound the quiet time between bytes after which a stream is probed.
	Floor, Ceiling time.Duration
	// ProbeTimeout is the timeout of a probe.
	ProbeTimeout time.Duration
	// FirstFactor times the predicted time to the first token is the wait for it before a probe.
	FirstFactor float64
	// FirstFloor is the minimum wait for a first token where none was predicted.
	FirstFloor time.Duration
	// FirstCeiling limits the wait for a first token if the server cannot report its progress.
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

// Verdict is the action to take for a stream.
type Verdict int

// Verdicts.
const (
	// Wait: no fault detected.
	Wait Verdict = iota
	// Probe: query the server over a new connection and pass the result to Probed.
	Probe
	// Replace: close the connection and resume its request over a new one, at another server if
	// the probe was not answered.
	Replace
)

// Progress is the result of a probe over a new connection.
type Progress int

// Probe results.
const (
	// NoAnswer: the server did not answer in time.
	NoAnswer Progress = iota
	// Answers: the server answers but cannot report the request's progress.
	Answers
	// Waiting: the request is queued or in prefill; the server has no tokens beyond those
	// received.
	Waiting
	// Ahead: the server has generated tokens that did not arrive here.
	Ahead
	// UnknownRequest: the server does not know the request.
	UnknownRequest
)

// Detector monitors the streams of one host.
type Detector struct {
	cfg     Config
	gaps    *Gaps
	streams map[string]*stream
}

type stream struct {
	server    string
	first     time.Duration // predicted time to the first byte
	opened    time.Time
	last      time.Time // last byte, or last probe that found no fault
	tokenSeen bool
	probing   time.Time // start of the running probe; zero: none
	replace   bool
}

// New returns a Detector without streams.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg.withDefaults(), gaps: NewGaps(cfg), streams: make(map[string]*stream)}
}

// Open starts to monitor a request sent to server; first is the predicted time to its first byte.
func (d *Detector) Open(now time.Time, id, server string, first time.Duration) {
	d.streams[id] = &stream{server: server, first: first, opened: now, last: now}
}

// Close stops monitoring a stream.
func (d *Detector) Close(id string) { delete(d.streams, id) }

// Received records that a byte arrived on the stream, even if only a keepalive. token reports that
// it carried a part of the answer; the gaps between these are tracked.
func (d *Detector) Received(now time.Time, id string, token bool) {
	s := d.streams[id]
	if s == nil {
		return
	}
	if token && s.tokenSeen {
		d.gaps.Record(s.server, false, now.Sub(s.last))
	}
	s.tokenSeen = s.tokenSeen || token
	s.last = now
	s.probing = time.Time{}
	s.replace = false
}

// allowed returns how long the stream may be quiet before it is probed.
//
// Before the first byte it depends on the predicted time: a stream is quiet during the prefill of a
// long prompt, and with a fixed limit the request would be moved again and again without starting.
func (d *Detector) allowed(s *stream) time.Duration {
	if s.tokenSeen {
		return d.gaps.Limit(s.server, false)
	}
	wait := time.Duration(d.cfg.FirstFactor * float64(s.first))
	return min(max(wait, d.cfg.Floor), d.cfg.FirstCeiling)
}

// Check returns the action for the stream at this time. It returns Probe once per quiet time.
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

// Probed processes the result of a probe and returns the action to take.
func (d *Detector) Probed(now time.Time, id string, p Progress) Verdict {
	s := d.streams[id]
	if s == nil || s.probing.IsZero() {
		// A byte arrived during the probe.
		return Wait
	}
	s.probing = time.Time{}
	switch p {
	case Waiting:
		s.last = now
		return Wait
	case Answers:
		// Before the first token a quiet stream proves nothing: the prompt may be long.
		if !s.tokenSeen && now.Sub(s.opened) < d.cfg.FirstCeiling {
			s.last = now
			return Wait
		}
	}
	s.replace = true
	return Replace
}

// NextCheck returns when Check has to be called for the stream; zero: the stream is not monitored.
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

// MaxDetection returns the longest time from the last byte of a stream that has begun until Replace,
// if the server answers probes correctly.
func (d *Detector) MaxDetection() time.Duration { return d.cfg.Ceiling + d.cfg.ProbeTimeout }
