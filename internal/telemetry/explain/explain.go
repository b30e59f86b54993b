// Package explain keeps the decisions that the host made about a bounded number of
// finished requests and the figures behind them, so that an operator can find out why a
// request was answered, rejected or billed as it was.
package explain

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
)

// DefaultCapacity is the number of requests kept when none is given.
const DefaultCapacity = 4096

// Bounds on one kept request. They bound the memory of the texts to capacity * maxNotes *
// maxText, whatever the request chain writes.
const (
	maxNotes = 64
	maxText  = 512 // bytes
)

// Explanation describes one request.
type Explanation struct {
	RequestID string     `json:"request_id"`
	Identity  string     `json:"identity"`
	Account   string     `json:"account"`
	Team      string     `json:"team"`
	Revision  uint64     `json:"settings_revision"`
	Arrived   time.Time  `json:"arrived"`
	Deadline  time.Time  `json:"deadline"`
	Hops      []Hop      `json:"hops"`
	Decisions []Decision `json:"decisions"`
	// DecisionsDropped counts the decisions that were dropped because there were too many.
	DecisionsDropped int     `json:"decisions_dropped,omitempty"`
	Outcome          Outcome `json:"outcome"`
	Bill             Bill    `json:"bill"`
}

// Hop is one host or backend server that handled the request.
type Hop struct {
	// Role is "host" or "backend server".
	Role    string `json:"role"`
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	// Reason is why this backend server was chosen.
	Reason string `json:"reason,omitempty"`
}

// Decision is one decision of the request chain with the figures behind it.
type Decision struct {
	// AfterMS is the time since the request's arrival in milliseconds.
	AfterMS float64 `json:"after_ms"`
	Step    string  `json:"step"`
	Text    string  `json:"text"`
}

// Outcome is how the request ended.
type Outcome struct {
	Status int `json:"status"`
	// Kind is the kind of the error; empty if the request was answered.
	Kind    errkind.Kind `json:"kind,omitempty"`
	Message string       `json:"message,omitempty"`
	// Ran is whether the request ran at a backend server.
	Ran        errkind.Ran `json:"ran"`
	Dispatched bool        `json:"dispatched"`
}

// Bill is what this host reported to the ledger for the request, in tokens.
type Bill struct {
	Budget   string `json:"budget,omitempty"`
	Reserved uint64 `json:"reserved"`
	Prompt   uint64 `json:"prompt"`
	Output   uint64 `json:"output"`
	// Tokens is the number of billed tokens: the usage, at most the reservation.
	Tokens uint64 `json:"tokens"`
}

// Store is a ring of the last requests. It implements filter.Explainer and is
// safe for concurrent use.
type Store struct {
	host, zone string

	mu         sync.Mutex
	ring       []*Explanation
	next       int
	byID       map[string]*Explanation
	byIdentity map[string]*Explanation
}

var _ filter.Explainer = (*Store)(nil)

// New returns an empty store of the given host that keeps capacity requests. A capacity
// below one means DefaultCapacity.
func New(host, zone string, capacity int) *Store {
	if capacity < 1 {
		capacity = DefaultCapacity
	}
	return &Store{
		host:       host,
		zone:       zone,
		ring:       make([]*Explanation, capacity),
		byID:       make(map[string]*Explanation),
		byIdentity: make(map[string]*Explanation),
	}
}

// Record stores the explanation of c in place of the oldest one. It copies what it needs of
// c, since c still belongs to the request's goroutine.
func (s *Store) Record(c *filter.Call, status int, err error) {
	if c == nil || c.ID == "" {
		return
	}
	e := s.explain(c, status, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(s.ring[s.next])
	s.ring[s.next] = e
	s.next = (s.next + 1) % len(s.ring)
	s.byID[e.RequestID] = e
	if e.Identity != "" {
		s.byIdentity[e.Identity] = e
	}
}

func (s *Store) forget(old *Explanation) {
	if old == nil {
		return
	}
	if s.byID[old.RequestID] == old {
		delete(s.byID, old.RequestID)
	}
	if s.byIdentity[old.Identity] == old {
		delete(s.byIdentity, old.Identity)
	}
}

// Find returns the explanation of the request with the given id, or that of the latest
// request with the given identity (account + "/" + idempotency key).
func (s *Store) Find(id string) (Explanation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.byID[id]
	if !ok {
		e, ok = s.byIdentity[id]
	}
	if !ok {
		return Explanation{}, false
	}
	return *e, true
}

// JSON returns the result of Find as JSON, or an error of the kind NotFound.
func (s *Store) JSON(id string) ([]byte, error) {
	e, ok := s.Find(id)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "host %s has no explanation of request %s", s.host, id)
	}
	b, err := json.Marshal(e)
	return b, errors.Wrap(err, "marshal explanation")
}

func (s *Store) explain(c *filter.Call, status int, err error) *Explanation {
	e := &Explanation{
		RequestID: c.ID,
		Identity:  c.Identity,
		Account:   c.AccountName,
		Team:      c.TeamName,
		Revision:  c.Revision,
		Arrived:   c.Arrived,
		Deadline:  c.Deadline,
		Hops:      s.hops(c),
		Outcome:   outcomeOf(c, status, err),
		Bill:      billOf(c),
	}
	e.Decisions, e.DecisionsDropped = decisionsOf(c)
	return e
}

func (s *Store) hops(c *filter.Call) []Hop {
	hops := []Hop{{Role: "host", Name: s.host, Zone: s.zone}}
	if c.Lease == nil {
		return hops
	}
	last := Hop{Role: "backend server", Name: c.Lease.Address(), Attempt: c.Attempts, Reason: clip(c.Lease.Reason())}
	if server := c.Lease.Server(); server != nil {
		last.Zone = server.GetZone()
	}
	return append(hops, last)
}

func decisionsOf(c *filter.Call) (kept []Decision, dropped int) {
	notes := c.Notes
	if len(notes) > maxNotes {
		dropped = len(notes) - maxNotes
		notes = notes[:maxNotes]
	}
	kept = make([]Decision, 0, len(notes))
	for _, n := range notes {
		after := float64(n.At.Sub(c.Arrived).Microseconds()) / 1000
		kept = append(kept, Decision{AfterMS: after, Step: n.Step, Text: clip(n.Text)})
	}
	return kept, dropped
}

func outcomeOf(c *filter.Call, status int, err error) Outcome {
	o := Outcome{Status: status, Ran: errkind.RanYes, Dispatched: c.Dispatched}
	if refusal := errkind.From(err); refusal != nil {
		o.Kind = refusal.Kind
		o.Message = clip(refusal.Message)
		o.Ran = refusal.Ran()
	}
	return o
}

func billOf(c *filter.Call) Bill {
	b := Bill{Reserved: c.Reserved, Prompt: c.Usage.Prompt, Output: c.Usage.Output}
	if c.Account != nil {
		b.Budget = c.Account.Budget
	}
	b.Tokens = min(c.Usage.Prompt+c.Usage.Output, c.Reserved)
	return b
}

func clip(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.ToValidUTF8(s[:maxText], "")
}
