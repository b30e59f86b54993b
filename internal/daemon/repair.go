package daemon

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebellsail/bluebellsail/internal/controller/repair"
	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter/route"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// repairEvery is the interval between searches for dead incarnations.
	repairEvery = 2 * time.Second
	// repairTimeout bounds one search with its recoveries.
	repairTimeout = 30 * time.Second
	// usageTimeout bounds the queries to backend servers about the usage of one request.
	usageTimeout = 300 * time.Millisecond
	// maxConcurrentQueries bounds the concurrent queries to servers.
	maxConcurrentQueries = 64
)

// startRepair starts the controllers of model placement and of the recovery of failed hosts.
func (e *entry) startRepair(t *tasks) {
	if e.d.replica != nil {
		t.run("placement", e.placement.Run)
	}
	t.run("repair", e.repairLoop)
}

// repairLoop recovers dead incarnations while this host is responsible for that.
func (e *entry) repairLoop(ctx context.Context) {
	controller := repair.New(repair.Config{
		Self: e.holder(), Control: group{e.d.client}, Peers: gatherers{e}, Requests: e.records,
		EngineUsage: engineUsage(e.client, e.serverAddresses), Log: e.d.tel.Log,
	})
	every(ctx, repairEvery, func() {
		if !e.isRepairer() {
			return
		}
		lookCtx, cancel := context.WithTimeout(ctx, repairTimeout)
		defer cancel()
		if _, err := controller.Reconcile(lookCtx); err != nil {
			e.d.tel.Log.Debug().Str("event", "recovery-failed").Err(err).Send()
		}
	})
}

// serverAddresses returns the addresses of the backend servers that this host knows.
func (e *entry) serverAddresses() []string {
	var out []string
	for _, s := range e.sched.Servers() {
		out = append(out, s.GetAddress())
	}
	return out
}

// isRepairer reports whether this host is the first by name among the live hosts in its view.
// Two hosts with different views may both repair. Recovery is idempotent, so this check only
// saves work.
func (e *entry) isRepairer() bool {
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

// gatherers implements repair.Peers for every host, this one included.
type gatherers struct{ e *entry }

// Gather asks one host for what it has recorded of a dead incarnation.
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

// maxAttemptsQueried bounds the attempts of a request for which all servers are queried.
const maxAttemptsQueried = 3

// engineUsage returns a function that asks for the token usage of a request whose host is
// dead: at the backend server of its record, or at all servers if the record has none.
//
// Without the latter, a host that is killed before its peers know where a request runs leaves
// the request's tokens locked until a minute after its deadline, though the engine could report
// at once what the request has used.
func engineUsage(client *engineclient.Client, servers func() []string) func(context.Context, *pb.InflightRecord) (uint64, uint64, bool) {
	return func(ctx context.Context, rec *pb.InflightRecord) (prompt, output uint64, known bool) {
		ctx, cancel := context.WithTimeout(ctx, usageTimeout)
		defer cancel()
		var usage *engineclient.Usage
		if rec.GetServer() == "" {
			usage = usageAtAnyServer(ctx, client, servers(), rec.GetRequestId())
		} else {
			usage = client.FinalUsage(ctx, rec.GetServer(), rec.GetEngineRequestId())
		}
		if usage == nil {
			return 0, 0, false
		}
		return usage.PromptTokens, usage.CompletionTokens, true
	}
}

// usageAtAnyServer queries all servers for the attempts of a request and returns the usage of the
// last attempt that a server has finished; nil if there is none.
func usageAtAnyServer(ctx context.Context, client *engineclient.Client, servers []string, requestID string) *engineclient.Usage {
	var mu sync.Mutex
	var found *engineclient.Usage
	last := 0
	var asked errgroup.Group
	asked.SetLimit(maxConcurrentQueries)
	for _, server := range servers {
		for attempt := 1; attempt <= maxAttemptsQueried; attempt++ {
			asked.Go(func() error {
				usage := client.FinalUsage(ctx, server, route.AttemptID(requestID, attempt))
				mu.Lock()
				defer mu.Unlock()
				if usage != nil && attempt > last {
					found, last = usage, attempt
				}
				return nil
			})
		}
	}
	_ = asked.Wait() // the functions return no errors
	return found
}
