// Package loadviews asks the hosts of a fleet what they know of the load, for operators.
package loadviews

import (
	"context"
	"encoding/json"
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/loadview"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/wire"
)

const (
	// askTimeout bounds the wait for one host. An answer through a full link takes hundreds of milliseconds.
	askTimeout = time.Second
	// totalTimeout bounds the wait for all. It is below the time in which operators' requests are answered.
	totalTimeout = 2500 * time.Millisecond
	// concurrentAsks bounds the calls at once, and so what their answers take of this host's link.
	concurrentAsks = 16
	// maxAnswer bounds a host's answer, in bytes.
	maxAnswer = 256 << 10
	// maxServiceName bounds the name of the service in a request, in bytes.
	maxServiceName = 256
)

// Peer is another host. A dead one is not asked.
type Peer struct {
	Host, Address string
	Dead          bool
}

// Config configures an Asker. All fields are required.
type Config struct {
	// Self is the name of this host, and View its own description.
	Self string
	View func(service string, now time.Time) *loadview.Host
	// Peers returns the other hosts that are known and have not left in order.
	Peers func() []Peer
	// Call asks the host at a peer address.
	Call func(ctx context.Context, address string, r *pb.LoadViewRequest) (*pb.LoadViewReply, error)
	// Log gets a line for each description of the fleet that lacks hosts.
	Log zerolog.Logger
}

// Asker asks hosts. It is safe for concurrent use.
type Asker struct {
	cfg Config
	// asked counts descriptions of the fleet, handled those of this host alone, and statuses the other
	// hosts' answers by Status.
	asked, handled expvar.Int
	statuses, vars expvar.Map
}

// New returns an Asker.
func New(cfg Config) *Asker {
	a := &Asker{cfg: cfg}
	a.vars.Set("asked", &a.asked)
	a.vars.Set("handled", &a.handled)
	a.vars.Set("hosts", &a.statuses)
	return a
}

// Vars returns the metrics.
func (a *Asker) Vars() expvar.Var { return &a.vars }

// Load implements adminapi.Loads. It returns at the latest after totalTimeout, whatever hosts don't answer.
func (a *Asker) Load(ctx context.Context, service string) (*loadview.Fleet, error) {
	if len(service) > maxServiceName {
		return nil, errkind.New(errkind.BadRequest, "the name of a service has at most %d bytes", maxServiceName)
	}
	ctx, cancel := context.WithTimeout(ctx, totalTimeout)
	defer cancel()
	peers := a.cfg.Peers()
	replies := make([]loadview.Reply, len(peers), len(peers)+1)
	slots := make(chan struct{}, concurrentAsks)
	var asks sync.WaitGroup
	for i, p := range peers {
		if p.Dead {
			replies[i] = loadview.Reply{Host: p.Host, Status: loadview.Dead}
			continue
		}
		asks.Go(func() {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-ctx.Done():
				replies[i] = loadview.Reply{Host: p.Host, Status: loadview.NotAsked}
				return
			}
			replies[i] = a.ask(ctx, p, service)
		})
	}
	asks.Wait()
	own := loadview.Reply{Host: a.cfg.Self, Status: loadview.Answered, View: a.cfg.View(service, time.Now())}
	f := loadview.Merge(service, append(replies, own))
	a.record(f, replies)
	return f, nil
}

// maxLoggedHosts bounds the hosts named in a line.
const maxLoggedHosts = 16

func (a *Asker) record(f *loadview.Fleet, replies []loadview.Reply) {
	a.asked.Add(1)
	for _, r := range replies {
		a.statuses.Add(string(r.Status), 1)
	}
	if f.Whole {
		return
	}
	names := make([]string, 0, maxLoggedHosts)
	for _, m := range f.Missing[:min(len(f.Missing), maxLoggedHosts)] {
		names = append(names, m.Host)
	}
	a.cfg.Log.Info().Str("event", "load-view-incomplete").Str("service", f.Service).Int("answered", len(f.Hosts)).
		Int("missing", len(f.Missing)).Str("hosts", strings.Join(names, ",")).Send()
}

func (a *Asker) ask(ctx context.Context, p Peer, service string) loadview.Reply {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := a.cfg.Call(ctx, p.Address, &pb.LoadViewRequest{Service: service})
	r := loadview.Reply{Host: p.Host, Status: statusOf(answer, err)}
	if r.Status != loadview.Answered {
		return r
	}
	r.View = new(loadview.Host)
	if err := json.Unmarshal(answer.GetJson(), r.View); err != nil {
		return loadview.Reply{Host: p.Host, Status: loadview.Unreadable}
	}
	r.AgeMS = time.Since(asked).Milliseconds()
	return r
}

func statusOf(answer *pb.LoadViewReply, err error) loadview.Status {
	switch {
	case status.Code(err) == codes.Unimplemented:
		return loadview.NoView
	case err != nil || answer.GetError() != nil:
		return loadview.Silent
	case len(answer.GetJson()) > maxAnswer:
		return loadview.Unreadable
	}
	return loadview.Answered
}

// Handle answers another host.
func (a *Asker) Handle(r *pb.LoadViewRequest) *pb.LoadViewReply {
	if len(r.GetService()) > maxServiceName {
		return &pb.LoadViewReply{Error: wire.EncodeError(errkind.New(errkind.BadRequest, "the name of the service is too long"))}
	}
	a.handled.Add(1)
	text, err := json.Marshal(a.cfg.View(r.GetService(), time.Now()))
	return &pb.LoadViewReply{Json: text, Error: wire.EncodeError(err)}
}
