package versions

import (
	"context"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// askTimeout bounds one round of questions.
	askTimeout = 150 * time.Millisecond
	// rounds is how often the control hosts are asked, with roundPause in between: connections of a host that stood still
	// may have to be opened anew.
	rounds     = 2
	roundPause = 25 * time.Millisecond
	// unknownRetryAfter is when a caller may ask again: elections and restarts of control hosts take about as long.
	unknownRetryAfter = time.Second
)

// tally sums up the answers of control hosts.
type tally struct {
	quorum int
	// acknowledged counts the hosts that have answered, complete those of them that know all versions.
	acknowledged, complete int
	versions               []string
}

func (t *tally) add(r *pb.ShareVersionsReply) {
	t.acknowledged++
	if !r.GetIncomplete() {
		t.complete++
	}
	t.versions = append(t.versions, r.GetVersions()...)
}

// Sole implements relay.Versions.
func (k *Keeper) Sole(ctx context.Context, service string) (version string, err error) {
	k.metrics.asked.Add(1)
	here := k.known(k.cfg.Now(), service)
	if len(here) != 1 {
		return "", several(service, here)
	}
	var t tally
	for round := range rounds {
		if round > 0 {
			pause(ctx, roundPause)
		}
		t = k.ask(ctx, service, nil, func(t *tally) bool { return t.complete >= t.quorum })
		if ctx.Err() != nil {
			return "", filter.ContextError(ctx).WithRan(errkind.RanNo)
		}
		all := k.learn(service, t.versions)
		if len(all) != 1 {
			return "", several(service, all)
		}
		if t.complete >= t.quorum {
			return all[0], nil
		}
	}
	k.metrics.unanswered.Add(1)
	return "", errkind.New(errkind.StreamUnknown,
		"the request does not name the attempt that began its stream, and whether servers of %q run other versions than %q is known to %d control hosts of %d needed",
		service, here[0], t.complete, t.quorum).After(unknownRetryAfter)
}

// several refuses a stream of a service whose servers do not all run one version.
func several(service string, versions []string) error {
	return errkind.New(errkind.StreamUnknown,
		"the request does not name the attempt that began its stream, and servers of %q run several software versions or none that is known: %q", service, versions)
}

// learn keeps the versions that control hosts know and this host does not, and returns all of both, in order.
func (k *Keeper) learn(service string, versions []string) []string {
	now := k.cfg.Now()
	here := k.known(now, service)
	unknown := slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return slices.Contains(here, v) })
	k.keep(now, service, unknown)
	return sorted(append(here, unknown...))
}

// ask tells all control hosts of versions, which may be none, and sums up their answers until enough is true or none is
// missing.
func (k *Keeper) ask(ctx context.Context, service string, versions []string, enough func(*tally) bool) tally {
	group, ok := k.cfg.Controls()
	if !ok {
		return tally{quorum: 1}
	}
	t := tally{quorum: group.quorum()}
	req := &pb.ShareVersionsRequest{Service: service, Versions: versions}
	if group.Self {
		if reply, err := k.HandleShare(req); err == nil {
			t.add(reply)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *pb.ShareVersionsReply, len(group.Others))
	for _, address := range group.Others {
		go func() {
			var reply *pb.ShareVersionsReply
			defer func() { replies <- reply }()
			defer panics.Log(k.cfg.Log, "asking for software versions")
			reply = k.askOne(ctx, address, req)
		}()
	}
	for range group.Others {
		if enough(&t) {
			break
		}
		if reply := <-replies; reply != nil {
			t.add(reply)
		}
	}
	return t
}

// askOne returns the answer of a control host; nil if there is none.
func (k *Keeper) askOne(ctx context.Context, address string, req *pb.ShareVersionsRequest) *pb.ShareVersionsReply {
	if address == "" {
		return nil
	}
	reply, err := k.cfg.Client(address).ShareVersions(ctx, req)
	if err != nil {
		k.cfg.Log.Debug().Str("event", "versions-unanswered").Str("service", req.GetService()).Str("host", address).Err(err).Send()
		return nil
	}
	return reply
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
