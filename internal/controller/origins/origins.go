// Package origins keeps the origin of each stream that this host serves, here, at the host that ranks first for
// it and at a control host, and finds the origin of a stream that a caller takes up again at any host.
//
// A copy is sent when the first event of a stream is passed on, and nothing waits for it: an origin that
// has not arrived, or was lost with its hosts, is unknown, and the stream is refused. An unknown origin is
// never guessed. A host that knows of one version only can't conclude that there is no other one: during a
// partition servers of a new version may have announced themselves to other hosts only.
package origins

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/bluebellsail/bluebellsail/internal/controller/owners"
	"github.com/bluebellsail/bluebellsail/internal/outbox"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/relay"
	"github.com/bluebellsail/bluebellsail/internal/streamorigin"
)

const (
	// copies is how many other hosts keep the origin of a stream. The loss of the host that serves the
	// stream and of one of these, at the same moment, loses no origin. One of them is a control host, if any is known, so
	// that the loss of all hosts that serve callers loses none either.
	copies = 2
	// askedBeyond is how many hosts are asked for an origin beside those that keep it, of either kind, in case one that
	// ranks before them has joined since.
	askedBeyond = 1
	// putTimeout bounds a message with origins.
	putTimeout = 500 * time.Millisecond
	// resendInterval is how often messages without an answer are looked for.
	resendInterval = time.Second
)

// Owners ranks the hosts that may keep the origin of a stream; *owners.Table implements it.
type Owners interface {
	FirstRanked(key string, n int) []owners.Host
}

// Config configures a Keeper.
type Config struct {
	Owners Owners
	// Controls returns the first n control hosts in rank for a key; nil: there are none.
	Controls func(key string, n int) []owners.Host
	Client   func(address string) pb.PeerClient
	Log      zerolog.Logger
}

// Keeper implements relay.Origins. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	metrics metrics
	// due wakes Run when there is a message to send.
	due   chan struct{}
	sends sync.WaitGroup

	mu     sync.Mutex
	table  *streamorigin.Table
	outbox *outbox.Outbox[*pb.StreamOrigin]
}

var _ relay.Origins = (*Keeper)(nil)

// New returns a Keeper. It sends copies only while Run runs.
func New(cfg Config) *Keeper {
	k := &Keeper{
		cfg: cfg, due: make(chan struct{}, 1),
		table: streamorigin.NewTable(streamorigin.DefaultCapacity), outbox: outbox.New[*pb.StreamOrigin](),
	}
	k.metrics.init(k.held)
	return k
}

// held returns the number of origins in the table.
func (k *Keeper) held() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len()
}

// Record implements relay.Origins.
func (k *Keeper) Record(account, attempt string, o streamorigin.Origin, lifetime time.Duration) {
	key, now := streamorigin.KeyOf(account, attempt), time.Now()
	k.metrics.recorded.Add(1)
	k.put(now, key, o, lifetime)
	k.sendCopies(now, key, o, lifetime)
	k.signal()
}

// sendCopies has an origin sent to the hosts that rank first for it.
func (k *Keeper) sendCopies(now time.Time, key streamorigin.Key, o streamorigin.Origin, lifetime time.Duration) {
	hosts := k.keepers(key, 0)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range hosts {
		k.outbox.Add(h.Receiver(), encode(key, o, lifetime), now.Add(lifetime))
	}
}

// put adds an origin to this host's table.
func (k *Keeper) put(now time.Time, key streamorigin.Key, o streamorigin.Origin, lifetime time.Duration) {
	k.mu.Lock()
	_, conflict := k.table.Put(now, key, o, now.Add(lifetime))
	k.mu.Unlock()
	if !conflict {
		return
	}
	k.metrics.conflicts.Add(1)
	k.cfg.Log.Warn().Str("event", "stream-origins-conflict").Str("stream", hex.EncodeToString(key[:])).Str("service", o.Service).
		Str("version", o.Version).Send()
}

// keepers returns the other hosts that keep copies of the origin of a stream, with the next ones in rank, beyond of either
// kind.
func (k *Keeper) keepers(key streamorigin.Key, beyond int) []owners.Host {
	name := "stream/" + string(key[:])
	var controls []owners.Host
	if k.cfg.Controls != nil {
		controls = k.cfg.Controls(name, 1+beyond)
	}
	inControl := min(len(controls), 1)
	return append(k.others(name, copies-inControl+beyond), controls...)
}

// others returns the first n hosts in rank for a key that may own it, other than this one.
func (k *Keeper) others(key string, n int) []owners.Host {
	ranked := k.cfg.Owners.FirstRanked(key, n+1)
	out := make([]owners.Host, 0, len(ranked)+askedBeyond+1)
	for _, h := range ranked {
		if !h.Self() && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

// HandlePut keeps origins of streams that another host serves.
func (k *Keeper) HandlePut(req *pb.PutOriginsRequest) *pb.PutOriginsReply {
	now := time.Now()
	for _, r := range req.GetOrigins() {
		if key, o, ok := decode(r); ok {
			k.put(now, key, o, time.Duration(r.GetLifetimeMs())*time.Millisecond)
		}
	}
	return &pb.PutOriginsReply{}
}

// HandleFind returns the origin of a stream if this host knows it.
func (k *Keeper) HandleFind(req *pb.FindOriginRequest) *pb.FindOriginReply {
	var key streamorigin.Key
	if len(req.GetKey()) != len(key) {
		return &pb.FindOriginReply{}
	}
	copy(key[:], req.GetKey())
	o, known := k.find(key)
	if !known {
		return &pb.FindOriginReply{}
	}
	return &pb.FindOriginReply{Origin: encode(key, o, 0)}
}

// find returns the origin of a stream from this host's table.
func (k *Keeper) find(key streamorigin.Key) (o streamorigin.Origin, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Find(time.Now(), key)
}

func encode(key streamorigin.Key, o streamorigin.Origin, lifetime time.Duration) *pb.StreamOrigin {
	return &pb.StreamOrigin{Key: key[:], Service: o.Service, Version: o.Version, LifetimeMs: lifetime.Milliseconds()}
}

func decode(r *pb.StreamOrigin) (key streamorigin.Key, o streamorigin.Origin, ok bool) {
	if len(r.GetKey()) != len(key) {
		return key, o, false
	}
	copy(key[:], r.GetKey())
	return key, streamorigin.Origin{Service: r.GetService(), Version: r.GetVersion()}, true
}

// Run sends copies of origins until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	defer k.sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.due:
		case <-resend.C:
		}
		k.send(ctx)
	}
}

func (k *Keeper) signal() {
	select {
	case k.due <- struct{}{}:
	default: // Run has been woken already
	}
}
