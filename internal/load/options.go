// Package load sends work to a fleet as a good caller would, checks that each
// answer is whole and the caller's own, and reports what came of every request.
package load

import (
	"time"

	"github.com/pkg/errors"
)

// Work is the kind of requests a load run sends.
type Work string

// Kinds of work.
const (
	WorkChat   Work = "chat"
	WorkLookup Work = "lookup"
	// WorkEntry posts ledger entries, which are not idempotent.
	WorkEntry Work = "entry"
)

// Account is a client account to send as.
type Account struct {
	Name string
	Key  string
}

// Options of a load run.
type Options struct {
	// Hosts are addresses to ask for addresses; the first that answers counts.
	Hosts []string
	// Direct is the address of one backend server to send to without any host.
	Direct string
	// Zone is the availability zone the caller says it is in.
	Zone     string
	Accounts []Account

	Work    Work
	Model   string
	Service string
	// Stream asks for server-sent events.
	Stream bool
	// MaxTokens caps each answer; Exact makes the engine use the whole cap.
	MaxTokens int
	Exact     bool
	// PromptBytes is the size of each prompt, SharedBytes how much of it an account's requests share.
	PromptBytes int
	SharedBytes int
	// Seed makes the prompts and keys of two runs differ.
	Seed string

	// Rate in requests per second starts requests on time, however long others take;
	// 0: each caller sends one after the other.
	Rate float64
	// Concurrency is the number of callers.
	Concurrency int
	// Count and Duration bound the run; at least one is set.
	Count    int
	Duration time.Duration

	// Timeout is each request's deadline; Attempts bounds its tries.
	Timeout  time.Duration
	Attempts int
	// Patience is how long a try may give no byte before another address is tried; 0: no limit.
	Patience time.Duration
}

// maxCount bounds a run that is bounded by its duration only.
const maxCount = 10_000_000

func (o *Options) check() error {
	if o.Direct == "" && len(o.Hosts) == 0 {
		return errors.New("no host to ask for addresses")
	}
	if o.Direct == "" && len(o.Accounts) == 0 {
		return errors.New("no client account to send as")
	}
	if o.Count <= 0 && o.Duration <= 0 {
		return errors.New("the run is not bounded: give a count or a duration")
	}
	if o.Timeout <= 0 {
		return errors.New("no timeout")
	}
	return o.fill()
}

// fill puts defaults in.
func (o *Options) fill() error {
	if len(o.Accounts) == 0 {
		o.Accounts = []Account{{Name: "direct"}}
	}
	if o.Count <= 0 {
		o.Count = maxCount
	}
	o.Concurrency = max(o.Concurrency, 1)
	o.Attempts = max(o.Attempts, 1)
	switch o.Work {
	case "":
		o.Work = WorkChat
	case WorkChat, WorkLookup, WorkEntry:
	default:
		return errors.Errorf("unknown work %q", o.Work)
	}
	return nil
}
