package loadview

import (
	"cmp"
	"slices"
	"strings"
)

// Status is whether a host described itself. The list is closed.
type Status string

// Statuses.
const (
	Answered Status = "answered"
	// Silent means that the host did not answer in time or could not be reached.
	Silent Status = "no answer"
	// NotAsked means that the time was over before the host was asked.
	NotAsked Status = "not asked in time"
	// Dead means that the host counts as dead and was not asked. It may be the asking host that is cut off.
	Dead Status = "counts as dead, not asked"
	// NoView means that the host runs an earlier version, or serves no routed requests.
	NoView Status = "no view (earlier version)"
	// Unreadable means that the host's answer could not be decoded.
	Unreadable Status = "unreadable answer"
)

// Reply is what asking a host came to.
type Reply struct {
	// Host is the name of the host asked.
	Host   string
	Status Status
	// AgeMS is the time since the host was asked, in milliseconds: its description is not older.
	AgeMS int64
	// View is nil unless Status is Answered.
	View *Host
}

// Bounds of a fleet's description.
const (
	maxFleetHosts    = 512
	maxFleetRooms    = 64
	maxFleetServers  = 128
	maxFleetAccounts = 50
	maxFleetWaiting  = 64
	maxFleetRefused  = 64
)

// Fleet joins the descriptions of all hosts.
type Fleet struct {
	Service string `json:"service,omitempty"`
	// Whole is set if every host described itself. Otherwise all sums are lower bounds, and Missing names the
	// hosts that they lack.
	Whole    bool      `json:"whole"`
	Missing  []Missing `json:"missing"`
	Totals   Totals    `json:"totals"`
	Hosts    []HostRow `json:"hosts"`
	Rooms    []RoomRow `json:"rooms"`
	Servers  []Server  `json:"servers"`
	Accounts []Account `json:"accounts"`
	// Rest sums up the accounts that Accounts leaves out.
	Rest    Rest         `json:"rest"`
	Waiting []WaitingRow `json:"waiting"`
	Refused []Refused    `json:"refused"`
	// LeftOut counts what hosts and this list left out.
	LeftOut LeftOut `json:"left_out,omitzero"`
}

// Missing is a host without a description.
type Missing struct {
	Host   string `json:"host"`
	Status Status `json:"status"`
}

// Totals sums up the servers' room as their reports and owners tell it.
type Totals struct {
	Servers int `json:"servers"`
	// Slots and Running are those of the shards' owners, or of servers' reports where no owner counts.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Refused int `json:"refused"`
	// MemoryTokens is what requests hold of the engines' memory, as far as owners count it.
	MemoryTokens Use `json:"memory_tokens"`
}

// Rest is a sum over accounts.
type Rest struct {
	Accounts int `json:"accounts"`
	Requests int `json:"requests"`
	Waiting  int `json:"waiting"`
	Refused  int `json:"refused"`
}

// HostRow is a host in a fleet's description.
type HostRow struct {
	Host    string   `json:"host"`
	Zone    string   `json:"zone,omitempty"`
	AgeMS   int64    `json:"age_ms"`
	Parts   []string `json:"parts"`
	Tight   []string `json:"tight"`
	Waiting int      `json:"waiting"`
	Refused int      `json:"refused"`
	Machine Machine  `json:"machine"`
}

// RoomRow is a Room with the host that counts it.
type RoomRow struct {
	Room
	By string `json:"by"`
	// Disputed is set if another host assigns requests to the same servers: the hosts' views of the fleet
	// differ, and neither row has all requests.
	Disputed bool `json:"disputed,omitempty"`
}

// WaitingRow is a Waiting with the host at which the requests wait.
type WaitingRow struct {
	Waiting
	At string `json:"at"`
}

// Merge joins the replies of all hosts.
func Merge(service string, replies []Reply) *Fleet {
	f := &Fleet{
		Service: service, Whole: true, Missing: []Missing{}, Hosts: []HostRow{}, Rooms: []RoomRow{}, Servers: []Server{},
		Accounts: []Account{}, Waiting: []WaitingRow{}, Refused: []Refused{},
	}
	m := merger{f: f, servers: make(map[serverKey]int), accounts: make(map[string]int), refused: make(map[refusedKey]int)}
	replies = slices.Clone(replies)
	slices.SortFunc(replies, func(a, b Reply) int { return strings.Compare(a.Host, b.Host) })
	for _, r := range replies {
		if r.Status == Answered && r.View == nil {
			r.Status = Unreadable
		}
		if r.Status != Answered {
			f.Whole = false
			f.Missing = append(f.Missing, Missing{Host: r.Host, Status: r.Status})
			continue
		}
		m.add(r)
	}
	f.markDisputed()
	f.sumUp()
	f.bound()
	return f
}

type serverKey struct{ service, server string }
type refusedKey struct{ service, account, reason string }

type merger struct {
	f        *Fleet
	servers  map[serverKey]int
	accounts map[string]int
	refused  map[refusedKey]int
}

func (m *merger) add(r Reply) {
	f, h := m.f, r.View
	row := HostRow{Host: r.Host, Zone: h.Zone, AgeMS: r.AgeMS, Parts: h.Parts, Tight: append([]string{}, h.Machine.Tight()...), Machine: h.Machine}
	for _, w := range h.Waiting {
		row.Waiting += w.Requests
		f.Waiting = append(f.Waiting, WaitingRow{Waiting: w, At: r.Host})
	}
	for _, x := range h.Refused {
		row.Refused += x.Requests
		m.addRefused(x)
	}
	if row.Waiting > 0 {
		row.Tight = append(row.Tight, "queue")
	}
	f.Hosts = append(f.Hosts, row)
	for _, room := range h.Rooms {
		f.Rooms = append(f.Rooms, RoomRow{Room: room, By: r.Host})
	}
	for _, s := range h.Servers {
		m.addServer(s, r.AgeMS)
	}
	for _, a := range h.Accounts {
		m.addAccount(a)
	}
	f.LeftOut = f.LeftOut.plus(h.LeftOut)
}

func (m *merger) addRefused(x Refused) {
	k := refusedKey{x.Service, x.Account, x.Reason}
	i, known := m.refused[k]
	if !known {
		m.refused[k] = len(m.f.Refused)
		m.f.Refused = append(m.f.Refused, x)
		return
	}
	m.f.Refused[i].Requests += x.Requests
}

// addServer joins what hosts know of a server: the newest report, and the memory as the host with most of the
// server's requests counts it, which is the one that assigns them.
func (m *merger) addServer(s Server, ageMS int64) {
	if s.Reported != nil {
		aged := *s.Reported
		aged.AgeMS += ageMS
		s.Reported = &aged
	}
	k := serverKey{s.Service, s.Server}
	i, known := m.servers[k]
	if !known {
		m.servers[k] = len(m.f.Servers)
		m.f.Servers = append(m.f.Servers, s)
		return
	}
	was := &m.f.Servers[i]
	if was.Reported == nil || s.Reported != nil && s.Reported.AgeMS < was.Reported.AgeMS {
		was.Reported, was.FaultPart = s.Reported, s.FaultPart
	}
	if was.Memory == nil || s.Memory != nil && s.Memory.Used > was.Memory.Used {
		was.Memory, was.Uncounted = s.Memory, s.Uncounted
	}
	was.Assigned, was.Slots = max(was.Assigned, s.Assigned), max(was.Slots, s.Slots)
}

func (m *merger) addAccount(a Account) {
	i, known := m.accounts[a.Account]
	if !known {
		m.accounts[a.Account] = len(m.f.Accounts)
		m.f.Accounts = append(m.f.Accounts, a)
		return
	}
	was := &m.f.Accounts[i]
	was.Requests += a.Requests
	was.Waiting += a.Waiting
	was.Refused += a.Refused
	was.HeldBytes += a.HeldBytes
	if a.Due > 0 {
		was.TakeShare(a.Due, a.Used)
	}
}

// division is one way in which the servers of a service are divided into shards.
type division struct {
	service string
	shards  uint32
}

// markDisputed marks the rooms whose servers another host assigns too: the same shard, or a shard of another
// division of the same service.
func (f *Fleet) markDisputed() {
	for i := range f.Rooms {
		r := &f.Rooms[i]
		r.Disputed = r.busy() && slices.ContainsFunc(f.Rooms, func(o RoomRow) bool {
			return o.By != r.By && o.busy() && o.Service == r.Service && (o.Shards != r.Shards || o.Shard == r.Shard)
		})
	}
}

func (r Room) busy() bool { return r.Running > 0 || r.Waiting > 0 }

// sumUp fills in the totals.
func (f *Fleet) sumUp() {
	t := &f.Totals
	rooms := f.roomOfServices()
	for _, r := range rooms {
		t.Servers += r.Servers
		t.Slots += r.Slots
		t.Running += r.Running
	}
	for _, s := range f.Servers {
		if s.Memory != nil {
			t.MemoryTokens.Used += s.Memory.Used
			t.MemoryTokens.Of += s.Memory.Of
		}
		if _, counted := rooms[s.Service]; counted {
			continue
		}
		t.Servers++
		if s.Reported != nil {
			t.Slots += s.Reported.Slots
			t.Running += s.Reported.Running
		}
	}
	for _, w := range f.Waiting {
		t.Waiting += w.Requests
	}
	for _, x := range f.Refused {
		t.Refused += x.Requests
	}
}

// roomOfServices sums up the rooms of each service: the servers of a shard count once however many hosts
// count them, and of several divisions only the one with most servers counts. All running requests count.
func (f *Fleet) roomOfServices() map[string]Room {
	type shard struct {
		division
		index uint32
	}
	shards := make(map[shard]Room)
	running := make(map[string]int)
	for _, r := range f.Rooms {
		k := shard{division{r.Service, r.Shards}, r.Shard}
		s := shards[k]
		shards[k] = Room{Servers: max(s.Servers, r.Servers), Slots: max(s.Slots, r.Slots)}
		running[r.Service] += r.Running
	}
	divisions := make(map[division]Room)
	for k, r := range shards {
		d := divisions[k.division]
		divisions[k.division] = Room{Servers: d.Servers + r.Servers, Slots: d.Slots + r.Slots}
	}
	services := make(map[string]Room)
	for k, d := range divisions {
		s := services[k.service]
		services[k.service] = Room{Servers: max(s.Servers, d.Servers), Slots: max(s.Slots, d.Slots), Running: running[k.service]}
	}
	return services
}

// bound orders the lists and shortens them.
func (f *Fleet) bound() {
	slices.SortFunc(f.Hosts, func(a, b HostRow) int {
		return cmp.Or(cmp.Compare(len(b.Tight), len(a.Tight)), cmp.Compare(b.Waiting+b.Refused, a.Waiting+a.Refused), strings.Compare(a.Host, b.Host))
	})
	slices.SortFunc(f.Rooms, func(a, b RoomRow) int { return cmp.Or(byRoom(a.Room, b.Room), strings.Compare(a.By, b.By)) })
	slices.SortFunc(f.Servers, byServer)
	slices.SortFunc(f.Accounts, byAccount)
	slices.SortFunc(f.Waiting, func(a, b WaitingRow) int { return cmp.Or(byWaiting(a.Waiting, b.Waiting), strings.Compare(a.At, b.At)) })
	slices.SortFunc(f.Refused, byRefused)
	for _, a := range f.Accounts[min(len(f.Accounts), maxFleetAccounts):] {
		f.Rest.Accounts++
		f.Rest.Requests += a.Requests
		f.Rest.Waiting += a.Waiting
		f.Rest.Refused += a.Refused
	}
	var out LeftOut
	f.Hosts, _ = cut(f.Hosts, maxFleetHosts)
	f.Rooms, out.Rooms = cut(f.Rooms, maxFleetRooms)
	f.Servers, out.Servers = cut(f.Servers, maxFleetServers)
	f.Accounts, out.Accounts = cut(f.Accounts, maxFleetAccounts)
	f.Waiting, out.Waiting = cut(f.Waiting, maxFleetWaiting)
	f.Refused, out.Refused = cut(f.Refused, maxFleetRefused)
	f.LeftOut = f.LeftOut.plus(out)
}
