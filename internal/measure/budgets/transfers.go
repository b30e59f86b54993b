package budgets

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/grant"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// ask carries a request for tokens to a peer and its answer back.
func (w *demand) ask(host int, ask grant.Ask) {
	peer := w.index[ask.Peer]
	w.s.count(1, proto.Size(ask.Request))
	failed := func() {
		w.step(host, func(h *grant.Holder, now time.Time) grant.Output { return h.AskFailed(now, ask.Request.GetId()) })
	}
	if !w.s.joined(zoneOf[host], zoneOf[peer]) {
		w.s.after(askTimeout, failed)
		return
	}
	w.s.after(latency(zoneOf[host], zoneOf[peer]), func() { w.give(host, peer, ask.Request) })
}

// give is the peer's side: deduct, copy to a third host, answer.
func (w *demand) give(asker, giver int, req *pb.AskTokensRequest) {
	h := w.holders[giver]
	t, state := h.HandleAsk(w.s.virtual(), req)
	if state != grant.NewTransfer {
		w.answer(asker, giver, req, t)
		return
	}
	third := w.third(asker, giver)
	if third < 0 && w.set.NeedThird {
		w.step(giver, func(h *grant.Holder, now time.Time) grant.Output { return h.UndoTransfer(now, req.GetId()) })
		w.answer(asker, giver, req, nil)
		return
	}
	trip := askTimeout / 2
	if third >= 0 {
		trip = 2 * latency(zoneOf[giver], zoneOf[third])
	}
	account := w.accounts[req.GetBudget()]
	w.s.inTransit[account] += t.GetTokens()
	w.s.count(2, 2*proto.Size(t))
	w.s.after(trip, func() {
		h.MarkTransferReady(req.GetId())
		w.answer(asker, giver, req, t)
	})
}

// third is a host that can hold the copy: in reach of the giver and neither end; -1: none.
func (w *demand) third(asker, giver int) int {
	for host := range hostCount {
		if host != asker && host != giver && w.s.joined(zoneOf[host], zoneOf[giver]) {
			return host
		}
	}
	return -1
}

func (w *demand) answer(asker, giver int, req *pb.AskTokensRequest, t *pb.Transfer) {
	w.s.count(1, proto.Size(t))
	if !w.s.joined(zoneOf[asker], zoneOf[giver]) {
		return // lost: the ask is repeated until it is answered
	}
	w.s.after(latency(zoneOf[asker], zoneOf[giver]), func() {
		account := w.accounts[req.GetBudget()]
		w.step(asker, func(h *grant.Holder, now time.Time) grant.Output { return h.AskAnswered(now, req.GetId(), t) })
		if t != nil {
			w.s.inTransit[account] -= min(w.s.inTransit[account], t.GetTokens())
		}
	})
}
