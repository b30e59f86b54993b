package serverpath

import (
	"slices"
	"testing"
	"time"
)

// Guards against a host that is suspected of being cut off because single servers take long to answer, and
// against one that is not although all requests stay unanswered, also those that have ended since.
func TestAllServersMustBeSilent(t *testing.T) {
	after := func(d time.Duration) time.Time { return start.Add(d) }
	for _, test := range []struct {
		name   string
		events func(s *Silence)
		want   []string
	}{
		{"nothing was sent", func(*Silence) {}, nil},
		{"one server", func(s *Silence) { s.Sent(start, "a"); s.Sent(start, "a") }, nil},
		{"two servers", func(s *Silence) { s.Sent(start, "b"); s.Sent(start, "a") }, []string{"a", "b"}},
		{"one of them was asked just now", func(s *Silence) { s.Sent(start, "a"); s.Sent(after(silentAfter/2), "b") }, nil},
		{"another one answers", func(s *Silence) {
			s.Sent(start, "a")
			s.Sent(start, "b")
			s.Sent(start, "c")
			s.Heard(after(silentAfter/2), "c")
		}, nil},
		{"both have answered", func(s *Silence) {
			s.Sent(start, "a")
			s.Sent(start, "b")
			s.Heard(start, "a")
			s.Heard(start, "b")
		}, nil},
		{"one was asked again after its answer", func(s *Silence) {
			s.Sent(start.Add(-time.Second), "a")
			s.Heard(start.Add(-time.Millisecond), "a")
			s.Sent(start, "a")
			s.Sent(start, "b")
		}, []string{"a", "b"}},
		{"requests of long ago", func(s *Silence) { s.Sent(start.Add(-memory), "a"); s.Sent(start.Add(-memory), "b") }, nil},
	} {
		s := NewSilence()
		test.events(s)
		if got := s.Suspects(after(silentAfter)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// Guards against direct connections that win over tunnels because they open, although they deliver nothing.
func TestSilencedHostUsesTunnelsOnly(t *testing.T) {
	table := newTable()
	table.DirectOpened(start, "a")
	table.SetSilenced(true)
	for range 3 {
		if p := table.Plan(start, "a"); p.Direct || !p.Tunnel || p.TunnelAfter != 0 {
			t.Errorf("got %+v, want a tunnel at once and nothing else", p)
		}
	}
	if !table.CutOff(start) {
		t.Error("the host does not count as cut off")
	}
	table.SetSilenced(false)
	if p := table.Plan(start, "a"); !p.Direct || table.CutOff(start) {
		t.Errorf("got %+v, cut off %v afterwards", p, table.CutOff(start))
	}
}
