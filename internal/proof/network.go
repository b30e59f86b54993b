package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// faults says how often a message suffers what, in permille.
type faults struct {
	lost, answerLost, doubled, delayed int
	// longest delay of a delayed message or answer.
	longest time.Duration
}

var badNetwork = faults{lost: 60, answerLost: 80, doubled: 80, delayed: 80, longest: 4 * time.Second}

// draw is a number below n that depends on the seed, on what and on how often what was
// drawn before, but not on the order in which other things were: a goroutine that runs
// earlier doesn't change the faults of another.
func (f *fleet) draw(what string, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drawn[what]++
	return int(xxhash.Sum64String(fmt.Sprint(f.seed, what, f.drawn[what])) % uint64(n))
}

func (f *fleet) fate(what string, permille int) bool {
	return permille > 0 && f.draw(what, 1000) < permille
}

func (f *fleet) delay(link string) time.Duration {
	d := time.Duration(200+f.draw(link+"/short", 1800)) * time.Microsecond
	if f.fate(link+"/late", f.network().delayed) {
		d += time.Duration(f.draw(link+"/long", int(f.network().longest/time.Microsecond))) * time.Microsecond
	}
	return d
}

func (f *fleet) network() faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

var errLost = errkind.New(errkind.NoQuorum, "no answer")

// deliver carries one call from a host to another host, or to the ledger. handle may run
// once, twice or never, and late: also after the caller has given up.
func deliver[T any](ctx context.Context, f *fleet, from *node, to string, handle func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	link := from.self.GetHost() + ">" + to
	if f.reaches(from, to) && !f.fate(link+"/lost", f.network().lost) {
		if f.fate(link+"/doubled", f.network().doubled) {
			time.AfterFunc(2*f.delay(link+"/again"), func() { _, _ = handle() })
		}
		time.AfterFunc(f.delay(link), func() {
			value, err := handle()
			if f.fate(link+"/answer", f.network().answerLost) || !f.reaches(from, to) {
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

// reaches tells whether messages of a live host get to another one, or to the ledger.
func (f *fleet) reaches(from *node, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	host := from.self.GetHost()
	return f.nodes[host] == from && f.side[host] == f.side[to]
}

// cut puts hosts on the far side; the ledger stays on the near one. No hosts: healed.
func (f *fleet) cut(hosts ...string) {
	f.mu.Lock()
	f.side = make(map[string]int)
	for _, host := range hosts {
		f.side[host] = 1
	}
	f.mu.Unlock()
	f.tellHosts()
}
