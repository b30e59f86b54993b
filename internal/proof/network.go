package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// faults configures how often messages are affected by each kind of fault, in permille.
type faults struct {
	lost, answerLost, duplicated, delayed int
	// maxDelay is the longest delay of a delayed message or answer.
	maxDelay time.Duration
}

var badNetwork = faults{lost: 60, answerLost: 80, duplicated: 80, delayed: 80, maxDelay: 4 * time.Second}

// draw returns a number below n that depends on the seed, on what, and on how often what was
// drawn before, but not on other draws: a goroutine that runs earlier doesn't change the
// faults of another.
func (f *fleet) draw(what string, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drawCounts[what]++
	return int(xxhash.Sum64String(fmt.Sprint(f.seed, what, f.drawCounts[what])) % uint64(n))
}

func (f *fleet) occurs(what string, permille int) bool {
	return permille > 0 && f.draw(what, 1000) < permille
}

func (f *fleet) delay(link string) time.Duration {
	d := time.Duration(200+f.draw(link+"/short", 1800)) * time.Microsecond
	if f.occurs(link+"/late", f.network().delayed) {
		d += time.Duration(f.draw(link+"/long", int(f.network().maxDelay/time.Microsecond))) * time.Microsecond
	}
	return d
}

func (f *fleet) network() faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

var errLost = errkind.New(errkind.NoQuorum, "the call got no answer")

// deliver delivers one call from a host to another host, or to the ledger. handle may run
// once, twice or never, and may run late, even after the caller has given up.
func deliver[T any](ctx context.Context, f *fleet, from *node, to string, handle func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	link := from.self.GetHost() + ">" + to
	if f.reaches(from, to) && !f.occurs(link+"/lost", f.network().lost) {
		if f.occurs(link+"/doubled", f.network().duplicated) {
			time.AfterFunc(2*f.delay(link+"/again"), func() { _, _ = handle() })
		}
		time.AfterFunc(f.delay(link), func() {
			value, err := handle()
			if f.occurs(link+"/answer", f.network().answerLost) || !f.reaches(from, to) {
				return
			}
			time.AfterFunc(f.delay(link+"/back"), func() { answers <- answer{value, err} })
		})
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, errLost
	}
}

const ledgerSide = "ledger"

// reaches reports whether messages of a live host can reach another one, or the ledger.
func (f *fleet) reaches(from *node, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	host := from.self.GetHost()
	return f.nodes[host] == from && f.partition[host] == f.partition[to]
}

// cutOff partitions the given hosts from the others and the ledger; without hosts it ends the
// partition.
func (f *fleet) cutOff(hosts ...string) {
	f.mu.Lock()
	f.partition = make(map[string]int)
	for _, host := range hosts {
		f.partition[host] = 1
	}
	f.mu.Unlock()
	f.notifyHosts()
}
