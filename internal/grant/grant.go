// Package grant is the entry host's side of prepaid budgets: the tokens that one
// incarnation of a host holds, and what it asks of the ledger and of its peers.
//
// Holder is a pure state machine. Every method takes the present time and an input
// and returns an Output with the messages to send and the requests decided. It has
// no goroutine, no socket and no clock of its own.
//
// A holder spends only tokens that the ledger granted to it or that a peer
// transferred to it. For each budget this sum never changes but by what came in
// and what went out:
//
//	free + reserved + unsettled + returning + reserve = granted + received - given - billed - returned
//
// so a host can't overspend a budget as long as the ledger and the peers don't hand
// the same token out twice.
package grant

import (
	"time"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Policy says how a host holds tokens of one budget.
type Policy struct {
	// Horizon is how much of its recent demand the host holds ahead.
	Horizon time.Duration
	// Window is the time over which the rate of demand is averaged; 0: Horizon, 10 min at most.
	Window time.Duration
	// Reserve is how much of its recent demand the host holds beyond that for a time
	// without contact to the ledger; see package reserve. 0: none.
	Reserve time.Duration
	// ReserveRatePermille is the rate at which the reserve may be spent without contact, in
	// thousandths of the rate of demand.
	ReserveRatePermille uint32
	// IdleReturn is how long a budget may go unused before its free tokens go back.
	IdleReturn time.Duration
	// Transfers lets the host ask peers when the ledger can't serve it.
	Transfers bool
	// MinHistory corrects the rate of demand for the time before the first request: the
	// tokens asked for so far count as those of the time since then, of this long at
	// least. 0: as those of the whole time over which the rate is averaged, which is too
	// little for a host that has just started.
	MinHistory time.Duration
	// OpenPermille is the part of what is left of a budget, in thousandths, up to which the
	// host holds tokens ahead by its Horizon: what counts as spent when it is lost, whenever
	// that is. 0: no bound.
	OpenPermille uint32
	// AtRiskPermille is the part of what is left of a budget, in thousandths, that all
	// hosts together hold ahead of need: it is what may count as spent when all of them
	// are lost at once. 0: no bound.
	AtRiskPermille uint32
}

// PolicyFrom fills in the defaults of a team's grant settings; g may be nil.
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

// Config bounds a holder's messages. The zero value of a field means its default.
type Config struct {
	// BatchBills is the greatest number of bills in one settlement batch; default 256.
	BatchBills int
	// BatchWait is how long the first bill of a batch waits for others; default 50ms.
	BatchWait time.Duration
	// ResendAfter is when an unanswered message is sent again, doubled each time up to
	// ResendMax; defaults 200ms and 5s.
	ResendAfter time.Duration
	ResendMax   time.Duration
	// LedgerTimeout is how long waiting requests wait for an unanswered acquire before the
	// ledger counts as out of reach; default 250ms.
	LedgerTimeout time.Duration
	// ProbeTimeout is how long a request waits for the ledger when it was out of reach for
	// others before; default 50ms.
	ProbeTimeout time.Duration
	// ContactInterval is how long a holder with a reserve goes without a settlement batch;
	// default 500ms.
	ContactInterval time.Duration
	// AskFanout is the number of peers asked at a time; default 3.
	AskFanout int
	// WallClock is the time of day that batches are marked with; nil: that of the present time.
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

// Output is what one step asks its runtime to do.
type Output struct {
	// Acquires go to the ledger.
	Acquires []*pb.Acquire
	// Batch goes to the ledger; nil: nothing to settle now.
	Batch *pb.Settle
	// Asks go to peers.
	Asks []Ask
	// Decisions end waiting requests.
	Decisions []Decision
}

// Ask is a request for tokens to one peer.
type Ask struct {
	// Peer is the name of the host asked.
	Peer    string
	Request *pb.AskTokensRequest
}

// Decision ends the wait of one Reserve.
type Decision struct {
	Request string
	// Err is nil if the tokens are reserved.
	Err *errkind.Error
	// ReserveUsableIn is when the reserve will cover the refused request; 0: not known.
	ReserveUsableIn time.Duration
}

func (o *Output) grant(request string) {
	o.Decisions = append(o.Decisions, Decision{Request: request})
}

func (o *Output) refuse(request string, err *errkind.Error) {
	o.Decisions = append(o.Decisions, Decision{Request: request, Err: err})
}

// ReserveNotUsableError refuses a request that the reserve will cover soon.
type ReserveNotUsableError struct {
	// Refusal is for a caller that does not wait.
	Refusal *errkind.Error
	// UsableIn is when the reserve will have opened far enough, if nobody else takes of it.
	UsableIn time.Duration
}

// Error implements error.
func (e *ReserveNotUsableError) Error() string { return e.Refusal.Error() }

// Unwrap gives errors.As the refusal.
func (e *ReserveNotUsableError) Unwrap() error { return e.Refusal }

// Refusal is the error of a decision; nil if the tokens are reserved.
func (d Decision) Refusal() error {
	switch {
	case d.Err == nil:
		return nil
	case d.ReserveUsableIn > 0:
		return &ReserveNotUsableError{Refusal: d.Err, UsableIn: d.ReserveUsableIn}
	}
	return d.Err
}

// Level is what a holder has of one budget, in tokens.
type Level struct {
	Budget string
	// Free can be reserved at once; Reserved belongs to requests that run; Unsettled is
	// billed here but not yet acknowledged by the ledger; Returning is on its way back.
	Free, Reserved, Unsettled, Returning uint64
	// Reserve can be spent only without contact to the ledger.
	Reserve uint64
	// Waiting is the number of requests that wait for tokens.
	Waiting int
}

// Held is everything the holder answers for.
func (l Level) Held() uint64 { return l.Free + l.Reserved + l.Unsettled + l.Returning + l.Reserve }
