package budgets

import (
	"math/rand"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

var errRefused = errkind.New(errkind.BudgetExhausted, "refused")

// staticStrategy gives each host a fixed, equal share of the tokens that are left at the start.
// Its only messages are the bills, which are sent to the ledger one by one.
type staticStrategy struct {
	s    *sim
	left [hostCount][]uint64
}

func newStaticStrategy(s *sim) strategy {
	w := &staticStrategy{s: s}
	for host := range hostCount {
		for account := range accountShare {
			name := budgetName(account)
			share := (funded(account) - s.scenario.billedBefore(account)) / hostCount
			w.left[host] = append(w.left[host], share)
			s.ledger.Apply(&pb.Command{Body: &pb.Command_Acquire{Acquire: &pb.Acquire{
				Holder: holderOf(host), Budget: name, Seq: 1, Need: share, Want: share,
			}}})
		}
	}
	return w
}

func (w *staticStrategy) reserve(r *request) {
	if w.left[r.host][r.account] < r.reserve {
		w.s.decide(r, errRefused)
		return
	}
	w.left[r.host][r.account] -= r.reserve
	w.s.decide(r, nil)
}

func (w *staticStrategy) settle(r *request) {
	w.left[r.host][r.account] += r.reserve - r.use
	w.s.countMessages(2*replicas, 400)
}

func (w *staticStrategy) tick()                         {}
func (w *staticStrategy) free(host, account int) uint64 { return w.left[host][account] }

// quorumStrategy writes to the ledger before and after each request. Hosts hold no tokens in
// between.
type quorumStrategy struct {
	s       *sim
	acquire [hostCount][]uint64 // last sequence number by account
	batch   [hostCount]uint64
}

func newQuorumStrategy(s *sim) strategy {
	w := &quorumStrategy{s: s}
	for host := range hostCount {
		w.acquire[host] = make([]uint64, len(accountShare))
	}
	return w
}

func (w *quorumStrategy) reserve(r *request) {
	if !w.s.reachesLedger(r.host) { // refused immediately, because the host has detected the cut
		w.s.countMessages(1, 100)
		w.s.decide(r, errRefused)
		return
	}
	w.acquire[r.host][r.account]++
	cmd := &pb.Command{Body: &pb.Command_Acquire{Acquire: &pb.Acquire{
		Holder: holderOf(r.host), Budget: budgetName(r.account),
		Seq: w.acquire[r.host][r.account], Need: r.reserve, Want: r.reserve,
	}}}
	w.s.propose(r.host, cmd, func(result *pb.CommandResult) {
		amount := result.GetAcquire().GetAmount()
		if amount < r.reserve {
			w.settleWith(r, nil, amount)
			w.s.decide(r, errRefused)
			return
		}
		w.s.decide(r, nil)
	})
}

func (w *quorumStrategy) settle(r *request) {
	bill := &pb.Bill{Budget: budgetName(r.account), Identity: r.id, RequestId: r.id, Tokens: r.use}
	w.settleWith(r, bill, r.reserve-r.use)
}

// settleWith sends the bill, if any, and returns the unused tokens. During the cut it tries again
// until the ledger is reachable.
func (w *quorumStrategy) settleWith(r *request, bill *pb.Bill, back uint64) {
	if !w.s.reachesLedger(r.host) {
		w.s.after(proposeTimeout, func() { w.settleWith(r, bill, back) })
		return
	}
	w.batch[r.host]++
	batch := &pb.Settle{Holder: holderOf(r.host), Seq: w.batch[r.host]}
	if bill != nil {
		batch.Bills = []*pb.Bill{bill}
	}
	if back > 0 {
		batch.Returns = []*pb.Return{{Budget: budgetName(r.account), Tokens: back}}
	}
	w.s.propose(r.host, &pb.Command{Body: &pb.Command_Settle{Settle: batch}}, func(*pb.CommandResult) {})
}

func (w *quorumStrategy) tick()                {}
func (w *quorumStrategy) free(int, int) uint64 { return 0 }

// Grants configures the strategies with grants.
type Grants struct {
	Policy grant.Policy
	Config grant.Config
	// RequireCopy rejects a transfer if no third host can store a copy of it.
	RequireCopy bool
}

// grantStrategy spends from grants that are acquired on demand. If the policy allows it, hosts
// transfer tokens to each other.
type grantStrategy struct {
	s       *sim
	set     Grants
	holders [hostCount]*grant.Holder
	waiting map[string]*request
	flush   [hostCount]bool
	index   map[string]int
	// accounts maps the names of budgets to accounts.
	accounts map[string]int
}

func newGrantStrategy(s *sim, set Grants) strategy {
	w := &grantStrategy{s: s, set: set, waiting: make(map[string]*request), index: make(map[string]int), accounts: make(map[string]int)}
	for host := range hostCount {
		w.index[hostName(host)] = host
		w.holders[host] = grant.New(holderOf(host), set.Config, rand.New(rand.NewSource(s.scenario.seed+int64(host))))
	}
	for account := range accountShare {
		w.accounts[budgetName(account)] = account
	}
	return w
}

// peers returns the hosts that the membership considers reachable, which lags by suspectAfter.
func (w *grantStrategy) peers(host int) []string {
	asOf := w.s.now - suspectAfter
	inCut := asOf >= w.s.scenario.cutStart() && asOf < w.s.scenario.cutEnd()
	var peers []string
	for other := range hostCount {
		sameSide := (zoneOf[other] == cutZone) == (zoneOf[host] == cutZone)
		if other != host && (!inCut || sameSide) {
			peers = append(peers, hostName(other))
		}
	}
	return peers
}

func (w *grantStrategy) step(host int, input func(h *grant.Holder, now time.Time) grant.Output) {
	h := w.holders[host]
	h.SetPeers(w.peers(host))
	w.execute(host, input(h, w.s.virtualTime()))
}

func (w *grantStrategy) reserve(r *request) {
	w.waiting[r.id] = r
	w.step(r.host, func(h *grant.Holder, now time.Time) grant.Output {
		return h.Reserve(now, r.id, budgetName(r.account), r.reserve, w.set.Policy)
	})
}

func (w *grantStrategy) settle(r *request) {
	w.step(r.host, func(h *grant.Holder, now time.Time) grant.Output {
		out, _ := h.Settle(now, &pb.Bill{Budget: budgetName(r.account), Identity: r.id, RequestId: r.id, Tokens: r.use, TimeMs: 1})
		return out
	})
	w.scheduleFlush(r.host)
}

func (w *grantStrategy) scheduleFlush(host int) {
	if w.flush[host] {
		return
	}
	w.flush[host] = true
	w.s.after(51*time.Millisecond, func() {
		w.flush[host] = false
		w.step(host, func(h *grant.Holder, now time.Time) grant.Output { return h.Flush(now) })
	})
}

func (w *grantStrategy) tick() {
	for host := range hostCount {
		w.step(host, (*grant.Holder).Tick)
	}
}

func (w *grantStrategy) free(host, account int) uint64 {
	for _, l := range w.holders[host].Levels() {
		if l.Budget == budgetName(account) {
			return l.Free
		}
	}
	return 0
}

// execute handles the output of a host's state machine: decisions on requests, and messages to
// the ledger and to peers.
func (w *grantStrategy) execute(host int, out grant.Output) {
	for _, d := range out.Decisions {
		r := w.waiting[d.Request]
		delete(w.waiting, d.Request)
		w.s.decide(r, d.Err)
	}
	for _, msg := range out.Acquires {
		w.acquire(host, msg)
	}
	if out.Batch != nil {
		w.sendBatch(host, out.Batch)
	}
	for _, ask := range out.Asks {
		w.ask(host, ask)
	}
}

func (w *grantStrategy) acquire(host int, msg *pb.Acquire) {
	w.s.propose(host, &pb.Command{Body: &pb.Command_Acquire{Acquire: msg}}, func(r *pb.CommandResult) {
		w.step(host, func(h *grant.Holder, now time.Time) grant.Output {
			if r.GetAcquire() == nil {
				return h.AcquireFailed(now, msg.GetBudget(), msg.GetSeq())
			}
			return h.AcquireAnswered(now, msg.GetBudget(), msg.GetSeq(), r.GetAcquire())
		})
	})
}

func (w *grantStrategy) sendBatch(host int, batch *pb.Settle) {
	w.s.propose(host, &pb.Command{Body: &pb.Command_Settle{Settle: batch}}, func(r *pb.CommandResult) {
		if r.GetSettle() == nil {
			return
		}
		w.step(host, func(h *grant.Holder, now time.Time) grant.Output {
			out, _ := h.SettleAnswered(now, batch.GetSeq(), r.GetSettle())
			return out
		})
		w.scheduleFlush(host)
	})
}
