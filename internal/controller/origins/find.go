package origins

import (
	"context"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/filter"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

const (
	// findTimeout bounds one question.
	findTimeout = 150 * time.Millisecond
	// rounds is how often the hosts are asked, with a pause in between: a caller that breaks its connection
	// right after the first event may overtake the copies.
	rounds = 2
	// roundPause is that pause.
	roundPause = 25 * time.Millisecond
	// lifetimeOfFound is how long this host keeps an origin that it has learned from another one.
	lifetimeOfFound = 30 * time.Second
	// unknownRetryAfter is when a caller may ask again for a stream of unknown origin: by then a host that did
	// not answer has been replaced, or a copy on its way has arrived.
	unknownRetryAfter = time.Second
)

// Find implements relay.Origins. It asks other hosts if this one does not know the origin.
func (k *Keeper) Find(ctx context.Context, account, attempt string) (streamorigin.Origin, string, error) {
	key := streamorigin.KeyOf(account, attempt)
	if o, known := k.find(key); known {
		k.metrics.found.Add(here, 1)
		return o, here, nil
	}
	hosts := k.keepers(key, askedBeyond)
	answered := 0
	for round := range rounds {
		if round > 0 {
			sleep(ctx, roundPause)
		}
		var found answer
		if found, answered = k.ask(ctx, key, hosts); found.known {
			k.metrics.found.Add(atPeer, 1)
			k.put(time.Now(), key, found.origin, lifetimeOfFound)
			return found.origin, found.host, nil
		}
		if ctx.Err() != nil {
			return streamorigin.Origin{}, "", filter.ContextError(ctx).WithRan(errkind.RanNo)
		}
	}
	k.metrics.found.Add(unknown, 1)
	return streamorigin.Origin{}, "", errkind.New(errkind.StreamUnknown,
		"at which software version the stream began is not known to this host, nor to the %d that answered of %d asked", answered, len(hosts)).
		After(unknownRetryAfter)
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// answer is one host's answer to the question where a stream began.
type answer struct {
	host     string
	origin   streamorigin.Origin
	known    bool
	answered bool
}

// ask asks hosts at the same time, and returns the first answer of one that knows the origin, or else how
// many hosts have answered.
func (k *Keeper) ask(ctx context.Context, key streamorigin.Key, hosts []owners.Host) (found answer, answered int) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan answer, len(hosts))
	for _, h := range hosts {
		go func() {
			a := answer{host: h.Name}
			defer func() { answers <- a }()
			defer panics.Log(k.cfg.Log, "asking for the origin of a stream")
			a = k.askOne(ctx, key, h)
		}()
	}
	for range hosts {
		a := <-answers
		if a.known {
			return a, answered
		}
		if a.answered {
			answered++
		}
	}
	return answer{}, answered
}

func (k *Keeper) askOne(ctx context.Context, key streamorigin.Key, h owners.Host) answer {
	a := answer{host: h.Name}
	reply, err := k.cfg.Client(h.Address).FindOrigin(ctx, &pb.FindOriginRequest{Key: key[:]})
	if err != nil {
		return a
	}
	a.answered = true
	var of streamorigin.Key
	of, a.origin, a.known = decode(reply.GetOrigin())
	a.known = a.known && of == key
	return a
}
