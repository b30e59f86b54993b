package dispatch

import "time"

// FixedSilence is a Silence with the same limits for all servers.
type FixedSilence struct {
	// First is the limit before the first byte of an attempt, Gap the one after.
	First, Gap time.Duration
}

// Limit implements Silence.
func (s FixedSilence) Limit(_ string, first bool) time.Duration {
	if first {
		return s.First
	}
	return s.Gap
}

// Heard implements Silence.
func (FixedSilence) Heard(string, bool, time.Duration) {}

// Silent implements Silence.
func (FixedSilence) Silent(string) {}
