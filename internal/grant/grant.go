// Package grant implements the entry host's side of prepaid budgets: the tokens that
// one incarnation of a host holds, and its requests to the ledger and to its peers.
//
// Holder is a pure state machine. Every method takes the current time and an input
// and returns an Output with the messages to send and the requests decided. It has
// no goroutine, no socket and no clock of its own.
//
// A holder spends only tokens that the ledger granted to it or that a peer
// transferred to it. For each budget this equation always holds:
//
//	free + reserved + unsettled + returning + reserve = granted + received - sent - billed - returned
//
// so a host can't overspend a budget as long as the ledger and the peers don't issue
// the same token twice.
package grant

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Policy configures how a host holds tokens of one budget.
type Policy struct {
	// Horizon is the period of demand, at the recent rate, for which the host holds
	// tokens ahead of need.
	Horizon time.Duration
	// Window is the time over which the rate of demand is averaged; 0 means Horizon, but
	// at most 10 min.
	Window time.Duration
	// Reserve is the period of demand, at the recent rate, for which the host holds
	// additional tokens to spend while the ledger is unreachable; see package reserve.
	// 0 means no reserve.
	Reserve time.Duration
	// ReserveRatePermille is the rate at which the reserve may be spent while the ledger
	// is unreachable, in thousandths of the rate of demand.
	ReserveRatePermille uint32
	// IdleReturn is how long a budget may go unused before its free tokens are returned to
	// the ledger.
	IdleReturn time.Duration
	// Transfers lets the host ask peers for tokens when the ledger can't grant them.
	Transfers bool
	// MinHistory corrects the rate of demand of a host that has just started: the tokens
	// requested so far are averaged over the time since the first request, but at least
	// over MinHistory. 0 averages them over the whole Window, which underestimates the rate
	// just after a start.
	MinHistory time.Duration
	// OpenPermille bounds the open tokens that the host holds ahead of need, in thousandths
	// of the budget's unbilled tokens. Open tokens count as spent whenever the host dies.
	// 0 means no bound.
	OpenPermille uint32
	// AtRiskPermille bounds the tokens that all hosts together hold ahead of need, in
	// thousandths of the budget's unbilled tokens: they may count as spent when all hosts
	// die at once. 0 means no bound.
	AtRiskPermille uint32
}

// PolicyFrom returns the policy for a team's grant settings, with defaults filled in; g
// may be nil.
func PolicyFrom(g *settings.Grant) Policy {
	p := Policy{Horizon: settings.DefaultGrantHorizon, IdleReturn: settings.DefaultIdleReturn, Transfers: true}
	if g == nil {
		return p
	}
	if g.Horizon > 0 {
		p.Horizon = g.Horizon.Std()
	}
	if g.IdleReturn > 0 {
		p.IdleReturn = g.IdleReturn.Std()
	}
	if g.Transfers != nil {
		p.Transfers = *g.Transfers
	}
	return p
}

// Config holds the batch sizes and timeouts of a holder's messages. The zero value of a
// field means its default.
type Config struct {
	// BatchBills is the maximum number of bills in one settlement batch; default 256.
	BatchBills int
	// BatchWait is how long the first bill of a batch waits for more; default 50ms.
	BatchWait time.Duration
	// MinBatchWait returns the least BatchWait in a fleet of the current size; nil means none.
	MinBatchWait func() time.Duration
	// ResendAfter is the time after which an unanswered message is resent, doubled each
	// time up to ResendMax; defaults 200ms and 5s.
	ResendAfter time.Duration
	ResendMax   time.Duration
	// LedgerTimeout is how long requests wait for an unanswered acquire before the ledger
	// counts as unreachable; default 250ms.
	LedgerTimeout time.Duration
	// ProbeTimeout is how long a request waits for the ledger if the ledger already counts
	// as unreachable; default 50ms.
	ProbeTimeout time.Duration
	// ContactInterval is the maximum time between settlement batches of a holder with a
	// reserve; default 500ms.
	ContactInterval time.Duration
	// AskFanout is the number of peers asked for tokens concurrently; default 3.
	AskFanout int
	// WallClock returns the wall-clock time that batches are stamped with; nil means the
	// time passed to the method that sends the batch.
	WallClock func() time.Time
}

func (c Config) withDefaults() Config {
	defaults.Set(&c.BatchBills, 256)
	defaults.Set(&c.BatchWait, 50*time.Millisecond)
	defaults.Set(&c.ResendAfter, 200*time.Millisecond)
	defaults.Set(&c.ResendMax, 5*time.Second)
	defaults.Set(&c.LedgerTimeout, 250*time.Millisecond)
	defaults.Set(&c.ProbeTimeout, 50*time.Millisecond)
	defaults.Set(&c.ContactInterval, 500*time.Millisecond)
	defaults.Set(&c.AskFanout, 3)
	return c
}

// CurrentBatchWait returns the larger one of BatchWait and MinBatchWait.
func (c Config) CurrentBatchWait() time.Duration {
	if c.MinBatchWait == nil {
		return c.BatchWait
	}
	return max(c.BatchWait, c.MinBatchWait())
}

// Output lists the messages to send and the decisions that result from one call.
type Output struct {
	// Acquires are sent to the ledger.
	Acquires []*pb.Acquire
	// Batch is sent to the ledger; nil means that there is nothing to settle now.
	Batch *pb.Settle
	// Asks are sent to peers.
	Asks []Ask
	// Decisions grant or refuse waiting requests.
	Decisions []Decision
}

// Ask is a request to one peer for tokens.
type Ask struct {
	// Peer is the name of the host that is asked.
	Peer    string
	Request *pb.AskTokensRequest
}

// Decision is the outcome of one Reserve.
type Decision struct {
	Request string
	// Err is nil if the tokens are reserved.
	Err *errkind.Error
	// ReserveUsableIn is the time until the reserve covers the refused request; 0 means
	// unknown.
	ReserveUsableIn time.Duration
}

func (o *Output) grant(request string) {
	o.Decisions = append(o.Decisions, Decision{Request: request})
}

func (o *Output) refuse(request string, err *errkind.Error) {
	o.Decisions = append(o.Decisions, Decision{Request: request, Err: err})
}

// ReserveNotUsableError refuses a request that the reserve will cover later.
type ReserveNotUsableError struct {
	// Refusal is the answer to a caller that does not wait.
	Refusal *errkind.Error
	// UsableIn is the time until enough of the reserve is usable, if no other request
	// draws from it.
	UsableIn time.Duration
}

// Error implements error.
func (e *ReserveNotUsableError) Error() string { return e.Refusal.Error() }

// Unwrap returns the refusal, for errors.As.
func (e *ReserveNotUsableError) Unwrap() error { return e.Refusal }

// Refusal returns the error of a decision; nil if the tokens are reserved.
func (d Decision) Refusal() error {
	switch {
	case d.Err == nil:
		return nil
	case d.ReserveUsableIn > 0:
		return &ReserveNotUsableError{Refusal: d.Err, UsableIn: d.ReserveUsableIn}
	}
	return d.Err
}

// Level lists the tokens that a holder has of one budget.
type Level struct {
	Budget string
	// Free tokens can be reserved immediately. Reserved tokens belong to running requests.
	// Unsettled tokens are billed on this host but not yet acknowledged by the ledger.
	// Returning tokens are being returned to the ledger.
	Free, Reserved, Unsettled, Returning uint64
	// Reserve tokens can be spent only while the ledger is unreachable.
	Reserve uint64
	// Waiting is the number of requests waiting for tokens.
	Waiting int
}

// Held returns all tokens that the holder has, whatever their state.
func (l Level) Held() uint64 { return l.Free + l.Reserved + l.Unsettled + l.Returning + l.Reserve }
