package membership

import "slices"

const (
	// ringNeighbors is the number of neighbors chosen by their position in the order of hashed
	// names, so that every host is watched by some host; the others are chosen at random.
	ringNeighbors = 2
	// maxProbesPerTick bounds the extra heartbeats per tick to doubted neighbors, and those to
	// hosts marked for a probe, so that the failure of an availability zone doesn't multiply
	// the cost.
	maxProbesPerTick = 2
	// rotateInterval is the number of ticks after which one random neighbor is replaced.
	rotateInterval = 240
	// contactPeriod is the mean number of ticks between two heartbeats of a host that is not registered
	// yet, and maxContactPeriod the largest one while they are not answered.
	contactPeriod    = 4
	maxContactPeriod = 32
)

// Target is a host to send a heartbeat to.
type Target struct {
	// Host is the name of the host; empty for a seed whose host isn't known yet.
	Host string
	// Address is the peer address.
	Address string
}

// Tick advances time by one interval and returns the hosts to send heartbeats to now. The
// caller passes the tick returned by Now to ReceiveReply and MarkUnanswered.
func (t *Table) Tick() []Target {
	t.now++
	t.forget()
	t.countHealthChanges()
	targets := new(targetSet)
	if t.cfg.Self.Incarnation == 0 {
		t.addContact(targets)
		return targets.list
	}
	t.chooseNeighbors()
	t.addNeighbors(targets)
	t.addDoubted(targets)
	t.addProbed(targets)
	t.addUnconfirmed(targets)
	t.addDead(targets)
	t.addSeed(targets)
	return targets.list
}

// Round returns the hosts to send heartbeats to between two ticks, because this host's state has changed. Unlike
// Tick it doesn't advance time: a host that doesn't answer is not suspected sooner for it.
func (t *Table) Round() []Target {
	targets := new(targetSet)
	if t.cfg.Self.Incarnation > 0 {
		t.addNeighbors(targets)
	}
	return targets.list
}

// addContact adds one host, from time to time, while this host is not registered.
//
// Until then it hardly knows anybody but the seeds, and so does every other host of a fleet that starts.
// If each sent them heartbeats as to neighbors, the seeds of a large fleet would have no time for the
// registrations that all wait for.
func (t *Table) addContact(targets *targetSet) {
	if t.now < t.nextContact {
		return
	}
	t.nextContact = t.now + t.contactPause/2 + 1 + t.rng.Int64N(t.contactPause)
	t.addSeed(targets)
	if len(targets.list) > 0 || len(t.order) == 0 {
		return
	}
	t.nextNeighbor = (t.nextNeighbor + 1) % len(t.order)
	targets.add(t.order[t.nextNeighbor])
}

// contactAnswered adapts the pause between contacts to whether they are answered.
func (t *Table) contactAnswered(answered bool) {
	if answered {
		t.contactPause = contactPeriod
		return
	}
	t.contactPause = min(2*t.contactPause, maxContactPeriod)
}

// Now returns the current tick.
func (t *Table) Now() int64 { return t.now }

// forget drops hosts that have been dead for a long time. A registered host is kept, because
// the next MergeRegistered would add it again as merely suspected.
func (t *Table) forget() {
	for i := len(t.order) - 1; i >= 0; i-- {
		if e := t.order[i]; !e.registered && t.ticksInDoubt(e) > t.cfg.ForgetAfter {
			t.drop(e)
		}
	}
}

// chooseNeighbors keeps the set of neighbors at its size. In a full mesh it contains all hosts.
func (t *Table) chooseNeighbors() {
	if t.fullMesh() {
		t.neighbors = append(t.neighbors[:0], t.order...)
		return
	}
	t.neighbors = slices.DeleteFunc(t.neighbors, t.ineligible)
	if t.now%rotateInterval == 0 && len(t.neighbors) > 0 {
		at := t.rng.IntN(len(t.neighbors))
		t.neighbors = slices.Delete(t.neighbors, at, at+1)
	}
	for _, e := range t.successors() {
		if !slices.Contains(t.neighbors, e) {
			t.neighbors = append(t.neighbors, e)
		}
	}
	t.fillNeighbors()
	if extra := len(t.neighbors) - t.cfg.Neighbors; extra > 0 {
		t.neighbors = slices.Delete(t.neighbors, 0, extra)
	}
}

// NeighborAddresses returns the peer addresses of the hosts that this host watches.
func (t *Table) NeighborAddresses() []string {
	var out []string
	for _, e := range t.neighbors {
		if e.peerAddress != "" && !t.dead(e) {
			out = append(out, e.peerAddress)
		}
	}
	return out
}

func (t *Table) ineligible(e *entry) bool { return e.leaving || t.dead(e) }

func (t *Table) fillNeighbors() {
	const triesPerSlot = 8 // enough to find an eligible host unless most of the fleet is dead
	tries := triesPerSlot * t.cfg.Neighbors
	for len(t.neighbors) < t.cfg.Neighbors && tries > 0 {
		tries--
		e := t.order[t.rng.IntN(len(t.order))]
		if t.ineligible(e) || slices.Contains(t.neighbors, e) {
			continue
		}
		t.neighbors = append(t.neighbors, e)
	}
}

// successors returns the eligible hosts that follow this one in the order of hashed names.
func (t *Table) successors() []*entry {
	var nearest []*entry
	var distances []uint64
	for _, e := range t.order {
		if t.ineligible(e) {
			continue
		}
		distance := e.hash - t.selfHash // wraps around the ring
		at, _ := slices.BinarySearch(distances, distance)
		if at >= ringNeighbors {
			continue
		}
		nearest = slices.Insert(nearest, at, e)
		distances = slices.Insert(distances, at, distance)
		nearest = nearest[:min(len(nearest), ringNeighbors)]
		distances = distances[:min(len(distances), ringNeighbors)]
	}
	return nearest
}

// addNeighbors adds the next neighbor; in a full mesh, the live neighbors whose turn it is. In a
// full mesh, a leaving host notifies all at once.
func (t *Table) addNeighbors(targets *targetSet) {
	t.rounds++
	if t.fullMesh() {
		for i, e := range t.neighbors {
			if due := (t.rounds+int64(i))%t.cfg.MeshPeriod == 0; (due || t.leaving) && !t.dead(e) {
				targets.add(e)
			}
		}
		return
	}
	if len(t.neighbors) == 0 {
		return
	}
	t.nextNeighbor = (t.nextNeighbor + 1) % len(t.neighbors)
	targets.add(t.neighbors[t.nextNeighbor])
}

// addDoubted adds doubted neighbors, which get a heartbeat in each tick.
func (t *Table) addDoubted(targets *targetSet) {
	added := 0
	for _, e := range t.neighbors {
		if !e.doubted || t.dead(e) || added == maxProbesPerTick {
			continue
		}
		targets.add(e)
		added++
	}
}

// Probe requests a heartbeat to a host soon.
func (t *Table) Probe(host string) {
	if e := t.hosts[host]; e != nil {
		e.probe = true
	}
}

func (t *Table) addProbed(targets *targetSet) {
	added := 0
	for _, e := range t.order {
		if !e.probe || added == maxProbesPerTick {
			continue
		}
		e.probe = false
		targets.add(e)
		added++
	}
}

// addUnconfirmed adds some hosts that are only registered so far, and one later on.
func (t *Table) addUnconfirmed(targets *targetSet) {
	if t.fullMesh() {
		return
	}
	added, wanted := 0, 1
	if t.starting() {
		wanted = startTargets
	}
	first := t.rng.IntN(len(t.order))
	for i := range t.order {
		e := t.order[(first+i)%len(t.order)]
		if added == wanted {
			return
		}
		if e.unconfirmed && !t.ineligible(e) {
			targets.add(e)
			added++
		}
	}
}

// addDead adds one dead host per tick, in turn, so that the two sides of a network partition
// reconnect after it ends.
func (t *Table) addDead(targets *targetSet) {
	for range t.order {
		t.nextDead = (t.nextDead + 1) % len(t.order)
		if e := t.order[t.nextDead]; t.dead(e) {
			targets.add(e)
			return
		}
	}
}

// addSeed adds one seed per tick, in turn, whose host isn't known.
func (t *Table) addSeed(targets *targetSet) {
	for range t.cfg.Seeds {
		t.nextSeed = (t.nextSeed + 1) % len(t.cfg.Seeds)
		address := t.cfg.Seeds[t.nextSeed]
		if address == t.cfg.Self.PeerAddress || t.knowsAddress(address) {
			continue
		}
		targets.addSeed(address)
		return
	}
}

func (t *Table) knowsAddress(address string) bool {
	return slices.ContainsFunc(t.order, func(e *entry) bool { return e.peerAddress == address })
}

type targetSet struct{ list []Target }

func (s *targetSet) add(e *entry) {
	if e.peerAddress == "" || slices.ContainsFunc(s.list, func(x Target) bool { return x.Host == e.host }) {
		return
	}
	s.list = append(s.list, Target{Host: e.host, Address: e.peerAddress})
}

func (s *targetSet) addSeed(address string) {
	s.list = append(s.list, Target{Address: address})
}
