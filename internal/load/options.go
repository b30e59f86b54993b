// Package load sends requests to a fleet as a well-behaved caller would, checks that each
// answer is complete and belongs to its request, and reports the outcome of every request.
package load

import (
	"time"

	"github.com/pkg/errors"
)

// Work is the kind of requests that a load run sends.
type Work string

// The kinds of work.
const (
	WorkChat   Work = "chat"
	WorkLookup Work = "lookup"
	// WorkEntry posts ledger entries, which are not idempotent.
	WorkEntry Work = "entry"
)

// Account is a client account whose requests are sent.
type Account struct {
	Name string
	Key  string
}

// Options configures a load run.
type Options struct {
	// Hosts are the hosts from which addresses are fetched; the first one that answers is used.
	Hosts []string
	// Direct is the address of a backend server to which requests are sent without any host.
	Direct string
	// Zone is the caller's availability zone.
	Zone     string
	Accounts []Account

	Work    Work
	Model   string
	Service string
	// Stream requests server-sent events.
	Stream bool
	// MaxTokens caps the output of each answer. Exact makes the engine use the whole cap.
	MaxTokens int
	Exact     bool
	// PromptBytes is the size of each prompt, SharedBytes the part that an account's requests share.
	PromptBytes int
	SharedBytes int
	// Earlier are the messages of each chat before the last one.
	Earlier []string
	// Seed makes the prompts and keys of two runs differ.
	Seed string

	// Rate is the number of requests started per second, regardless of how long others take.
	// If it is 0, each caller sends one request after the other.
	Rate float64
	// Concurrency is the number of callers.
	Concurrency int
	// Count and Duration bound the run. At least one must be set.
	Count    int
	Duration time.Duration

	// Timeout bounds each request, Attempts the number of its attempts.
	Timeout  time.Duration
	Attempts int
	// Patience is how long an attempt may receive no byte before another address is tried; 0
	// means no limit.
	Patience time.Duration
}

// maxCount is the Count of a run that is only bounded by its duration.
const maxCount = 10_000_000

func (o *Options) check() error {
	if o.Direct == "" && len(o.Hosts) == 0 {
		return errors.New("no host is given")
	}
	if o.Direct == "" && len(o.Accounts) == 0 {
		return errors.New("no client account is given")
	}
	if o.Count <= 0 && o.Duration <= 0 {
		return errors.New("the run is unbounded: give a count or a duration")
	}
	if o.Timeout <= 0 {
		return errors.New("the timeout must be positive")
	}
	return o.setDefaults()
}

// setDefaults sets the defaults.
func (o *Options) setDefaults() error {
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
