package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/grant/reserve"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/rendezvous"
)

const (
	// maxBoots is the number of boots remembered per host. A RegisterHost that was delayed
	// in the network until after a restart must not count as a newer boot, or it would
	// declare the running process dead.
	maxBoots = 8
	// maxRecoveries is the number of RecoverHolder results remembered for resends.
	maxRecoveries = 1024
)

// registry holds the hosts and their incarnations. Incarnations are numbered across all
// hosts, so a number alone identifies a holder, and any number up to lastIncarnation that
// is not in unrecovered has been recovered.
type registry struct {
	lastIncarnation uint64
	hosts           map[string]*host
	unrecovered     map[uint64]*incarnation
	recovered       []recovery
	// order holds the hosts in the order of their names' hashes, control those that run a replica.
	order, control []*host
}

// host is one entry host.
type host struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	Control       bool   `json:"control,omitempty"`
	Incarnation   uint64 `json:"incarnation"`
	Removed       bool   `json:"removed,omitempty"`
	Boots         []boot `json:"boots"`
	// hash of the name.
	hash uint64
}

// boot is one start of a host's process.
type boot struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Former      uint64 `json:"former"`
}

// incarnation is an incarnation of a host that may still hold tokens.
type incarnation struct {
	Number uint64 `json:"number"`
	Host   string `json:"host"`
	Dead   bool   `json:"dead,omitempty"`
	// Seq and Result are the number and the result of the last settlement batch, to answer
	// a resend of it.
	Seq    uint64      `json:"seq"`
	Result batchResult `json:"result"`
	// LastContact is when the last batch was applied, or when the host registered.
	LastContact int64 `json:"contact"`
	// Confirmed is a time that is certainly before the holder received the last answer that
	// it did receive; WallMs is the wall-clock time in its last batch.
	Confirmed int64 `json:"confirmed,omitempty"`
	WallMs    int64 `json:"wall_ms,omitempty"`
	// budgets is the number of budgets of which the incarnation has tokens.
	budgets int
}

// recovery is the result of recovering one incarnation.
type recovery struct {
	Incarnation uint64 `json:"incarnation"`
	Billed      uint64 `json:"billed"`
	Released    uint64 `json:"released"`
}

func newRegistry() registry {
	return registry{hosts: make(map[string]*host), unrecovered: make(map[uint64]*incarnation)}
}

// RegisterHost assigns an incarnation to a starting process; the host's former incarnation
// counts as dead from then on. A resend with the same boot id gets the same incarnation.
func (s *State) RegisterHost(r Record, c *pb.RegisterHost) (*pb.RegisterHostResult, error) {
	if c.Host == "" || c.BootId == "" {
		return nil, errkind.New(errkind.BadRequest, "a registration needs a host and a boot id")
	}
	former := s.formerIncarnation(c)
	result := s.registry.register(c, r.Now)
	if former != nil && former.Dead {
		result.Former = s.freeUnspentReserve(r, former, c)
	}
	return result, nil
}

// formerIncarnation returns the incarnation that a registration ends; nil if it ends none.
func (s *State) formerIncarnation(c *pb.RegisterHost) *incarnation {
	h := s.registry.hosts[c.Host]
	if h == nil {
		return nil
	}
	if _, known := h.boot(c.BootId); known {
		return nil
	}
	return s.registry.unrecovered[h.Incarnation]
}

// freeUnspentReserve frees the part of a dead incarnation's reserve that it can't have spent,
// and returns what it held. The rest counts as spent: it stays granted to that incarnation
// until a record of what it sent or used is found.
func (s *State) freeUnspentReserve(r Record, former *incarnation, c *pb.RegisterHost) *pb.FormerRun {
	sinceContact := s.maxTimeSinceContact(r, former, c)
	report := &pb.FormerRun{Incarnation: former.Number, WithoutContactMs: sinceContact.Milliseconds()}
	for _, b := range s.byNumber {
		g := b.holders[former.Number]
		if g.tokens == 0 {
			continue
		}
		freed := g.reserve - reserve.CountedAsSpent(g.reserve, g.reserveRate.highestSince(former.Confirmed), sinceContact)
		report.Grants = append(report.Grants, &pb.FormerGrant{
			Budget: b.name, Open: g.tokens - g.reserve, Reserve: g.reserve, Freed: freed,
		})
		if g.reserve == 0 {
			continue
		}
		b.unlock(former.Number, g.reserve)
		s.setGrant(b, former.Number, g.tokens-freed)
		b.reduceFunds()
		b.statement.append(line{
			Index: r.Index, TimeMs: r.Now, Kind: lineRecover, Tokens: freed, Actor: r.Actor,
			Note: fmt.Sprintf("reserve of incarnation %d, %v without contact", former.Number, sinceContact),
		})
		checkInvariant(b)
	}
	return report
}

// maxTimeSinceContact returns the maximum time for which a dead incarnation may have run on
// without contact.
func (s *State) maxTimeSinceContact(r Record, former *incarnation, c *pb.RegisterHost) time.Duration {
	ms := r.Now - former.Confirmed
	if former.WallMs > 0 && c.WallMs > 0 {
		// The wall-clock time in the last batch is when the batch was made, which is after the
		// contact from which the time is measured; the time between the two is added.
		ms = max(ms, c.WallMs+c.AgeMs-former.WallMs+former.LastContact-former.Confirmed)
	}
	return time.Duration(max(ms-c.AgeMs, 0)) * time.Millisecond
}

func (g *registry) register(c *pb.RegisterHost, now int64) *pb.RegisterHostResult {
	h := g.hosts[c.Host]
	if h == nil {
		h = &host{Name: c.Host}
		g.add(h)
	}
	b, known := h.boot(c.BootId)
	if !known {
		b = g.newIncarnation(h, c, now)
	}
	return &pb.RegisterHostResult{
		Holder:            &pb.Holder{Host: c.Host, Incarnation: b.Incarnation},
		FormerIncarnation: b.Former,
		Hosts:             g.hostsFor(c.Host),
	}
}

// hostsPerAnswer bounds the hosts, of some 100 bytes each, in the answer to a registration and in one answer
// to a reader that asks for those that it does not know. In a large fleet a host learns the others by
// heartbeats; if all hosts of such a fleet registered at once, and each got all, the leader would have no
// time for anything else.
const hostsPerAnswer = 256

// hostsFor returns hosts for the answer to a host's registration, without their dead incarnations: those that
// run a replica, and those that follow the host in the order of their names' hashes.
func (g *registry) hostsFor(name string) []*pb.HostInfo {
	if len(g.order) <= hostsPerAnswer {
		return describe(g.order, nil)
	}
	out := slices.Clone(g.control)
	at, _ := slices.BinarySearchFunc(g.order, rendezvous.Hash(name), compareHash)
	for i := range g.order {
		h := g.order[(at+i)%len(g.order)]
		if len(out) >= hostsPerAnswer {
			break
		}
		if !h.Control {
			out = append(out, h)
		}
	}
	return describe(out, nil)
}

func compareHash(h *host, hash uint64) int { return cmp.Compare(h.hash, hash) }

// add adds a host.
func (g *registry) add(h *host) {
	h.hash = rendezvous.Hash(h.Name)
	g.hosts[h.Name] = h
	at, _ := slices.BinarySearchFunc(g.order, h.hash, compareHash)
	g.order = slices.Insert(g.order, at, h)
	g.indexControl(h)
}

// indexControl records whether a host runs a replica.
func (g *registry) indexControl(h *host) {
	at := slices.Index(g.control, h)
	switch {
	case h.Control && at < 0:
		g.control = append(g.control, h)
	case !h.Control && at >= 0:
		g.control = slices.Delete(g.control, at, at+1)
	}
}

func (h *host) boot(id string) (boot, bool) {
	for _, b := range h.Boots {
		if b.ID == id {
			return b, true
		}
	}
	return boot{}, false
}

func (g *registry) newIncarnation(h *host, c *pb.RegisterHost, now int64) boot {
	g.markDead(h.Incarnation)
	g.lastIncarnation++
	b := boot{ID: c.BootId, Incarnation: g.lastIncarnation, Former: h.Incarnation}
	h.Zone, h.CallerAddress, h.PeerAddress, h.Control = c.Zone, c.CallerAddress, c.PeerAddress, c.Control
	h.Incarnation, h.Removed = g.lastIncarnation, false
	g.indexControl(h)
	h.Boots = append(h.Boots, b)
	if len(h.Boots) > maxBoots {
		h.Boots = slices.Delete(h.Boots, 0, 1)
	}
	g.unrecovered[g.lastIncarnation] = &incarnation{Number: g.lastIncarnation, Host: h.Name, LastContact: now, Confirmed: now}
	return b
}

func (g *registry) markDead(number uint64) {
	if inc := g.unrecovered[number]; inc != nil {
		inc.Dead = true
	}
}

// RemoveHost marks a host as dead: an operator reports that it is dead, or the host itself
// reports that it has left. A host that left cleanly holds no tokens; if it counted as live,
// the recovery of any other host would wait for its answer forever.
//
// The report must be true. A removed host that is only unreachable continues to spend the tokens
// that it holds, and what it spends after its recovery can no longer be billed.
func (s *State) RemoveHost(c *pb.RemoveHost) error {
	h := s.registry.hosts[c.Host]
	if h == nil {
		return errkind.New(errkind.NotFound, "no host %q", c.Host)
	}
	if c.Incarnation != 0 && c.Incarnation != h.Incarnation {
		return errkind.New(errkind.StaleFence, "incarnation %d of host %q has been replaced by %d", c.Incarnation, c.Host, h.Incarnation)
	}
	h.Removed = true
	s.registry.markDead(h.Incarnation)
	return nil
}

// Hosts returns the hosts with their dead incarnations, sorted by name.
func (s *State) Hosts() []*pb.HostInfo {
	return describe(s.registry.order, s.registry.deadByHost())
}

// HostsAfter returns the hosts that are removed, and the first hostsPerAnswer of those that have registered
// after an incarnation, sorted by name. Incarnations increase over all hosts.
func (s *State) HostsAfter(incarnation uint64) []*pb.HostInfo {
	var removed, later []*host
	for _, h := range s.registry.hosts {
		switch {
		case h.Removed:
			removed = append(removed, h)
		case h.Incarnation > incarnation:
			later = append(later, h)
		}
	}
	slices.SortFunc(later, func(a, b *host) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return describe(append(removed, later[:min(len(later), hostsPerAnswer)]...), nil)
}

// Live returns an error unless the holder is its host's current live incarnation.
func (s *State) Live(h *pb.Holder) error {
	_, err := s.registry.live(h)
	return err
}

// deadByHost returns the dead incarnations whose grants are still locked, by host.
func (g *registry) deadByHost() map[string][]uint64 {
	dead := make(map[string][]uint64)
	for number, inc := range g.unrecovered {
		if inc.Dead {
			dead[inc.Host] = append(dead[inc.Host], number)
		}
	}
	for _, numbers := range dead {
		slices.Sort(numbers)
	}
	return dead
}

// describe returns descriptions of hosts, sorted by name, with the given dead incarnations.
func describe(hosts []*host, dead map[string][]uint64) []*pb.HostInfo {
	out := make([]*pb.HostInfo, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, &pb.HostInfo{
			Host: h.Name, Zone: h.Zone, CallerAddress: h.CallerAddress, PeerAddress: h.PeerAddress, Control: h.Control,
			Incarnation: h.Incarnation, Removed: h.Removed, Unrecovered: dead[h.Name],
		})
	}
	slices.SortFunc(out, func(a, b *pb.HostInfo) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	return out
}

// holder returns the holder of an incarnation, without its host if it has been recovered.
func (g *registry) holder(number uint64) *pb.Holder {
	h := &pb.Holder{Incarnation: number}
	if inc := g.unrecovered[number]; inc != nil {
		h.Host = inc.Host
	}
	return h
}

// live returns the number of a live holder, or an error if the holder is not live.
func (g *registry) live(h *pb.Holder) (uint64, error) {
	inc, err := g.find(h)
	if err != nil {
		return 0, err
	}
	if inc == nil || inc.Dead {
		return 0, errkind.New(errkind.StaleFence, "incarnation %d of host %q has been replaced or removed", h.Incarnation, h.Host)
	}
	return inc.Number, nil
}

// find returns the incarnation of a holder, nil if it has been recovered, or an error if
// there never was such a holder.
func (g *registry) find(h *pb.Holder) (*incarnation, error) {
	if h == nil || h.Incarnation == 0 || h.Incarnation > g.lastIncarnation {
		return nil, errkind.New(errkind.NotFound, "holder %v was never registered", h)
	}
	inc := g.unrecovered[h.Incarnation]
	if inc != nil && inc.Host != h.Host {
		return nil, errkind.New(errkind.NotFound, "incarnation %d does not belong to host %q", h.Incarnation, h.Host)
	}
	return inc, nil
}

// notGathered returns the hosts of the live holders that are not in gathered.
func (g *registry) notGathered(gathered []*pb.Holder) []string {
	have := make(map[uint64]bool, len(gathered))
	for _, h := range gathered {
		have[h.GetIncarnation()] = true
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(g.hosts)) {
		number := g.hosts[name].Incarnation
		if inc := g.unrecovered[number]; inc != nil && !inc.Dead && !have[number] {
			out = append(out, name)
		}
	}
	return out
}

// oldestContact returns the earliest LastContact of the unrecovered incarnations that have
// tokens. One without tokens has nothing to bill; if it counted, a host that serves no
// requests would keep every identity from being forgotten.
func (g *registry) oldestContact(now int64) int64 {
	oldest := now
	for _, inc := range g.unrecovered {
		if inc.budgets > 0 {
			oldest = min(oldest, inc.LastContact)
		}
	}
	return oldest
}

// updateBudgetCount records that an incarnation's tokens of one budget changed.
func (g *registry) updateBudgetCount(number, before, after uint64) {
	inc := g.unrecovered[number]
	if inc == nil {
		return
	}
	if before > 0 {
		inc.budgets--
	}
	if after > 0 {
		inc.budgets++
	}
}

func (g *registry) closeIncarnation(r recovery) {
	delete(g.unrecovered, r.Incarnation)
	g.recovered = append(g.recovered, r)
	if len(g.recovered) > maxRecoveries {
		g.recovered = slices.Delete(g.recovered, 0, 1)
	}
}

// recoveryOf returns the remembered result of an incarnation's recovery.
func (g *registry) recoveryOf(number uint64) recovery {
	for _, r := range g.recovered {
		if r.Incarnation == number {
			return r
		}
	}
	return recovery{Incarnation: number}
}
