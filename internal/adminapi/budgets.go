package adminapi

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

func (h *Handler) listBudgets(ctx context.Context, _ *request) (any, error) {
	budgets, err := h.budgets(ctx, "")
	if err != nil {
		return nil, err
	}
	return BudgetList{Budgets: budgets}, nil
}

func (h *Handler) getBudget(ctx context.Context, q *request) (any, error) {
	name := q.http.PathValue("name")
	budgets, err := h.budgets(ctx, name)
	if err != nil {
		return nil, err
	}
	if len(budgets) == 0 {
		return nil, errkind.New(errkind.NotFound, "there is no budget %s", name)
	}
	return budgets[0], nil
}

// budgets returns the budget called name, or all of them for an empty name.
func (h *Handler) budgets(ctx context.Context, name string) ([]Budget, error) {
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_Budget{Budget: &pb.BudgetQuery{Name: name}}})
	if err != nil {
		return nil, err
	}
	budgets := make([]Budget, 0, len(res.GetBudgets()))
	for _, b := range res.GetBudgets() {
		budgets = append(budgets, budgetView(b))
	}
	return budgets, nil
}

func budgetView(b *pb.Budget) Budget {
	v := Budget{Name: b.GetName(), Account: b.GetAccount(), Funded: b.GetFunded(), Billed: b.GetBilled(), Bills: b.GetBills()}
	for _, g := range b.GetGranted() {
		if g.GetTokens() == 0 {
			continue
		}
		v.Granted += g.GetTokens()
		v.Holders = append(v.Holders, HolderTokens{
			Host: g.GetHolder().GetHost(), Incarnation: g.GetHolder().GetIncarnation(), Tokens: g.GetTokens()})
	}
	if taken := v.Billed + v.Granted; taken <= v.Funded {
		v.Free = v.Funded - taken
	}
	return v
}

func (h *Handler) createBudget(ctx context.Context, q *request) (any, error) {
	var body CreateBudget
	if err := decodeBody(q, &body); err != nil {
		return nil, err
	}
	if body.Name == "" {
		return nil, errkind.New(errkind.BadRequest, "the budget has no name").At("/name")
	}
	return h.changeBudget(ctx, q, &pb.Command{Body: &pb.Command_CreateBudget{CreateBudget: &pb.CreateBudget{
		Name: body.Name, Account: body.Account, Tokens: body.Tokens, Note: body.Note}}})
}

func (h *Handler) topUp(ctx context.Context, q *request) (any, error) {
	var body TopUp
	if err := decodeBody(q, &body); err != nil {
		return nil, err
	}
	if body.Tokens == 0 {
		return nil, errkind.New(errkind.BadRequest, "a top-up must have at least 1 token").At("/tokens")
	}
	return h.changeBudget(ctx, q, &pb.Command{Body: &pb.Command_TopUp{TopUp: &pb.TopUp{
		Budget: q.http.PathValue("name"), Tokens: body.Tokens, Note: body.Note}}})
}

func (h *Handler) changeBudget(ctx context.Context, q *request, c *pb.Command) (any, error) {
	res, err := h.propose(ctx, q, c)
	if err != nil {
		return nil, err
	}
	return BudgetAnswer{OpID: q.opID, Resend: res.GetResend(), Budget: budgetView(res.GetBudget())}, nil
}

func (h *Handler) statement(ctx context.Context, q *request) (any, error) {
	limit, err := parseLimit(q)
	if err != nil {
		return nil, err
	}
	name := q.http.PathValue("name")
	res, err := h.query(ctx, &pb.Query{Body: &pb.Query_Statement{Statement: &pb.StatementQuery{Budget: name, Limit: limit}}})
	if err != nil {
		return nil, err
	}
	answer := Statement{Budget: name, Lines: make([]StatementLine, 0, len(res.GetStatement()))}
	for _, l := range res.GetStatement() {
		answer.Lines = append(answer.Lines, StatementLine{
			Index:     l.GetIndex(),
			Time:      time.UnixMilli(l.GetTimeMs()).UTC(),
			Kind:      l.GetKind(),
			Identity:  l.GetIdentity(),
			RequestID: l.GetRequestId(),
			Tokens:    l.GetTokens(),
			Actor:     l.GetActor(),
			Note:      l.GetNote(),
		})
	}
	return answer, nil
}
