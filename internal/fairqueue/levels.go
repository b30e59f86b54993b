package fairqueue

// Level is a level of priority. Requests of a higher level go first, but a level with waiting requests is
// passed over for at most Bound grants to higher ones.
type Level struct {
	// Bound is the number of grants for which the level may be passed over; 0: any number.
	Bound int
	// Waiting is the number of requests that wait at the level.
	Waiting int
	// Passed is the number of grants to higher levels since its last own one while requests waited.
	Passed int
}

// due reports whether the level has been passed over as often as it may be.
func (l *Level) due() bool { return l.Bound > 0 && l.Waiting > 0 && l.Passed >= l.Bound }

// Due returns the lowest of n levels that has to get the next grant because it has been passed over as
// often as it may be. Level 0 is the highest. ok is false if there is none.
func Due(n int, level func(i int) *Level) (i int, ok bool) {
	for i = n - 1; i > 0; i-- {
		if level(i).due() {
			return i, true
		}
	}
	return 0, false
}

// Granted counts a grant to level i against the lower levels that wait.
func Granted(n, i int, level func(i int) *Level) {
	level(i).Passed = 0
	for k := i + 1; k < n; k++ {
		if l := level(k); l.Waiting > 0 {
			l.Passed++
		}
	}
}
