package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// announceTimeout bounds one POST request to one host.
const announceTimeout = 2 * time.Second

// cacheEventsBody is the body of POST /v1/cache-events. A gap between the sequence numbers of
// two events means that events were lost.
type cacheEventsBody struct {
	Address     string       `json:"address"`
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// timedLoad is a load together with the time of its measurement.
type timedLoad struct {
	at   time.Time
	load load
}

// timedEvents is a batch of cache events together with the time from which it may be posted.
type timedEvents struct {
	at     time.Time
	events []CacheEvent
}

// announcer announces this server to the entry hosts.
type announcer struct {
	server  *Server
	address string
	client  *http.Client
	hosts   []*announcedHost
	trigger chan struct{}
	seq     uint64
	history []timedLoad
	pending []timedEvents
}

// announcedHost is one entry host that gets announcements. A host that does not answer must not
// delay the announcements to the others, which would then consider this server lapsed. So the
// requests to each host are independent, and a host is skipped while its last one is in flight.
type announcedHost struct {
	address string
	busy    atomic.Bool
}

func newAnnouncer(s *Server, address string) *announcer {
	var hosts []*announcedHost
	for _, h := range s.opts.Announce {
		hosts = append(hosts, &announcedHost{address: h})
	}
	return &announcer{
		hosts:   hosts,
		server:  s,
		address: address,
		client:  &http.Client{Timeout: announceTimeout},
		trigger: make(chan struct{}, 1),
	}
}

// announceNow triggers an immediate announcement.
func (a *announcer) announceNow() {
	select {
	case a.trigger <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(a.server.opts.AnnounceEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		a.announceOnce(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-a.trigger:
		case <-ctx.Done():
		}
	}
	a.client.CloseIdleConnections()
}

// announceOnce sends one announcement and the cache events that are due.
func (a *announcer) announceOnce(ctx context.Context, now time.Time) {
	f := a.server.faults.get()
	a.history = append(a.history, timedLoad{at: now, load: a.server.engine.load()})
	events := a.dueEvents(now)
	if f.StopAnnouncing {
		return
	}
	posts := []post{{path: "/v1/announce", body: a.encode(a.state(f, now))}}
	if len(events) > 0 && !f.LoseCacheEvents {
		body := cacheEventsBody{
			Address:     a.address,
			Incarnation: a.server.opts.Incarnation,
			Events:      events,
		}
		posts = append(posts, post{path: "/v1/cache-events", body: a.encode(body)})
	}
	a.send(ctx, posts)
}

// state returns the announcement, with the load as it was late_load_ms ago.
func (a *announcer) state(f Faults, now time.Time) *pb.ServerState {
	s := a.server
	a.seq++
	models, adapters := s.catalog.lists()
	past := a.loadAt(now.Add(-time.Duration(f.LateLoadMS) * time.Millisecond))
	st := &pb.ServerState{
		Address:          a.address,
		Incarnation:      s.opts.Incarnation,
		Seq:              a.seq,
		Zone:             s.opts.Zone,
		Pool:             s.opts.Pool,
		Models:           models,
		Services:         s.opts.Services,
		Adapters:         adapters,
		Leaving:          s.leaving.Load(),
		ChecksFence:      s.opts.ChecksFence,
		Running:          uint32(past.load.running) + uint32(s.calls.Load()),
		Waiting:          uint32(past.load.waiting),
		Slots:            uint32(s.opts.Slots),
		TokensPerSecond:  past.load.tokensPerSecond,
		PrefillPerSecond: past.load.prefillPerSecond,
		Role:             s.catalog.currentRole(),
		LoadAgeMs:        now.Sub(past.at).Milliseconds(),
		Resumes:          !s.opts.NoResume,
		MovesKv:          !s.opts.NoMoveKV,
		CacheSeq:         past.load.cacheSeq,
	}
	if f.HideLoadAge {
		st.LoadAgeMs = 0
	}
	return st
}

// loadAt returns the latest load measured at or before t, or the oldest one if there is none,
// and discards older ones.
func (a *announcer) loadAt(t time.Time) timedLoad {
	best := 0
	for i, d := range a.history {
		if !d.at.After(t) {
			best = i
		}
	}
	a.history = a.history[best:]
	return a.history[0]
}

// dueEvents takes the engine's new cache events and returns those whose delay has passed, in order.
func (a *announcer) dueEvents(now time.Time) []CacheEvent {
	e := a.server.engine
	e.mu.Lock()
	fresh := e.cache.takeEvents()
	e.mu.Unlock()
	if len(fresh) > 0 {
		at := now.Add(a.server.opts.CacheEventDelay)
		a.pending = append(a.pending, timedEvents{at: at, events: fresh})
	}
	var due []CacheEvent
	for len(a.pending) > 0 && !a.pending[0].at.After(now) {
		due = append(due, a.pending[0].events...)
		a.pending = a.pending[1:]
	}
	return due
}

// post is a body to be sent to a path of every host.
type post struct {
	path string
	body []byte
}

func (a *announcer) encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		a.server.opts.Log.Error().Err(err).Msg("cannot encode announcement")
	}
	return b
}

// send sends posts to every host that has no request in flight.
func (a *announcer) send(ctx context.Context, posts []post) {
	for _, h := range a.hosts {
		if !h.busy.CompareAndSwap(false, true) {
			continue
		}
		a.server.wg.Go(func() {
			defer h.busy.Store(false)
			a.sendTo(ctx, h.address, posts)
		})
	}
}

func (a *announcer) sendTo(ctx context.Context, host string, posts []post) {
	for _, p := range posts {
		if err := a.postTo(ctx, "http://"+host+p.path, p.body); err != nil {
			a.server.opts.Log.Warn().Str("host", host).Str("path", p.path).Err(err).Msg("announcement failed")
		}
	}
}

func (a *announcer) postTo(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if key := a.server.opts.AnnounceKey; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
