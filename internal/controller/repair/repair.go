// Package repair recovers the tokens of dead incarnations: it gathers their in-flight
// records from every live host, bills the requests that ran, and has the ledger release the
// rest. docs/design/recovery.md describes what is billed when and why.
package repair

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/defaults"
	"github.com/bluebellsail/bluebellsail/internal/inflight"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

// Control is the control group.
type Control interface {
	// Hosts lists the registered hosts by a quorum-confirmed read.
	Hosts(ctx context.Context) ([]*pb.HostInfo, error)
	Propose(ctx context.Context, cmd *pb.Command) (*pb.CommandResult, error)
}

// Peers reaches every live host, this one included.
type Peers interface {
	Gather(ctx context.Context, host string, req *pb.GatherRequest) (*pb.GatherReply, error)
}

// Requests finds the records of a dead host's requests.
type Requests interface {
	// Find looks for a record of the identity at all hosts. A host that took the request over
	// has a record of its own.
	Find(ctx context.Context, identity string) (*pb.InflightRecord, bool, error)
}

// Defaults of Config.
const (
	defaultLongestRequest = 15 * time.Minute
	defaultMargin         = time.Minute
	defaultGatherWait     = 2 * time.Second
)

// Config configures a Controller. Zero durations mean the defaults.
type Config struct {
	Self     *pb.Holder
	Control  Control
	Peers    Peers
	Requests Requests
	// EngineUsage asks the backend server of a running record for the request's usage; known
	// is false while the request runs, or if the server does not report it. May be nil.
	EngineUsage func(ctx context.Context, rec *pb.InflightRecord) (prompt, output uint64, known bool)
	// LongestRequest is the longest time that a request may run. Margin is added to it
	// before a request of unknown usage is billed by its reservation.
	LongestRequest time.Duration
	Margin         time.Duration
	GatherWait     time.Duration
	Log            zerolog.Logger
}

// Controller is level-triggered: each Reconcile examines the whole state again.
type Controller struct{ cfg Config }

// New returns a Controller.
func New(cfg Config) *Controller {
	defaults.Set(&cfg.LongestRequest, defaultLongestRequest)
	defaults.Set(&cfg.Margin, defaultMargin)
	defaults.Set(&cfg.GatherWait, defaultGatherWait)
	return &Controller{cfg: cfg}
}

// Result is the result of one Reconcile.
type Result struct {
	Recovered []Recovered
	// Waiting lists the dead incarnations whose tokens stay granted, with the reasons.
	Waiting []Waiting
}

// Recovered is one dead incarnation whose tokens were billed or released.
type Recovered struct {
	Dead *pb.Holder
	// Bills is the number of bills proposed. Billed and Released are the tokens that the ledger
	// billed and released.
	Bills            int
	Billed, Released uint64
	// ByReservation lists the identities that were billed by their reservation because
	// their actual usage is not known.
	ByReservation []string
}

// Waiting is one dead incarnation that can't be recovered yet.
type Waiting struct {
	Dead *pb.Holder
	// Missing lists the live hosts that did not answer.
	Missing []string
	// Running lists the identities of requests that may still run.
	Running []string
	// Reason is any other reason, such as the ledger's refusal.
	Reason string
}

// Reconcile tries to recover every dead incarnation once. It returns an error only if the
// hosts can't be listed.
func (c *Controller) Reconcile(ctx context.Context) (Result, error) {
	var result Result
	hosts, err := c.cfg.Control.Hosts(ctx)
	if err != nil {
		return result, err
	}
	live := liveHolders(hosts)
	var plans []*plan
	dead := deadHolders(hosts)
	for _, d := range dead {
		if p := c.examine(ctx, d, live, &result); p != nil {
			plans = append(plans, p)
		}
	}
	best := bestCertainty(plans)
	for _, p := range plans {
		if len(plans) < len(dead) && !p.certain() {
			result.Waiting = append(result.Waiting, Waiting{Dead: p.dead, Reason: "another dead incarnation may know more about its requests"})
			continue
		}
		p.billAll(time.Now(), best)
		c.recover(ctx, p, live, &result)
	}
	for _, w := range result.Waiting {
		c.cfg.Log.Warn().Str("event", "recovery-waits").Str("dead", w.Dead.GetHost()).
			Uint64("incarnation", w.Dead.GetIncarnation()).Strs("missing", w.Missing).
			Int("running", len(w.Running)).Str("reason", w.Reason).Send()
	}
	return result, nil
}

func liveHolders(hosts []*pb.HostInfo) []*pb.Holder {
	var live []*pb.Holder
	for _, h := range hosts {
		if !h.GetRemoved() {
			live = append(live, &pb.Holder{Host: h.GetHost(), Incarnation: h.GetIncarnation()})
		}
	}
	return live
}

func deadHolders(hosts []*pb.HostInfo) []*pb.Holder {
	var dead []*pb.Holder
	for _, h := range hosts {
		for _, incarnation := range h.GetUnrecovered() {
			dead = append(dead, &pb.Holder{Host: h.GetHost(), Incarnation: incarnation})
		}
	}
	return dead
}

// examine gathers the records of a dead incarnation. It returns nil if a host did not answer.
func (c *Controller) examine(ctx context.Context, dead *pb.Holder, live []*pb.Holder, result *Result) *plan {
	replies, missing := c.gather(ctx, dead, live)
	if len(missing) > 0 {
		result.Waiting = append(result.Waiting, Waiting{Dead: dead, Missing: missing})
		return nil
	}
	p := newPlan(dead, live, replies)
	p.classify(time.Now(), c.cfg.LongestRequest, c.cfg.Margin, func(rec *pb.InflightRecord) outcome {
		return c.outcomeOf(ctx, dead, live, rec)
	})
	return p
}

func (c *Controller) recover(ctx context.Context, p *plan, live []*pb.Holder, result *Result) {
	dead := p.dead
	if len(p.running) > 0 {
		result.Waiting = append(result.Waiting, Waiting{Dead: dead, Running: p.running})
		return
	}
	done, err := c.propose(ctx, p.command(live))
	if err != nil {
		result.Waiting = append(result.Waiting, Waiting{Dead: dead, Reason: err.Error()})
		return
	}
	r := Recovered{Dead: dead, Bills: len(p.bills), Billed: done.GetBilled(), Released: done.GetReleased(), ByReservation: p.byReservation}
	result.Recovered = append(result.Recovered, r)
	c.cfg.Log.Info().Str("event", "holder-recovered").Str("dead", dead.GetHost()).Uint64("incarnation", dead.GetIncarnation()).
		Int("bills", r.Bills).Uint64("billed", r.Billed).Uint64("released", r.Released).Strs("by_reservation", r.ByReservation).Send()
}

// gather calls all live hosts concurrently. It returns in missing those that did not answer as
// the registered incarnation.
func (c *Controller) gather(ctx context.Context, dead *pb.Holder, live []*pb.Holder) (replies []*pb.GatherReply, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.GatherWait)
	defer cancel()
	all := make([]*pb.GatherReply, len(live))
	var wg sync.WaitGroup
	for i, h := range live {
		wg.Go(func() {
			reply, err := c.cfg.Peers.Gather(ctx, h.GetHost(), &pb.GatherRequest{Dead: dead, From: c.cfg.Self})
			if err == nil && reply.GetError() == nil && sameHolder(reply.GetSelf(), h) {
				all[i] = reply
			}
		})
	}
	wg.Wait()
	for i, reply := range all {
		if reply == nil {
			missing = append(missing, live[i].GetHost())
			continue
		}
		replies = append(replies, reply)
	}
	return replies, missing
}

// outcomeOf finds out what happened to a request that was running when its host died.
//
// A running record of another dead host proves nothing about this host's execution. If it
// counted as a takeover, this recovery would wait for a host that never finishes, and the
// tokens would stay granted even after that host is recovered. A finished record without
// tokens, such as a refusal of a retry, proves nothing either: the execution here would not be
// billed at all.
func (c *Controller) outcomeOf(ctx context.Context, dead *pb.Holder, live []*pb.Holder, rec *pb.InflightRecord) outcome {
	other, ok, err := c.cfg.Requests.Find(ctx, rec.GetIdentity())
	if err == nil && ok && !sameHolder(other.GetHolder(), dead) {
		done := other.GetState() == pb.InflightState_INFLIGHT_STATE_DONE
		if done && inflight.Billable(other) {
			return outcome{billedElsewhere: true}
		}
		if !done && isLive(other.GetHolder(), live) {
			return outcome{takenOver: true}
		}
	}
	if c.cfg.EngineUsage == nil {
		return outcome{}
	}
	prompt, output, known := c.cfg.EngineUsage(ctx, rec)
	return outcome{prompt: prompt, output: output, known: known}
}

func (c *Controller) propose(ctx context.Context, cmd *pb.Command) (*pb.RecoverHolderResult, error) {
	cmd.Actor = c.cfg.Self.GetHost()
	r, err := c.cfg.Control.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if err := wire.DecodeError(r.GetError()); err != nil {
		return nil, err
	}
	return r.GetRecoverHolder(), nil
}

func sameHolder(a, b *pb.Holder) bool {
	return a.GetHost() == b.GetHost() && a.GetIncarnation() == b.GetIncarnation()
}
