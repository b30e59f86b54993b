package grant

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Retention of asks and transfers.
const (
	// emptyRetention is how long a sender remembers that it answered an ask without tokens.
	emptyRetention = 15 * time.Minute
	// askRetention is how long an unanswered ask is repeated to learn its outcome. After
	// that, tokens that the peer may have sent are stranded until the peer's incarnation is
	// recovered.
	askRetention = 24 * time.Hour
	// sentRetention is how long a sender answers a repeated ask with the same transfer,
	// unless it learns earlier that the ledger knows the transfer. It is longer than
	// askRetention: a transfer forgotten while its ask is still repeated would be stranded.
	sentRetention = askRetention + time.Hour
	// pruneInterval is the time between searches for asks that may be forgotten.
	pruneInterval = time.Minute
)

// transfers is the holder's state of tokens moved between holders.
type transfers struct {
	// sent holds each ask answered as a sender, by id, including those answered without tokens.
	sent map[string]*sentTransfer
	// open holds this holder's own unanswered asks. Only an open ask can add tokens, and its
	// first definite answer closes it, so a duplicate answer adds none.
	open map[string]*openAsk
	// lastAsk is the number of this holder's last ask.
	lastAsk uint64
	pruned  time.Time
}

type sentTransfer struct {
	transfer *pb.Transfer
	at       time.Time
	// ready is true once the copies of the transfer are stored at peers, so that the ask may
	// be answered with it.
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
		sent: make(map[string]*sentTransfer),
		open: make(map[string]*openAsk),
	}
}

// prune forgets old asks. It is safe: an ask repeated later gets no tokens, and an answer
// to a forgotten ask is dropped.
func (t *transfers) prune(now time.Time) {
	if now.Sub(t.pruned) < pruneInterval {
		return
	}
	t.pruned = now
	for id, g := range t.sent {
		if now.Sub(g.at) > g.retention() {
			delete(t.sent, id)
		}
	}
	for id, ask := range t.open {
		if now.Sub(ask.since) > askRetention {
			delete(t.open, id)
		}
	}
}

// round is one attempt to get the tokens missing for a budget's waiters from the peers.
type round struct {
	// candidates are the peers that may still have tokens; a peer that sent less than it was
	// asked for is removed.
	candidates []string
	// asks are the unanswered asks of the round, by id.
	asks map[string]struct{}
}

// startRound asks the peers on behalf of the waiters that the ledger couldn't serve.
func (h *Holder) startRound(now time.Time, b *budget, out *Output) {
	covered := false
	for _, w := range b.waiters {
		w.inRound = w.ledgerTried && !w.peersTried
		covered = covered || w.inRound
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

// askPeers asks the next AskFanout candidates for equal parts of the shortage.
func (h *Holder) askPeers(now time.Time, b *budget, out *Output) {
	n := min(h.cfg.AskFanout, len(b.round.candidates))
	short := b.roundShortage()
	if n == 0 || short == 0 {
		return
	}
	part := (short + uint64(n) - 1) / uint64(n)
	for _, peer := range b.round.candidates[:n] {
		id := h.newAsk(now, b, peer, part, out)
		b.round.asks[id] = struct{}{}
	}
}

// roundShortage returns the number of tokens missing for the waiters covered by the round.
func (b *budget) roundShortage() uint64 {
	var sum uint64
	for _, w := range b.waiters {
		if w.inRound {
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

// askPrefix returns the prefix that makes ask ids unique across all incarnations.
func (h *Holder) askPrefix() string {
	return fmt.Sprintf("%s/%d/", h.self.GetHost(), h.self.GetIncarnation())
}

// AskAnswered processes a peer's answer to an ask: t, or nil if the peer sent no tokens.
//
// A transfer is accepted exactly once by its id, even if its answer is late, duplicated or
// arrives after the round ended. The tokens of a lost transfer stay deducted at the sender:
// they are stranded until the ask is answered, but never held by two hosts.
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
		b.receivedPending += got
		h.advance(now, b, &out)
	}
	h.roundAnswered(now, ask, id, got, &out)
	return out
}

// accept returns the tokens of t if it answers the ask, is addressed to this holder, and its
// sender is not fenced.
func (h *Holder) accept(now time.Time, id string, ask *openAsk, t *pb.Transfer) uint64 {
	if t.GetTokens() == 0 || t.GetId() != id || t.GetBudget() != ask.budget {
		return 0
	}
	if keyOf(t.GetTo()) != keyOf(h.self) || h.isFenced(t.GetFrom()) {
		return 0
	}
	h.settlement.addTransfer(now, t)
	return t.GetTokens()
}

// AskFailed reports that an ask got no answer. The round continues without that peer; the
// ask stays open, since the peer may have sent tokens.
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

// endRound closes a round that has no unanswered ask or nothing missing, and marks the
// waiters that it covered as not served by the peers.
func (h *Holder) endRound(now time.Time, b *budget, out *Output) {
	if b.round == nil || len(b.round.asks) > 0 && b.roundShortage() > 0 {
		return
	}
	b.round = nil
	for _, w := range b.waiters {
		w.peersTried = w.peersTried || w.inRound
		w.inRound = false
	}
	h.refuseUnserved(now, b, out)
}

// refuseUnserved refuses the waiters that neither the ledger nor the peers can serve.
func (h *Holder) refuseUnserved(now time.Time, b *budget, out *Output) {
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		if !w.peersTried || now.Before(w.refuseAt) {
			kept = append(kept, w)
			continue
		}
		out.Decisions = append(out.Decisions, Decision{Request: w.request, Err: h.refusal(now, w, b), ReserveUsableIn: h.reserveUsableIn(now, w, b)})
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

// reserveUsableIn returns the time until the reserve covers a refused waiter; 0 if unknown.
func (h *Holder) reserveUsableIn(now time.Time, w *waiter, b *budget) time.Duration {
	if w.refusalKind != errkind.BudgetUnreachable {
		return 0
	}
	in, ok := b.reserve.usableIn(w.tokens-min(w.tokens, b.free), h.sinceContact(now))
	if !ok {
		return 0
	}
	return in
}

func (h *Holder) refusal(now time.Time, w *waiter, b *budget) *errkind.Error {
	amounts := fmt.Sprintf("%d tokens needed, %d free on this host, %d in reserve; ledger last reached %v ago with %d free",
		w.tokens, b.free, b.reserve.tokens, h.sinceContact(now).Round(time.Millisecond), b.ledgerFree)
	if w.refusalKind == errkind.BudgetUnreachable {
		again := min(max(h.sinceContact(now), RetryAfterUnreachable), MaxRetryAfterUnreachable)
		return errkind.New(w.refusalKind, "budget %s: %s; the ledger is unreachable", b.name, amounts).After(again)
	}
	return errkind.New(w.refusalKind, "budget %s: %s; no tokens left to grant", b.name, amounts).After(RetryAfterExhausted)
}

// resendAsks repeats unanswered asks to learn their outcome. A repeated ask requests no
// tokens: a sender that knows the id answers as before; one that doesn't sends nothing and
// remembers that, so that the first message gets nothing either if it arrives later.
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

// TransferState tells the sender's runtime how to proceed with an ask.
type TransferState int

// States of an ask at the sender.
const (
	// NoTransfer means that the ask is answered without a transfer.
	NoTransfer TransferState = iota
	// NewTransfer means that the tokens are deducted. The runtime copies the transfer to
	// peers; then it calls MarkTransferReady and answers with the transfer, or UndoTransfer
	// and answers without it.
	NewTransfer
	// ReadyTransfer means that the ask is answered with the transfer.
	ReadyTransfer
	// PendingTransfer means that the copies of the transfer are not yet stored. The runtime
	// copies it again, or has the receiver retry.
	PendingTransfer
)

// HandleAsk handles a peer's ask as the sender: it deducts the tokens before the peer can
// have them. A holder with waiters of its own sends tokens only to a host whose name sorts
// first, so that of two hosts that are short of tokens one gets enough.
func (h *Holder) HandleAsk(now time.Time, req *pb.AskTokensRequest) (*pb.Transfer, TransferState) {
	if h.isFenced(req.GetFrom()) {
		return nil, NoTransfer
	}
	if g, ok := h.transfers.sent[req.GetId()]; ok {
		return g.state()
	}
	tokens := h.transferAmount(req)
	t := &pb.Transfer{Id: req.GetId(), Budget: req.GetBudget(), From: h.self, To: req.GetFrom(), Tokens: tokens}
	h.transfers.sent[req.GetId()] = &sentTransfer{transfer: t, at: now, ready: tokens == 0}
	if tokens == 0 {
		return nil, NoTransfer
	}
	h.budgets[req.GetBudget()].free -= tokens
	return t, NewTransfer
}

func (g *sentTransfer) retention() time.Duration {
	if g.transfer.GetTokens() == 0 {
		return emptyRetention
	}
	return sentRetention
}

func (g *sentTransfer) state() (*pb.Transfer, TransferState) {
	if g.transfer.GetTokens() == 0 {
		return nil, NoTransfer
	}
	if !g.ready {
		return g.transfer, PendingTransfer
	}
	return g.transfer, ReadyTransfer
}

func (h *Holder) transferAmount(req *pb.AskTokensRequest) uint64 {
	b, ok := h.budgets[req.GetBudget()]
	if !ok {
		return 0
	}
	if len(b.waiters) > 0 && h.self.GetHost() < req.GetFrom().GetHost() {
		return 0
	}
	return min(req.GetTokens(), b.free, b.transferable())
}

// transferable returns how many tokens may be sent to a peer. The ledger must find them in
// this holder's grant whichever batch it applies first, the receiver's or one of this holder.
//
// Tokens received from a third holder and forwarded immediately would violate that: the
// receiver's batch may be applied first and move tokens that the ledger does not yet count
// as granted to this holder.
func (b *budget) transferable() uint64 {
	now := sub(b.held(), b.receivedInBatch+b.receivedPending)
	afterBatch := sub(b.held(), b.outgoing+b.receivedPending)
	return min(now, afterBatch)
}

// sub returns x - y, or 0 if y is greater.
func sub(x, y uint64) uint64 { return x - min(x, y) }

// PendingTransfers returns the transfers deducted from this holder whose copies are not yet
// stored at peers.
func (h *Holder) PendingTransfers() []*pb.Transfer {
	var pending []*pb.Transfer
	for _, id := range slices.Sorted(maps.Keys(h.transfers.sent)) {
		if g := h.transfers.sent[id]; !g.ready {
			pending = append(pending, g.transfer)
		}
	}
	return pending
}

// MarkTransferReady records that the copies of a new transfer are stored at peers.
func (h *Holder) MarkTransferReady(id string) {
	if g, ok := h.transfers.sent[id]; ok {
		g.ready = true
	}
}

// MarkTransferSettled forgets a transfer after its receiver reported that the ledger knows
// it. For emptyRetention its id is still answered without tokens, so that a first ask that
// arrives late doesn't move tokens again.
func (h *Holder) MarkTransferSettled(now time.Time, id string) {
	if g, ok := h.transfers.sent[id]; ok && g.ready {
		g.transfer = &pb.Transfer{Id: id}
		g.at = now
	}
}

// UndoTransfer frees the tokens of a transfer with which no ask was or will be answered: from
// now on its id is answered without tokens.
func (h *Holder) UndoTransfer(now time.Time, id string) Output {
	var out Output
	g, ok := h.transfers.sent[id]
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

// Fence rejects from now on every transfer from or to a dead incarnation, and returns
// those that this holder accepted from it and the ledger hasn't acknowledged.
//
// Without it, a transfer that is still in flight when the dead holder's tokens are released
// would make the same tokens available twice.
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

// CopyInProgress returns the error of an AskTokensReply while the transfer is being copied.
func CopyInProgress() *errkind.Error {
	return errkind.New(errkind.InProgress, "the transfer is still being copied to peers").After(RetryAfterUnreachable)
}
