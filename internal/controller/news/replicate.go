package news

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/panics"
	"github.com/bluebellsail/bluebellsail/internal/pb"
)

const (
	// Copies is the number of other hosts that hold a change before it is confirmed: two control hosts and two others
	// if they can be reached, as hosts of one kind are lost together more often than hosts of both.
	Copies = 4
	// hedgeDelay is how long a round waits for answers before it asks further hosts.
	hedgeDelay = 60 * time.Millisecond
	// roundTimeout bounds a round.
	roundTimeout = 350 * time.Millisecond
	// confirmTimeout bounds the wait for a round. Servers wait a second for an answer.
	confirmTimeout = 800 * time.Millisecond
	// roundInterval is the minimum time between the starts of two rounds. Changes that come meanwhile share one.
	roundInterval = 20 * time.Millisecond
	// maxRoundChanges bounds the changes in one round, of some 130 B each.
	maxRoundChanges = 256
	// releaseDelay is how long after a round its hosts may forget the changes: by then this host has broadcast them.
	releaseDelay = 250 * time.Millisecond
	// replicatedRetention is how long a state of a server that was replicated is not replicated again.
	replicatedRetention = time.Minute
)

// replication collects the changes that are to be held by other hosts, in rounds. One round runs at a time.
type replication struct {
	// rounds are those that have not begun, in order. running is set while one runs.
	rounds  []*round
	running bool
	// number counts the rounds of this process.
	number uint64
	// servers holds the states of servers that were replicated, with the time.
	servers map[serverState]time.Time
}

// serverState is a state of a server that a host confirms.
type serverState struct {
	id          string
	incarnation uint64
	gone        bool
}

func stateOf(st *pb.ServerState) serverState {
	return serverState{id: st.GetId(), incarnation: st.GetIncarnation(), gone: st.GetGone()}
}

// round is a set of changes that are sent to other hosts together.
type round struct {
	update *pb.TellRequest
	began  time.Time
	// done is closed at the end of the round; err is set before.
	done chan struct{}
	err  error
}

// add adds a change. Of evacuated zones the newest set counts.
func (r *round) add(change *pb.TellRequest) {
	r.update.Servers = append(r.update.Servers, change.GetServers()...)
	r.update.Suspects = append(r.update.Suspects, change.GetSuspects()...)
	if change.GetEvacuations().GetRevision() > r.update.GetEvacuations().GetRevision() {
		r.update.Evacuations = change.GetEvacuations()
	}
}

// changes returns the number of changes.
func (r *round) changes() int {
	n := len(r.update.GetServers()) + len(r.update.GetSuspects())
	if r.update.GetEvacuations() != nil {
		n++
	}
	return n
}

// ReplicateServer broadcasts that a server leaves or has ended, and returns once other hosts hold the change and will
// broadcast it if this host can't. The error is of the kind NotReplicated: no other host is known to hold it.
//
// The number of messages doesn't depend on the size of the fleet. The call takes a round trip to the hosts nearby, two
// if another round is running, and returns after confirmTimeout at most.
func (s *Broadcaster) ReplicateServer(ctx context.Context, st *pb.ServerState) error {
	if s.isReplicated(st) {
		return nil
	}
	s.BroadcastServer(st)
	return s.replicate(ctx, &pb.TellRequest{Servers: []*pb.ServerState{st}})
}

// ReplicateEvacuations is like ReplicateServer for the evacuated zones.
func (s *Broadcaster) ReplicateEvacuations(ctx context.Context, e *pb.Evacuations) error {
	s.BroadcastEvacuations(e)
	return s.replicate(ctx, &pb.TellRequest{Evacuations: e})
}

// ReplicateSuspect is like ReplicateServer for a suspect.
func (s *Broadcaster) ReplicateSuspect(ctx context.Context, suspect *pb.Suspect) error {
	s.BroadcastSuspect(suspect)
	return s.replicate(ctx, &pb.TellRequest{Suspects: []*pb.Suspect{suspect}})
}

// isReplicated reports whether a state of a server was replicated. Servers repeat what they announce.
func (s *Broadcaster) isReplicated(st *pb.ServerState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.replication.servers[stateOf(st)]
	return ok && time.Since(at) < replicatedRetention
}

// replicate has a change take part in a round and waits for the round's end.
func (s *Broadcaster) replicate(ctx context.Context, change *pb.TellRequest) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := s.joinRound(change)
	if r == nil {
		return errkind.New(errkind.NotReplicated, "this host is starting or shutting down")
	}
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return errkind.New(errkind.NotReplicated, "no other host is known to have the change: %v", ctx.Err())
	}
}

// joinRound adds a change to the next round that has room, and starts the rounds if none runs. It returns nil if Run
// does not run.
func (s *Broadcaster) joinRound(change *pb.TellRequest) *round {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx := s.ctx
	if ctx == nil {
		return nil
	}
	p := &s.replication
	if n := len(p.rounds); n == 0 || p.rounds[n-1].changes() >= maxRoundChanges {
		p.rounds = append(p.rounds, &round{update: &pb.TellRequest{}, done: make(chan struct{})})
	}
	r := p.rounds[len(p.rounds)-1]
	r.add(change)
	if !p.running {
		p.running = true
		s.sends.Go(func() {
			defer panics.Log(s.cfg.Log, "replication of changes")
			s.runRounds(ctx)
		})
	}
	return r
}

// runRounds runs rounds until there is none.
func (s *Broadcaster) runRounds(ctx context.Context) {
	for {
		r, number := s.nextRound()
		if r == nil {
			return
		}
		s.runRound(ctx, r, number)
		select {
		case <-time.After(roundInterval - time.Since(r.began)):
		case <-ctx.Done(): // the rounds that are left fail at once
		}
	}
}

// nextRound removes the next round from the list; nil if there is none.
func (s *Broadcaster) nextRound() (*round, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.replication
	if len(p.rounds) == 0 {
		p.running = false
		return nil, 0
	}
	r := p.rounds[0]
	p.rounds = p.rounds[1:]
	p.number++
	r.began = time.Now()
	return r, p.number
}

// runRound sends the changes of a round to other hosts and ends it.
func (s *Broadcaster) runRound(ctx context.Context, r *round, number uint64) {
	defer close(r.done)
	defer panics.Log(s.cfg.Log, "a round of replication") // the next round runs all the same
	r.err = errkind.New(errkind.NotReplicated, "the replication of the change failed")
	holders := s.cfg.Holders()
	name := s.process + "/" + strconv.FormatUint(number, 10)
	asked, held := s.askToHold(ctx, name, r.update, holders.candidates())
	r.err = s.outcome(holders, held)
	s.logRound(r, name, asked, held)
	if r.err == nil {
		s.recordReplicated(r.update)
	}
	s.sends.Go(func() {
		defer panics.Log(s.cfg.Log, "release of changes")
		s.release(ctx, name, asked)
	})
}

// outcome returns the error of a round whose changes these hosts hold. A host that is alone in its fleet has nobody
// to tell; one that merely reaches nobody must not confirm what it can't spread.
func (s *Broadcaster) outcome(known Holders, held []string) error {
	if len(held) > 0 || known.Alone {
		return nil
	}
	return errkind.New(errkind.NotReplicated, "no other host could be reached in time")
}

// askToHold sends changes to candidates, in order, until enough hold them. It returns those that were asked and those
// that answered.
func (s *Broadcaster) askToHold(ctx context.Context, name string, update *pb.TellRequest, candidates []string) (asked, held []string) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	wanted := min(Copies, len(candidates))
	answers := make(chan string, len(candidates))
	ask := func(n int) {
		for ; n > 0 && len(asked) < len(candidates); n-- {
			address := candidates[len(asked)]
			asked = append(asked, address)
			s.sends.Go(func() {
				defer panics.Log(s.cfg.Log, "replication to a host")
				answers <- s.hold(ctx, address, name, update)
			})
		}
	}
	ask(wanted)
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for failed := 0; len(held) < wanted && len(held)+failed < len(candidates); {
		select {
		case address := <-answers:
			if address != "" {
				held = append(held, address)
				continue
			}
			failed++
			ask(1)
		case <-hedge.C:
			ask(wanted - len(held))
		case <-ctx.Done():
			return asked, held
		}
	}
	return asked, held
}

// hold asks a host to hold changes; it returns the host's address, or nothing if the host did not answer.
func (s *Broadcaster) hold(ctx context.Context, address, name string, update *pb.TellRequest) string {
	_, err := s.cfg.Client(address).Tell(ctx, &pb.TellRequest{
		Servers: update.GetServers(), Suspects: update.GetSuspects(), Evacuations: update.GetEvacuations(), FromAddress: s.cfg.Self, Hold: name,
	})
	if err != nil {
		return ""
	}
	return address
}

// recordReplicated records which states of servers need not be replicated again.
func (s *Broadcaster) recordReplicated(update *pb.TellRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for state, at := range s.replication.servers {
		if now.Sub(at) >= replicatedRetention {
			delete(s.replication.servers, state)
		}
	}
	for _, st := range update.GetServers() {
		s.replication.servers[stateOf(st)] = now
	}
}

// release tells hosts after releaseDelay that they need not broadcast the changes of a round. If this process ends
// before, they will.
func (s *Broadcaster) release(ctx context.Context, name string, addresses []string) {
	select {
	case <-time.After(releaseDelay):
	case <-ctx.Done():
		return
	}
	for _, address := range addresses {
		s.sends.Go(func() {
			defer panics.Log(s.cfg.Log, "release of changes at a host")
			// A host that is missed broadcasts the changes once more, which does no harm.
			_, _ = s.tell(ctx, address, &pb.TellRequest{Released: []string{name}})
		})
	}
}

// logRound logs and counts a round.
func (s *Broadcaster) logRound(r *round, name string, asked, held []string) {
	took := time.Since(r.began)
	s.metrics.observeRound(r, len(held), took)
	event := s.cfg.Log.Info()
	if r.err != nil {
		event = s.cfg.Log.Warn().Err(r.err)
	}
	ids := make([]string, 0, len(r.update.GetServers()))
	for _, st := range r.update.GetServers()[:min(len(r.update.GetServers()), maxLoggedServers)] {
		ids = append(ids, st.GetId())
	}
	slices.Sort(held)
	event.Str("event", "changes-replicated").Str("hold", name).Int("servers", len(r.update.GetServers())).Strs("first", ids).
		Int("suspects", len(r.update.GetSuspects())).Uint64("evacuations", r.update.GetEvacuations().GetRevision()).
		Int("asked", len(asked)).Strs("held_by", held).Dur("took", took).Send()
}

// maxLoggedServers bounds the servers that the line of a round names.
const maxLoggedServers = 8
