// Package versions tells which software versions the backend servers of a service run anywhere in the fleet. The
// registry of one host can't tell: a host that was cut off, or stood still, has not heard of servers that have joined
// meanwhile.
//
// A host begins resumable streams at a version only once a quorum of the control hosts knows that the service runs it
// (Share). A host takes a version for the only one if a quorum of them, asked after the request came, knows of no other
// (Sole). Two quorums have a host in common, so a version at which a stream has begun is among the answers.
//
// Control hosts keep the versions in memory, for as long as they remember servers, and get them from the heartbeats of
// others after a start.
package versions

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/instance"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// settleTime is how long after its start a control host says that it may not know all versions. By then the hosts
	// that it reaches have told it of their servers.
	settleTime = 3 * time.Second
	// maxKept bounds the versions that a host keeps for others.
	maxKept = 4096
	// maxText bounds the name of a service and of a version from another host, in bytes.
	maxText = 256
)

// ControlGroup are the control hosts that this host knows, dead ones included.
type ControlGroup struct {
	// Others are the peer addresses of all but this one; one that is empty is not known.
	Others []string
	// Self is whether this host is one of them.
	Self bool
}

// quorum is how many of the control hosts have to answer.
func (g ControlGroup) quorum() int {
	size := len(g.Others)
	if g.Self {
		size++
	}
	return size/2 + 1
}

// Config configures a Keeper.
type Config struct {
	// Local returns the versions of the servers of a service that this host knows or has known lately.
	Local func(service string) []string
	// Controls returns the control hosts; ok is false while this host may not know all of them.
	Controls func() (group ControlGroup, ok bool)
	Client   func(address string) pb.PeerClient
	Log      zerolog.Logger
	// Now is the clock by which knowledge ages; the default is time.Now. It must go on while the machine is suspended.
	Now func() time.Time
}

// named is a software version of a service.
type named struct{ service, version string }

// Keeper implements relay.Versions. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	started time.Time
	metrics metrics
	sharing singleflight.Group

	mu sync.Mutex
	// kept has when other hosts last told this one of a version.
	kept map[named]time.Time
	// shared has what is known of the control hosts' knowledge of a version.
	shared map[named]sharing
}

// New returns a Keeper.
func New(cfg Config) *Keeper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	k := &Keeper{cfg: cfg, started: cfg.Now(), kept: make(map[named]time.Time), shared: make(map[named]sharing)}
	k.metrics.init()
	return k
}

// HandleShare keeps the versions that another host knows, and returns all that this host knows. It returns an error if it can't
// keep all of them.
func (k *Keeper) HandleShare(req *pb.ShareVersionsRequest) (*pb.ShareVersionsReply, error) {
	now, service := k.cfg.Now(), req.GetService()
	if !k.keep(now, service, req.GetVersions()) {
		return nil, status.Error(codes.ResourceExhausted, "this host can't keep further software versions")
	}
	return &pb.ShareVersionsReply{Versions: k.known(now, service), Incomplete: now.Sub(k.started) < settleTime}, nil
}

// keep records versions that other hosts know, and reports whether it has kept all of them.
func (k *Keeper) keep(now time.Time, service string, versions []string) (all bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.kept)+len(versions) > maxKept {
		maps.DeleteFunc(k.kept, func(_ named, told time.Time) bool { return now.Sub(told) >= instance.DefaultForget })
	}
	all = true
	for _, version := range versions {
		n := named{service, version}
		if _, known := k.kept[n]; len(service) > maxText || len(version) > maxText || !known && len(k.kept) >= maxKept {
			k.metrics.dropped.Add(1)
			all = false
			continue
		}
		k.kept[n] = now
	}
	return all
}

// known returns the versions of a service that this host knows, in order.
func (k *Keeper) known(now time.Time, service string) []string {
	out := k.cfg.Local(service)
	k.mu.Lock()
	defer k.mu.Unlock()
	for n, told := range k.kept {
		if n.service == service && now.Sub(told) < instance.DefaultForget {
			out = append(out, n.version)
		}
	}
	return sorted(out)
}

// sorted returns the versions in order, each once.
func sorted(versions []string) []string {
	slices.Sort(versions)
	return slices.Compact(versions)
}
