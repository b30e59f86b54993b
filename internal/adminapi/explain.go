package adminapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// explain returns the decisions that hosts made for a request, together with its bill in the ledger.
func (h *Handler) explain(ctx context.Context, q *request) (any, error) {
	raw, err := h.cfg.Explain.Explain(ctx, q.http.PathValue("id"))
	if err != nil {
		return nil, err
	}
	answer := Explanation{Request: raw}
	var known struct {
		Identity string `json:"identity"`
	}
	if err := json.Unmarshal(raw, &known); err != nil || known.Identity == "" {
		answer.LedgerNote = "the request has no identity to look up in the ledger"
		return answer, nil
	}
	answer.Ledger, answer.LedgerNote = h.ledgerBill(ctx, known.Identity)
	return answer, nil
}

func (h *Handler) ledgerBill(ctx context.Context, identity string) (*LedgerBill, string) {
	ctx, cancel := withOptionalReadTimeout(ctx)
	defer cancel()
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_Identity{Identity: &pb.IdentityQuery{Identity: identity}}})
	if err != nil && !errkind.Is(err, errkind.NotFound) {
		return nil, "the ledger could not be asked: " + convertTimeout(err, false).Error()
	}
	b := res.GetBill()
	if b == nil {
		return nil, "the ledger has no bill for this identity, or no longer remembers it"
	}
	return &LedgerBill{
		Budget: b.GetBudget(), Tokens: b.GetTokens(), PromptTokens: b.GetPromptTokens(), OutputTokens: b.GetOutputTokens(),
		RequestID: b.GetRequestId(), Time: time.UnixMilli(b.GetTimeMs()).UTC(),
	}, ""
}
