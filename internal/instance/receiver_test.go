package instance

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/changelog"
)

// receiverFixture is a host that knows of an instance by its receiver.
type receiverFixture struct {
	receiver, other *Registry
	now             time.Time
	// dead reports that the receiver's host is known to be dead.
	dead bool
}

func newReceiverFixture(t *testing.T) *receiverFixture {
	f := &receiverFixture{receiver: New(Config{Host: "r"}), other: New(Config{Host: "o"}), now: start}
	f.receiver.SetIncarnation(1)
	f.other.SetIncarnation(2)
	f.receiver.Announce(f.now, ready("a", 1))
	f.exchange(t)
	return f
}

// exchange passes what the receiver knows to the other host.
func (f *receiverFixture) exchange(t *testing.T) {
	t.Helper()
	for _, st := range allStates(f.receiver, f.now) {
		if _, err := f.other.Merge(f.now, 0, st, "r"); err != nil {
			t.Fatal(err)
		}
	}
}

// pass lets time pass in steps of a second.
func (f *receiverFixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Second)
		f.other.Observe(f.now, func(r Receiver) bool { return r == Receiver{"r", 1} && !f.dead })
		f.receiver.Observe(f.now, func(Receiver) bool { return true })
	}
}

func (f *receiverFixture) fresh() bool {
	i, known := f.other.Get("a")
	return known && f.other.Fresh(f.now, i)
}

func (f *receiverFixture) announce(seq uint64) bool {
	return f.receiver.Announce(f.now, ready("a", seq))
}

// Guards against announcements that are passed on to all hosts of a fleet although nothing has changed.
func TestRepeatedAnnouncementsAreNoChange(t *testing.T) {
	f := newReceiverFixture(t)
	at := f.receiver.log.End()
	for seq := uint64(2); seq < 100; seq++ {
		if f.announce(seq) {
			t.Fatalf("announcement %d counts as a change", seq)
		}
		f.pass(2 * time.Second)
	}
	if states, _ := f.receiver.ChangesSince(f.now, at, math.MaxInt, "o", nil); len(states) != 0 {
		t.Errorf("%d states to send", len(states))
	}
	if !f.fresh() {
		t.Error("the instance is not fresh at the other host although its receiver reports nothing")
	}
	f.receiver.Expire(f.now)
	f.other.Expire(f.now)
	want(t, f.other, "a")
}

// Guards against requests to a server that stopped without notice, at hosts that it does not announce
// itself to.
func TestReceiverReportsSilence(t *testing.T) {
	f := newReceiverFixture(t)
	f.pass(DefaultLapse + time.Second)
	f.exchange(t)
	if f.fresh() {
		t.Fatal("the instance is fresh after its receiver has reported its silence")
	}
	if !f.announce(2) {
		t.Fatal("the end of the silence is no change")
	}
	f.exchange(t)
	if !f.fresh() {
		t.Error("the instance is not fresh after it has announced itself again")
	}
}

// Guards against requests to servers that were lost together with the host that receives their
// announcements, so that no host reports their silence.
func TestInstancesOfALostReceiverAreNotFresh(t *testing.T) {
	f := newReceiverFixture(t)
	f.pass(time.Minute)
	f.dead = true
	f.pass(DefaultLapse - 2*time.Second)
	if !f.fresh() {
		t.Error("the instance has had no time to announce itself elsewhere")
	}
	f.pass(3 * time.Second)
	if f.fresh() {
		t.Error("the instance is fresh although its receiver is dead")
	}
	f.pass(DefaultForget)
	f.other.Expire(f.now)
	if _, known := f.other.Get("a"); known || len(f.other.receivers) != 0 {
		t.Error("the instance or its receiver is known after Forget")
	}
}

// Guards against a former receiver that reports the silence of an instance which has moved to another host.
func TestFormerReceiverDoesNotReportSilence(t *testing.T) {
	f := newReceiverFixture(t)
	f.now = f.now.Add(time.Second)
	if !f.other.Announce(f.now, ready("a", 2)) {
		t.Fatal("the change of the receiver is no change")
	}
	f.pass(5 * time.Second)
	f.other.Announce(f.now, ready("a", 3))
	f.pass(5 * time.Second) // the former receiver has not heard of the change, and reports silence
	f.exchange(t)
	if !f.fresh() {
		t.Error("the report of the former receiver counts")
	}
	states, _ := f.other.ChangesSince(f.now, changelog.Position{}, 10, "", nil)
	if _, err := f.receiver.Merge(f.now, 0, states[0], "o"); err != nil {
		t.Fatal(err)
	}
	if i, _ := f.receiver.Get("a"); i.Silent || i.Receiver != (Receiver{"o", 2}) {
		t.Errorf("the former receiver knows %+v", i)
	}
}

// Guards against a restarted host whose peers count the instances of its former incarnation as fresh.
func TestRestartedReceiverStartsAnew(t *testing.T) {
	f := newReceiverFixture(t)
	f.receiver = New(Config{Host: "r"})
	f.dead = true // the incarnation that the other host knows of
	f.pass(2 * time.Second)
	f.receiver.Announce(f.now, ready("a", 2))
	f.receiver.SetIncarnation(7)
	f.exchange(t)
	if i, _ := f.other.Get("a"); i.Receiver != (Receiver{"r", 7}) || !f.fresh() {
		t.Errorf("the other host knows %+v", i)
	}
}

// Guards against a warm-up that seems to last longer the later a host hears of it.
func TestWarmupEndsAtTheSameTimeEverywhere(t *testing.T) {
	f := newReceiverFixture(t)
	cold := ready("a", 2)
	cold.WarmupLeft = 20 * time.Second
	f.receiver.Announce(f.now, cold)
	f.exchange(t)
	f.pass(15 * time.Second)
	late := New(Config{Host: "l"})
	for _, st := range allStates(f.other, f.now) {
		if _, err := late.Merge(f.now, 0, st, "o"); err != nil {
			t.Fatal(err)
		}
	}
	i, _ := late.Get("a")
	if end := i.LastAnnounced.Add(i.WarmupLeft); end.Sub(start) < 20*time.Second || end.Sub(start) > 21*time.Second {
		t.Errorf("the warm-up ends after %v, want 20 s", end.Sub(start))
	}
}

// Guards against a change that a peer never gets because its digest says that it has the newest state: one of
// the address, the slots, or that the server has become cold.
func TestChangesShowInTheDigest(t *testing.T) {
	for name, change := range map[string]func(*Announcement){
		"address": func(a *Announcement) { a.Address = "10.0.0.9:80" },
		"slots":   func(a *Announcement) { a.Slots = 9 },
		"cold":    func(a *Announcement) { a.WarmupLeft = 20 * time.Second },
		"leaving": func(a *Announcement) { a.Draining = true },
	} {
		f := newReceiverFixture(t)
		at := f.receiver.log.End()
		a := ready("a", 2)
		change(&a)
		if !f.receiver.Announce(f.now, a) {
			t.Errorf("%s: no change", name)
		}
		states, _ := f.receiver.ChangesSince(f.now, at, 10, "o", f.other.Digest())
		if len(states) != 1 {
			t.Errorf("%s: %d states for a peer that has the former one", name, len(states))
		}
	}
}

// Guards against registries that differ for ever after a server was cold, so that hosts send each other all.
func TestDigestsAgreeAfterAWarmup(t *testing.T) {
	f := newReceiverFixture(t)
	cold := ready("a", 2)
	cold.WarmupLeft = 5 * time.Second
	f.receiver.Announce(f.now, cold)
	f.exchange(t)
	f.now = f.now.Add(6 * time.Second)
	f.announce(3) // warm
	f.pass(time.Second)
	if !slices.Equal(f.receiver.Digest(), f.other.Digest()) {
		t.Error("the digests differ after the warm-up has ended")
	}
}
