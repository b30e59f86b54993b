package ledger

import "github.com/bluebellsail/bluebellsail/internal/pb"

// Kinds of statement lines.
const (
	lineCreate  = "create"
	lineTopUp   = "top-up"
	lineLowered = "lowered"
	lineBill    = "bill"
	// lineSpend is the sum of a holder's requests that no other holder can bill.
	lineSpend     = "spend"
	lineDuplicate = "duplicate"
	lineExpired   = "expired"
	lineRecover   = "recover"
	// lineUncovered is an estimated bill of a dead holder, for which it had no tokens.
	lineUncovered = "uncovered"
)

// line is one entry of a budget's statement.
type line struct {
	Index     uint64 `json:"index"`
	TimeMs    int64  `json:"time_ms"`
	Kind      string `json:"kind"`
	Identity  string `json:"identity,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	Tokens    uint64 `json:"tokens"`
	Actor     string `json:"actor,omitempty"`
	Note      string `json:"note,omitempty"`
}

// statement is a ring buffer of a budget's last lines; the budget's totals stay exact
// without the older ones.
type statement struct {
	limit int
	lines []line
	next  int // position of the next line once the ring is full
}

func (s *statement) append(l line) {
	if len(s.lines) < s.limit {
		s.lines = append(s.lines, l)
		return
	}
	s.lines[s.next] = l
	s.next = (s.next + 1) % s.limit
}

// ordered returns the lines, oldest first.
func (s *statement) ordered() []line {
	out := make([]line, 0, len(s.lines))
	out = append(out, s.lines[s.next:]...)
	return append(out, s.lines[:s.next]...)
}

func (s *statement) last(limit int) []*pb.StatementLine {
	lines := s.ordered()
	if limit > 0 && limit < len(lines) {
		lines = lines[len(lines)-limit:]
	}
	var out []*pb.StatementLine
	for _, l := range lines {
		out = append(out, &pb.StatementLine{
			Index: l.Index, TimeMs: l.TimeMs, Kind: l.Kind, Identity: l.Identity,
			RequestId: l.RequestID, Tokens: l.Tokens, Actor: l.Actor, Note: l.Note,
		})
	}
	return out
}

func (s *statement) findBill(identity string) *line {
	for i := range s.lines {
		if s.lines[i].Identity == identity && s.lines[i].Kind == lineBill {
			return &s.lines[i]
		}
	}
	return nil
}
