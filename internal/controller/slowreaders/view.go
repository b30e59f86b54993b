package slowreaders

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/slowread"
)

// View is what a process holds for slow callers and servers at one moment. Bytes.
type View struct {
	Bound int64 `json:"bound"`
	Held  int64 `json:"held"`
	// Callers and Servers are the parts of Held on either side.
	Callers int64 `json:"callers"`
	Servers int64 `json:"servers"`
	// Waiting is the number of answers and bodies that wait.
	Waiting int `json:"waiting"`
	// FullFor is how long hardly anything has been free.
	FullFor time.Duration `json:"full_for_ns"`
	// Accounts has the client accounts for which bytes are held, the largest first, at most maxAccounts.
	Accounts []slowread.Account `json:"accounts,omitempty"`
}

// maxAccounts bounds the accounts of a View.
const maxAccounts = 50

// View returns what is held now.
func (k *Keeper) View() View {
	full := k.fullFor()
	k.mu.Lock()
	defer k.mu.Unlock()
	accounts := k.pool.Accounts()
	return View{
		Bound: k.pool.Bound(), Held: k.pool.Total(), Callers: k.pool.Held(slowread.Callers), Servers: k.pool.Held(slowread.Servers),
		Waiting: k.pool.Waiting(), FullFor: full, Accounts: accounts[:min(len(accounts), maxAccounts)],
	}
}

// metrics are the counters of a Keeper.
type metrics struct {
	// waits counts the writes and bodies that had to wait, refused the requests without room for
	// their bodies, slow those that waited for slowAfter, stalledServers the attempts at servers
	// that read nothing for too long, skipped the lines that were not written.
	waits, refused, slow, stalledServers, skipped expvar.Int
	vars                                          expvar.Map
}

func (m *metrics) init(k *Keeper) {
	m.vars.Set("now", expvar.Func(func() any { return k.View() }))
	m.vars.Set("waits", &m.waits)
	m.vars.Set("slow", &m.slow)
	m.vars.Set("refused", &m.refused)
	m.vars.Set("stalled_servers", &m.stalledServers)
	m.vars.Set("lines_skipped", &m.skipped)
}

// Vars returns the counters, and the View under "now".
func (k *Keeper) Vars() expvar.Var { return &k.metrics.vars }

// mayLog reports whether another line may be written.
func (k *Keeper) mayLog() bool {
	if k.lines.Allow() {
		return true
	}
	k.metrics.skipped.Add(1)
	return false
}

// logSlow writes the line about an answer or a body that has waited for slowAfter.
func (h *Holder) logSlow(requestID string, began time.Time) {
	k := h.k
	k.metrics.slow.Add(1)
	if !k.mayLog() {
		return
	}
	k.mu.Lock()
	account, held, total, waiting := h.h.Account(), h.h.Held(), k.pool.Total(), k.pool.Waiting()
	k.mu.Unlock()
	event := "caller-slow"
	if h.body {
		event = "body-waits"
	}
	k.log.Info().Str("event", event).Str("request", requestID).Str("account", account).Int64("held", held).
		Dur("age", time.Since(began)).Int64("held_by_all", total).Int64("bound", k.pool.Bound()).Int("waiting", waiting).Send()
}

// ServerStalled records that a server has read nothing of a request for age. held is how much of it was
// still to be sent, in bytes.
func (k *Keeper) ServerStalled(address string, held int64, age time.Duration) {
	k.metrics.stalledServers.Add(1)
	if k.mayLog() {
		k.log.Warn().Str("event", "server-slow").Str("address", address).Int64("held", held).Dur("age", age).Send()
	}
}

// refusal returns the error for a request without room for its body.
func (k *Keeper) refusal(account, requestID string, n int) error {
	k.metrics.refused.Add(1)
	after := refusalRetryMin + rand.N(refusalRetryMax-refusalRetryMin)
	if k.mayLog() {
		v := k.View()
		k.log.Warn().Str("event", "slow-readers-refused").Str("request", requestID).Str("account", account).Int("bytes", n).
			Int64("held_by_callers", v.Callers).Int64("held_by_servers", v.Servers).Int64("bound", v.Bound).Dur("full_for", v.FullFor).Send()
	}
	return errkind.New(errkind.Overloaded, "this host holds too much for callers and servers that read slowly").After(after)
}
