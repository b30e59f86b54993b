package budgets

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// ask sends a request for tokens to a peer.
func (w *grantStrategy) ask(host int, ask grant.Ask) {
	peer := w.index[ask.Peer]
	w.s.countMessages(1, proto.Size(ask.Request))
	failed := func() {
		w.step(host, func(h *grant.Holder, now time.Time) grant.Output { return h.AskFailed(now, ask.Request.GetId()) })
	}
	if !w.s.connected(zoneOf[host], zoneOf[peer]) {
		w.s.after(askTimeout, failed)
		return
	}
	w.s.after(latency(zoneOf[host], zoneOf[peer]), func() { w.handleAsk(host, peer, ask.Request) })
}

// handleAsk handles a request for tokens on the transfer's sender: it deducts the tokens, stores a
// copy of the transfer on a third host and answers.
func (w *grantStrategy) handleAsk(receiver, sender int, req *pb.AskTokensRequest) {
	h := w.holders[sender]
	t, state := h.HandleAsk(w.s.virtualTime(), req)
	if state != grant.NewTransfer {
		w.answer(receiver, sender, req, t)
		return
	}
	copyHost := w.copyHolder(receiver, sender)
	if copyHost < 0 && w.set.RequireCopy {
		w.step(sender, func(h *grant.Holder, now time.Time) grant.Output { return h.UndoTransfer(now, req.GetId()) })
		w.answer(receiver, sender, req, nil)
		return
	}
	trip := askTimeout / 2
	if copyHost >= 0 {
		trip = 2 * latency(zoneOf[sender], zoneOf[copyHost])
	}
	account := w.accounts[req.GetBudget()]
	w.s.inTransit[account] += t.GetTokens()
	w.s.countMessages(2, 2*proto.Size(t))
	w.s.after(trip, func() {
		h.MarkTransferReady(req.GetId())
		w.answer(receiver, sender, req, t)
	})
}

// copyHolder returns a host that can store the copy: one that the sender can reach and that is
// neither sender nor receiver. It returns -1 if there is none.
func (w *grantStrategy) copyHolder(receiver, sender int) int {
	for host := range hostCount {
		if host != receiver && host != sender && w.s.connected(zoneOf[host], zoneOf[sender]) {
			return host
		}
	}
	return -1
}

// answer sends the answer to a request for tokens; t is nil if no tokens are transferred.
func (w *grantStrategy) answer(receiver, sender int, req *pb.AskTokensRequest, t *pb.Transfer) {
	w.s.countMessages(1, proto.Size(t))
	if !w.s.connected(zoneOf[receiver], zoneOf[sender]) {
		return // the answer is lost; the request is repeated until it is answered
	}
	w.s.after(latency(zoneOf[receiver], zoneOf[sender]), func() {
		account := w.accounts[req.GetBudget()]
		w.step(receiver, func(h *grant.Holder, now time.Time) grant.Output { return h.AskAnswered(now, req.GetId(), t) })
		if t != nil {
			w.s.inTransit[account] -= min(w.s.inTransit[account], t.GetTokens())
		}
	})
}
