package membership

import "slices"

const (
	// ringNeighbors are watched by position in the order of hashed names, so that
	// every host is surely watched; the other neighbours are chosen at random.
	ringNeighbors = 2
	// maxProbesPerTick bounds the extra heartbeats to doubted neighbours per tick, so
	// that the loss of an availability zone doesn't multiply the cost.
	maxProbesPerTick = 2
	// rotateInterval is the number of ticks after which one random neighbour is replaced.
	rotateInterval = 240
)

// Target is a host to send a heartbeat to.
type Target struct {
	// Host is empty for a seed whose host isn't known yet.
	Host string
	// Address is the peer address.
	Address string
}

// Tick advances time by one interval and returns to whom heartbeats go now. The
// replies are passed on with the tick returned by Now.
func (t *Table) Tick() []Target {
	t.now++
	t.forget()
	t.chooseNeighbors()
	targets := new(targetSet)
	t.addNeighbors(targets)
	t.addDoubted(targets)
	t.addProbed(targets)
	t.addDead(targets)
	t.addSeed(targets)
	return targets.list
}

// Now is the present tick.
func (t *Table) Now() int64 { return t.now }

// forget drops hosts that have been dead for long. One that is still registered stays:
// its next registration heard of would bring it back as merely suspect.
func (t *Table) forget() {
	for i := len(t.order) - 1; i >= 0; i-- {
		if e := t.order[i]; !e.registered && t.ticksInDoubt(e) > t.cfg.ForgetAfter {
			t.drop(e)
		}
	}
}

// chooseNeighbors keeps the set of watched hosts at its size. In a full mesh it
// is everybody.
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

func (t *Table) ineligible(e *entry) bool { return e.leaving || t.dead(e) }

func (t *Table) fillNeighbors() {
	const triesPerPlace = 8 // enough to find a fit one unless most of the fleet is gone
	tries := triesPerPlace * t.cfg.Neighbors
	for len(t.neighbors) < t.cfg.Neighbors && tries > 0 {
		tries--
		e := t.order[t.rng.IntN(len(t.order))]
		if t.ineligible(e) || slices.Contains(t.neighbors, e) {
			continue
		}
		t.neighbors = append(t.neighbors, e)
	}
}

// successors are the fit hosts that follow this one in the order of hashed names.
func (t *Table) successors() []*entry {
	var nearest []*entry
	var distances []uint64
	for _, e := range t.order {
		if t.ineligible(e) {
			continue
		}
		distance := e.hash - t.selfHash // wraps round the ring
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

// addNeighbors adds the live neighbours whose turn it is in a full mesh, otherwise the next one.
// A host that leaves tells all at once.
func (t *Table) addNeighbors(targets *targetSet) {
	if t.fullMesh() {
		for i, e := range t.neighbors {
			if due := (t.now+int64(i))%t.cfg.MeshPeriod == 0; (due || t.leaving) && !t.dead(e) {
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

// addDoubted asks doubted neighbours again each tick.
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

// addDead asks one dead host per tick, in turn, so that the two sides of a mended
// network partition find each other again.
func (t *Table) addDead(targets *targetSet) {
	for range t.order {
		t.nextDead = (t.nextDead + 1) % len(t.order)
		if e := t.order[t.nextDead]; t.dead(e) {
			targets.add(e)
			return
		}
	}
}

// addSeed asks one seed per tick, in turn, whose host isn't known.
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
