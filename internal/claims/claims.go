// Package claims keeps the claims of requests that are not idempotent: of all hosts
// that are asked to run one identity, exactly one wins the claim and may run it. It is
// part of the replicated state: pure, and the same on every replica.
package claims

import (
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/ledger/window"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// minRetention is the minimum time for which a claim is remembered after its last
	// change. It is much longer than the idempotency window, as a claim that is forgotten
	// too early would let a late retry run a second time.
	minRetention = 24 * time.Hour
	// maxClaims bounds the claims remembered. When it is reached, new claims are
	// refused (the request did not run) and no old ones are forgotten.
	maxClaims = 250_000
	// maxFormer bounds the number of times one identity may be claimed again after NOT_RUN.
	maxFormer = 16
	// retryAfterFull is the retry time after a refusal because a bound was reached.
	retryAfterFull = time.Minute
)

// claim is the remembered claim of one identity.
type claim struct {
	Host        string        `json:"host"`
	Incarnation uint64        `json:"incarnation"`
	RequestID   string        `json:"request_id"`
	State       pb.ClaimState `json:"state"`
	// Former holds the request ids that won earlier and were finished as not run. A delayed
	// resend of one of them must not win again, as its caller was told that it did not run.
	Former []string `json:"former,omitempty"`
}

// State is the set of claims.
type State struct {
	memory      *window.Memory[claim]
	retentionMs int64
	limit       int
}

// New returns an empty state.
func New() *State {
	keep := minRetention.Milliseconds()
	return &State{memory: window.New[claim](keep/4, 0), retentionMs: keep, limit: maxClaims}
}

// SetWindow sets the idempotency window; claims are kept for the window or minRetention,
// whichever is longer.
func (s *State) SetWindow(d time.Duration) {
	s.retentionMs = max(minRetention, d).Milliseconds()
	s.memory.SetLength(s.retentionMs / 4)
}

// Len returns the number of claims remembered.
func (s *State) Len() int { return s.memory.Len() }

// Claim decides whether a request may run an identity. now is in Unix milliseconds. The
// first request id wins; a resend with the same request id gets the same answer, and any
// other gets the winner. After NOT_RUN a later request id may win.
func (s *State) Claim(c *pb.Claim, now int64) (*pb.ClaimResult, error) {
	if c.Identity == "" || c.RequestId == "" || c.Holder == nil {
		return nil, errkind.New(errkind.BadRequest, "a claim needs an identity, a holder and a request id")
	}
	s.memory.Forget(now - s.retentionMs)
	key := window.KeyOf(c.Identity)
	old, found := s.memory.Get(key)
	if found && !old.canBeWonBy(c.RequestId) {
		return old.result(old.wonBy(c.RequestId)), nil
	}
	if !found && s.memory.Len() >= s.limit {
		return nil, errkind.New(errkind.ClaimUnavailable, "the maximum number of %d claims has been reached", s.limit).After(retryAfterFull)
	}
	if len(old.Former) >= maxFormer {
		return nil, errkind.New(errkind.ClaimUnavailable, "the identity has already been claimed and not run %d times", maxFormer).After(retryAfterFull)
	}
	won := claim{Host: c.Holder.Host, Incarnation: c.Holder.Incarnation, RequestID: c.RequestId, State: pb.ClaimState_CLAIM_STATE_CLAIMED}
	if found {
		won.Former = append(slices.Clone(old.Former), old.RequestID)
	}
	s.memory.Put(key, won, now)
	return won.result(true), nil
}

func (c claim) canBeWonBy(requestID string) bool {
	if c.State != pb.ClaimState_CLAIM_STATE_NOT_RUN {
		return false
	}
	return c.RequestID != requestID && !slices.Contains(c.Former, requestID)
}

func (c claim) wonBy(requestID string) bool {
	return c.RequestID == requestID && c.State != pb.ClaimState_CLAIM_STATE_NOT_RUN
}

func (c claim) result(won bool) *pb.ClaimResult {
	holder := &pb.Holder{Host: c.Host, Incarnation: c.Incarnation}
	return &pb.ClaimResult{Won: won, State: c.State, Holder: holder, RequestId: c.RequestID}
}

// Finish records how a claimed run ended. A repeated finish gets the same answer. A
// recorded end is never changed, as a caller may have been told of it.
func (s *State) Finish(f *pb.FinishClaim, now int64) (*pb.ClaimResult, error) {
	if f.State != pb.ClaimState_CLAIM_STATE_DONE && f.State != pb.ClaimState_CLAIM_STATE_NOT_RUN {
		return nil, errkind.New(errkind.BadRequest, "a claim can only be finished as done or not run")
	}
	key := window.KeyOf(f.Identity)
	old, found := s.memory.Get(key)
	if !found {
		return nil, errkind.New(errkind.NotFound, "no claim for this identity is remembered")
	}
	if old.RequestID != f.RequestId {
		return nil, errkind.New(errkind.KeyConflict, "the claim belongs to request %s", old.RequestID)
	}
	if old.State != pb.ClaimState_CLAIM_STATE_CLAIMED && old.State != f.State {
		return nil, errkind.New(errkind.KeyConflict, "the claim has already been finished with another state")
	}
	old.State = f.State
	s.memory.Put(key, old, now)
	return old.result(old.wonBy(f.RequestId)), nil
}

// Lookup returns the claim of an identity, in state NONE if none is remembered.
func (s *State) Lookup(identity string) *pb.ClaimResult {
	c, found := s.memory.Get(window.KeyOf(identity))
	if !found {
		return &pb.ClaimResult{State: pb.ClaimState_CLAIM_STATE_NONE}
	}
	return c.result(false)
}

// Image is a copy of the state, for snapshots.
type Image struct {
	RetentionMs int64               `json:"keep"`
	Memory      window.Image[claim] `json:"memory"`
}

// Image returns a copy of the state's content.
func (s *State) Image() Image { return Image{RetentionMs: s.retentionMs, Memory: s.memory.Image()} }

// Restore replaces the state's content.
func (s *State) Restore(im Image) {
	s.retentionMs = im.RetentionMs
	s.memory.Restore(im.Memory)
}
