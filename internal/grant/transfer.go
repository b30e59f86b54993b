package grant

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// How long asks are remembered.
const (
	// nothingWindow is how long a giver remembers that it gave nothing.
	nothingWindow = 15 * time.Minute
	// askWindow is how long the outcome of an unanswered ask is asked for. What the peer
	// may have given then stays stranded until the peer's incarnation is recovered.
	askWindow = 24 * time.Hour
	// givenWindow is how long a giver answers a repeated ask with the same transfer, if
	// it doesn't learn before that the ledger knows the transfer. It outlasts askWindow:
	// a transfer forgotten while it is asked for would be stranded.
	givenWindow = askWindow + time.Hour
	// pruneEvery spaces the searches for asks that may be forgotten.
	pruneEvery = time.Minute
)

// transfers is what the holder knows of tokens moved between holders.
type transfers struct {
	// given remembers each ask answered as a giver, by id, those answered with nothing too.
	given map[string]*given
	// open are this holder's own asks without an answer. Only an open ask can bring
	// tokens, and its first definite answer closes it, so a doubled answer brings none.
	open map[string]*openAsk
	// lastAsk numbers this holder's asks.
	lastAsk uint64
	pruned  time.Time
}

type given struct {
	transfer *pb.Transfer
	at       time.Time
	// ready: the copies of the transfer are in place and it may be answered.
	ready bool
}

type openAsk struct {
	peer   string
	budget string
	tokens uint64
	since  time.Time
	next   time.Time
	wait   time.Duration
}

func newTransfers() transfers {
	return transfers{
		given: make(map[string]*given),
		open:  make(map[string]*openAsk),
	}
}

// prune forgets old asks. It is safe: an ask repeated later gets nothing, and an answer
// to a forgotten ask is dropped.
func (t *transfers) prune(now time.Time) {
	if now.Sub(t.pruned) < pruneEvery {
		return
	}
	t.pruned = now
	for id, g := range t.given {
		if now.Sub(g.at) > g.window() {
			delete(t.given, id)
		}
	}
	for id, ask := range t.open {
		if now.Sub(ask.since) > askWindow {
			delete(t.open, id)
		}
	}
}

// round is one search among the peers for the shortage of a budget's waiters.
type round struct {
	// candidates may still have tokens; a peer that gave less than it was asked is out.
	candidates []string
	// asks without an answer, by id.
	asks map[string]struct{}
}

// startRound looks to the peers for the waiters that the ledger couldn't serve.
func (h *Holder) startRound(now time.Time, b *budget, out *Output) {
	covered := false
	for _, w := range b.waiters {
		w.asked = w.tried && !w.helpless
		covered = covered || w.asked
	}
	if !covered {
		return
	}
	b.round = &round{asks: make(map[string]struct{})}
	if b.policy.Transfers {
		b.round.candidates = h.shuffledPeers()
	}
	h.askPeers(now, b, out)
	h.endRound(now, b, out)
}

func (h *Holder) shuffledPeers() []string {
	peers := slices.Clone(h.peers)
	h.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// askPeers asks the next few candidates for equal parts of the shortage.
func (h *Holder) askPeers(now time.Time, b *budget, out *Output) {
	n := min(h.cfg.AskFanout, len(b.round.candidates))
	short := b.askedShortage()
	if n == 0 || short == 0 {
		return
	}
	part := (short + uint64(n) - 1) / uint64(n)
	for _, peer := range b.round.candidates[:n] {
		id := h.newAsk(now, b, peer, part, out)
		b.round.asks[id] = struct{}{}
	}
}

// askedShortage is what the covered waiters miss.
func (b *budget) askedShortage() uint64 {
	var sum uint64
	for _, w := range b.waiters {
		if w.asked {
			sum += w.tokens
		}
	}
	return sum - min(sum, b.free)
}

func (h *Holder) newAsk(now time.Time, b *budget, peer string, tokens uint64, out *Output) string {
	h.transfers.lastAsk++
	id := fmt.Sprintf("%s%d", h.askPrefix(), h.transfers.lastAsk)
	wait := 2 * h.cfg.LedgerTimeout
	h.transfers.open[id] = &openAsk{peer: peer, budget: b.name, tokens: tokens, since: now, wait: wait, next: now.Add(wait)}
	out.Asks = append(out.Asks, Ask{Peer: peer, Request: &pb.AskTokensRequest{
		From: h.self, Budget: b.name, Tokens: tokens, Id: id,
	}})
	return id
}

// askPrefix makes ids unique over all incarnations.
func (h *Holder) askPrefix() string {
	return fmt.Sprintf("%s/%d/", h.self.GetHost(), h.self.GetIncarnation())
}

// AskAnswered takes a peer's answer to an ask: t, or nil if the peer gave nothing.
//
// A transfer is accepted once by its id, also when its answer comes late, doubled or
// after the round ended. One that was lost stays deducted at the giver: stranded until
// the ask is answered, never in two places.
func (h *Holder) AskAnswered(now time.Time, id string, t *pb.Transfer) Output {
	var out Output
	ask, open := h.transfers.open[id]
	if !open {
		return out
	}
	delete(h.transfers.open, id)
	got := h.accept(now, id, ask, t)
	if got > 0 {
		b := h.budget(ask.budget)
		b.free += got
		b.receivedNext += got
		h.advance(now, b, &out)
	}
	h.roundAnswered(now, ask, id, got, &out)
	return out
}

// accept returns the tokens of t if it answers the ask, for this holder and from a live one.
func (h *Holder) accept(now time.Time, id string, ask *openAsk, t *pb.Transfer) uint64 {
	if t.GetTokens() == 0 || t.GetId() != id || t.GetBudget() != ask.budget {
		return 0
	}
	if keyOf(t.GetTo()) != keyOf(h.self) || h.isFenced(t.GetFrom()) {
		return 0
	}
	h.settlement.accept(now, t)
	return t.GetTokens()
}

// AskFailed tells that an ask got no answer. The round goes on without that peer; the
// ask stays open, since the peer may have given.
func (h *Holder) AskFailed(now time.Time, id string) Output {
	var out Output
	if ask, ok := h.transfers.open[id]; ok {
		h.roundAnswered(now, ask, id, 0, &out)
	}
	return out
}

func (h *Holder) roundAnswered(now time.Time, ask *openAsk, id string, got uint64, out *Output) {
	b := h.budget(ask.budget)
	if b.round == nil {
		return
	}
	if _, ok := b.round.asks[id]; !ok {
		return
	}
	delete(b.round.asks, id)
	if got < ask.tokens {
		b.round.candidates = slices.DeleteFunc(b.round.candidates, func(p string) bool { return p == ask.peer })
	}
	if len(b.round.asks) > 0 {
		return
	}
	h.askPeers(now, b, out)
	h.endRound(now, b, out)
	h.advance(now, b, out)
}

// endRound closes a round that has no ask left; the peers can't help the waiters that it
// covered.
func (h *Holder) endRound(now time.Time, b *budget, out *Output) {
	if b.round == nil || len(b.round.asks) > 0 && b.askedShortage() > 0 {
		return
	}
	b.round = nil
	for _, w := range b.waiters {
		w.helpless = w.helpless || w.asked
		w.asked = false
	}
	h.refuseHelpless(now, b, out)
}

// refuseHelpless refuses the waiters that neither the ledger nor the peers can serve.
func (h *Holder) refuseHelpless(now time.Time, b *budget, out *Output) {
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		if !w.helpless || now.Before(w.notBefore) {
			kept = append(kept, w)
			continue
		}
		out.Decisions = append(out.Decisions, Decision{Request: w.request, Err: h.refusal(now, w, b), ReserveUsableIn: h.opensIn(now, w, b)})
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

// opensIn is when the reserve will cover a refused waiter; 0: not known.
func (h *Holder) opensIn(now time.Time, w *waiter, b *budget) time.Duration {
	if w.why != errkind.BudgetUnreachable {
		return 0
	}
	in, ok := b.out.opensIn(w.tokens-min(w.tokens, b.free), h.withoutContact(now))
	if !ok {
		return 0
	}
	return in
}

func (h *Holder) refusal(now time.Time, w *waiter, b *budget) *errkind.Error {
	held := fmt.Sprintf("%d tokens needed, %d free here, %d in reserve, %v without contact, %d free at the ledger then",
		w.tokens, b.free, b.out.reserve, h.withoutContact(now).Round(time.Millisecond), b.level)
	if w.why == errkind.BudgetUnreachable {
		again := min(max(h.withoutContact(now), RetryAfterUnreachable), MaxRetryAfterUnreachable)
		return errkind.New(w.why, "budget %s: %s; the ledger is out of reach", b.name, held).After(again)
	}
	return errkind.New(w.why, "budget %s: %s; none left to grant", b.name, held).After(RetryAfterExhausted)
}

// resendAsks asks again for the outcome of asks without an answer. A repeated ask asks
// for no tokens: a giver that knows the id answers as before, one that doesn't gives
// nothing and remembers that, so that the first message gives nothing either if it
// arrives later.
func (h *Holder) resendAsks(now time.Time, out *Output) {
	for _, id := range slices.Sorted(maps.Keys(h.transfers.open)) {
		ask := h.transfers.open[id]
		if now.Before(ask.next) {
			continue
		}
		ask.wait = min(2*ask.wait, 6*h.cfg.ResendMax)
		ask.next = now.Add(ask.wait)
		out.Asks = append(out.Asks, Ask{Peer: ask.peer, Request: &pb.AskTokensRequest{
			From: h.self, Budget: ask.budget, Id: id,
		}})
		h.roundAnswered(now, ask, id, 0, out)
	}
}

// TransferState says what the giver's runtime must do with an ask.
type TransferState int

// States of an ask at the giver.
const (
	// NoTransfer: answer without a transfer.
	NoTransfer TransferState = iota
	// NewTransfer: the tokens are deducted; copy the transfer to peers, then call GiveReady
	// and answer, or GiveUndone and answer without.
	NewTransfer
	// ReadyTransfer: answer with the transfer.
	ReadyTransfer
	// PendingTransfer: its copies are not yet in place; copy again, or let the asker come back.
	PendingTransfer
)

// HandleAsk is the giver's side: it deducts tokens before anyone else may have them.
// A holder with waiters of its own gives only to a host whose name comes first, so that
// of two short hosts one gets enough.
func (h *Holder) HandleAsk(now time.Time, req *pb.AskTokensRequest) (*pb.Transfer, TransferState) {
	if h.isFenced(req.GetFrom()) {
		return nil, NoTransfer
	}
	if g, ok := h.transfers.given[req.GetId()]; ok {
		return g.state()
	}
	tokens := h.spare(req)
	t := &pb.Transfer{Id: req.GetId(), Budget: req.GetBudget(), From: h.self, To: req.GetFrom(), Tokens: tokens}
	h.transfers.given[req.GetId()] = &given{transfer: t, at: now, ready: tokens == 0}
	if tokens == 0 {
		return nil, NoTransfer
	}
	h.budgets[req.GetBudget()].free -= tokens
	return t, NewTransfer
}

func (g *given) window() time.Duration {
	if g.transfer.GetTokens() == 0 {
		return nothingWindow
	}
	return givenWindow
}

func (g *given) state() (*pb.Transfer, TransferState) {
	if g.transfer.GetTokens() == 0 {
		return nil, NoTransfer
	}
	if !g.ready {
		return g.transfer, PendingTransfer
	}
	return g.transfer, ReadyTransfer
}

func (h *Holder) spare(req *pb.AskTokensRequest) uint64 {
	b, ok := h.budgets[req.GetBudget()]
	if !ok {
		return 0
	}
	if len(b.waiters) > 0 && h.self.GetHost() < req.GetFrom().GetHost() {
		return 0
	}
	return min(req.GetTokens(), b.free, b.givable())
}

// givable is how much may be given so that the ledger can follow: it must find the tokens
// in this holder's grant whichever batch it applies first, the receiver's or one of ours.
//
// Tokens received from a third holder and passed on at once would break that: the
// receiver's batch may come first and move tokens that the ledger doesn't know here yet.
func (b *budget) givable() uint64 {
	now := sub(b.held(), b.receivedSent+b.receivedNext)
	afterBatch := sub(b.held(), b.leaving+b.receivedNext)
	return min(now, afterBatch)
}

// sub is x - y, 0 if y is greater.
func sub(x, y uint64) uint64 { return x - min(x, y) }

// PendingTransfers are the transfers deducted here whose copies are not yet in place.
func (h *Holder) PendingTransfers() []*pb.Transfer {
	var pending []*pb.Transfer
	for _, id := range slices.Sorted(maps.Keys(h.transfers.given)) {
		if g := h.transfers.given[id]; !g.ready {
			pending = append(pending, g.transfer)
		}
	}
	return pending
}

// MarkTransferReady tells that the copies of a new transfer are in place.
func (h *Holder) MarkTransferReady(id string) {
	if g, ok := h.transfers.given[id]; ok {
		g.ready = true
	}
}

// MarkTransferSettled forgets a given transfer: its receiver told that the ledger knows it. For a
// while its id is still answered with nothing, so that a first ask that comes late doesn't
// move tokens again.
func (h *Holder) MarkTransferSettled(now time.Time, id string) {
	if g, ok := h.transfers.given[id]; ok && g.ready {
		g.transfer = &pb.Transfer{Id: id}
		g.at = now
	}
}

// UndoTransfer takes a transfer back that was never answered and never will be: from now
// on its id is answered with nothing.
func (h *Holder) UndoTransfer(now time.Time, id string) Output {
	var out Output
	g, ok := h.transfers.given[id]
	if !ok || g.ready {
		return out
	}
	b := h.budget(g.transfer.GetBudget())
	b.free += g.transfer.GetTokens()
	g.transfer = &pb.Transfer{Id: id}
	g.ready = true
	h.advance(now, b, &out)
	return out
}

// Fence refuses from now on every transfer from or to a dead incarnation, and returns
// those that this holder accepted from it and the ledger hasn't acknowledged.
//
// Without it, a transfer still under way when the dead holder's tokens are released
// would put the same tokens in two places.
func (h *Holder) Fence(dead *pb.Holder) []*pb.Transfer {
	h.fenced[keyOf(dead)] = struct{}{}
	var from []*pb.Transfer
	pending := slices.Concat(h.settlement.batch.GetTransfers(), h.settlement.accepted)
	for _, t := range pending {
		if keyOf(t.GetFrom()) == keyOf(dead) {
			from = append(from, t)
		}
	}
	return from
}

func (h *Holder) isFenced(holder *pb.Holder) bool {
	_, dead := h.fenced[keyOf(holder)]
	return dead
}

// ErrCopying is the refusal that an AskTokensReply carries while copies are under way.
func ErrCopying() *errkind.Error {
	return errkind.New(errkind.InProgress, "the transfer is being copied").After(RetryAfterUnreachable)
}
