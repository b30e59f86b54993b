package daemon

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/repair"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// repairEvery is the time between two looks for dead incarnations.
	repairEvery = 2 * time.Second
	// repairTimeout bounds one look.
	repairTimeout = 30 * time.Second
	// usageWait bounds the question to a backend server about one run.
	usageWait = 300 * time.Millisecond
)

// serveRepair starts the controllers that mend what failed hosts left behind.
func (e *entry) serveRepair(t *tasks) {
	if e.d.replica != nil {
		t.run("placement", e.placement.Run)
	}
	t.run("repair", e.repairLoop)
}

// repairLoop recovers dead incarnations while this host is the one to do so.
func (e *entry) repairLoop(ctx context.Context) {
	controller := repair.New(repair.Config{
		Self: e.holder(), Control: group{e.d.client}, Peers: gatherers{e}, Requests: e.records,
		EngineUsage: engineUsage(engineclient.New(engineclient.Config{})), Log: e.d.tel.Log,
	})
	every(ctx, repairEvery, func() {
		if !e.repairs() {
			return
		}
		lookCtx, cancel := context.WithTimeout(ctx, repairTimeout)
		defer cancel()
		if _, err := controller.Reconcile(lookCtx); err != nil {
			e.d.tel.Log.Debug().Str("event", "recovery-failed").Err(err).Send()
		}
	})
}

// repairs tells whether this host is the first by name of those alive in its view.
// Two hosts with different views may both repair: recovery is idempotent, so this
// only saves work.
func (e *entry) repairs() bool {
	if e.leaving.Load() {
		return false
	}
	self := e.holder().GetHost()
	for _, h := range e.liveHosts() {
		if h.Name < self {
			return false
		}
	}
	return true
}

// gatherers implements repair.Peers: every live host, this one included.
type gatherers struct{ e *entry }

// Gather asks one host for what it holds of a dead incarnation.
func (g gatherers) Gather(ctx context.Context, host string, req *pb.GatherRequest) (*pb.GatherReply, error) {
	if host == g.e.holder().GetHost() {
		return g.e.records.HandleGather(req), nil
	}
	client, ok := peers(g).Dial(host)
	if !ok {
		return nil, errkind.New(errkind.NotFound, "no address of host %s", host)
	}
	return client.Gather(ctx, req)
}

// engineUsage asks a backend server what a run that lost its host has used.
func engineUsage(client *engineclient.Client) func(context.Context, *pb.InflightRecord) (uint64, uint64, bool) {
	return func(ctx context.Context, rec *pb.InflightRecord) (prompt, output uint64, known bool) {
		ctx, cancel := context.WithTimeout(ctx, usageWait)
		defer cancel()
		usage := client.FinalUsage(ctx, rec.GetServer(), rec.GetEngineRequestId())
		if usage == nil {
			return 0, 0, false
		}
		return usage.PromptTokens, usage.CompletionTokens, true
	}
}
