// Package loadview describes, for operators, the room that a service has at one moment, who has it, who
// waits for it, who was refused, and which hosts and backend servers are tight. Each host describes what it
// knows (Host), and Merge joins the descriptions of all hosts (Fleet). The package is pure.
package loadview

import "time"

// Bounds of a host's description. What is left out is counted in Host.LeftOut.
const (
	maxRooms    = 16
	maxServers  = 24
	maxAccounts = 24
	maxWaiting  = 24
	maxRefused  = 24
)

// Source adds one part of a host's description. service is empty for all services.
type Source func(service string, now time.Time, into *Host)

// Host is what one host knows. Lists are ordered by what is tight first.
type Host struct {
	Host string `json:"host"`
	Zone string `json:"zone,omitempty"`
	// Parts names the sources that described the host; a decision that is switched off has none.
	Parts    []string  `json:"parts"`
	Machine  Machine   `json:"machine"`
	Rooms    []Room    `json:"rooms,omitempty"`
	Servers  []Server  `json:"servers,omitempty"`
	Accounts []Account `json:"accounts,omitempty"`
	Waiting  []Waiting `json:"waiting,omitempty"`
	Refused  []Refused `json:"refused,omitempty"`
	LeftOut  LeftOut   `json:"left_out,omitzero"`
}

// LeftOut counts the entries left out of lists because of their bounds.
type LeftOut struct {
	Rooms    int `json:"rooms,omitempty"`
	Servers  int `json:"servers,omitempty"`
	Accounts int `json:"accounts,omitempty"`
	Waiting  int `json:"waiting,omitempty"`
	Refused  int `json:"refused,omitempty"`
}

func (l LeftOut) plus(o LeftOut) LeftOut {
	return LeftOut{
		Rooms: l.Rooms + o.Rooms, Servers: l.Servers + o.Servers, Accounts: l.Accounts + o.Accounts,
		Waiting: l.Waiting + o.Waiting, Refused: l.Refused + o.Refused,
	}
}

// Use is how much of something limited is used; Of is 0 if there is no limit or it is not known.
type Use struct {
	Used int64 `json:"used"`
	Of   int64 `json:"of,omitempty"`
}

// tightPermille is the part of a limit, in thousandths, from which on what it limits is tight.
const tightPermille = 900

func (u *Use) tight() bool { return u != nil && u.Of > 0 && u.Used*1000 >= u.Of*tightPermille }

// Machine is what a host's process uses of what it may use. A field is nil if it was not measured.
type Machine struct {
	// Processor is in thousandths of a processor, over the last second or more.
	Processor *Use `json:"processor_permille,omitempty"`
	// Memory is the resident memory in megabytes of 1,000,000 bytes.
	Memory *Use `json:"memory_mb,omitempty"`
	// Link is the traffic of requests in each direction, in kilobits a second over the last seconds: a request
	// comes in from its caller and goes out to a server, its answer the other way round. It lacks calls between
	// hosts. LinkDelayMS is how long messages wait on the way, in milliseconds.
	Link        *Use  `json:"link_kbps,omitempty"`
	LinkDelayMS int64 `json:"link_delay_ms,omitempty"`
	// LinkRefusing is set while the host refuses new connections because its link is full.
	LinkRefusing bool `json:"link_refusing,omitempty"`
	// SlowReaders is what is held for callers and servers that read slowly, in bytes.
	SlowReaders *Use `json:"slow_readers_bytes,omitempty"`
	// Weight is the part of callers and duties that the host gets, relative to a host of full weight.
	Weight float64 `json:"weight,omitempty"`
}

// linkDelayTight is the delay on the way to and from a host, in milliseconds, from which on its link is tight.
const linkDelayTight = 50

// Tight returns what of the machine is tight, in a fixed order.
func (m Machine) Tight() []string {
	var tight []string
	for _, x := range []struct {
		name  string
		tight bool
	}{
		{"link", m.Link.tight() || m.LinkRefusing || m.LinkDelayMS >= linkDelayTight}, {"memory", m.Memory.tight()},
		{"processor", m.Processor.tight()}, {"slow-readers", m.SlowReaders.tight()},
	} {
		if x.tight {
			tight = append(tight, x.name)
		}
	}
	return tight
}

// Room is the room of a shard of a service's servers, as the host that assigns them counts it.
type Room struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Shards  uint32 `json:"shards"`
	Servers int    `json:"servers"`
	// Slots is how many requests the servers run at once, Running how many of them are assigned.
	Slots   int `json:"slots"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Refused is the number of requests refused for want of room in the last 10 s.
	Refused int `json:"refused"`
}

// Server is a backend server: its requests and, of an engine, the memory that they hold.
type Server struct {
	Service string `json:"service"`
	Server  string `json:"server"`
	// Reported is the server's last report of its load; nil if it has sent none.
	Reported *Report `json:"reported,omitempty"`
	// Assigned is the number of its requests that the describing host knows of.
	Assigned int `json:"assigned"`
	// Slots is the number of requests that it runs at once as it announced; 0: not known.
	Slots int `json:"slots,omitempty"`
	// Memory is what requests hold and may hold of an engine's memory, in tokens, as the host counts it
	// that assigns the requests. Uncounted is the number of the engine's requests that this host did not assign.
	Memory    *Use `json:"memory_tokens,omitempty"`
	Uncounted int  `json:"uncounted,omitempty"`
	// FaultPart is the part of its recent answers that were server errors.
	FaultPart float64 `json:"fault_part,omitempty"`
}

// Report is what a server reported of itself.
type Report struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AgeMS   int64 `json:"age_ms"`
}

// running returns the server's requests and slots by its report or, without one, as hosts count them.
func (s Server) running() (requests, slots int) {
	if s.Reported != nil {
		return s.Reported.Running, s.Reported.Slots
	}
	return s.Assigned + s.Uncounted, s.Slots
}

// Tight returns what of the server is tight, in a fixed order.
func (s Server) Tight() []string {
	var tight []string
	if s.Memory.tight() {
		tight = append(tight, "memory")
	}
	if running, slots := s.running(); slots > 0 && running >= slots {
		tight = append(tight, "slots")
	}
	if s.Reported != nil && s.Reported.Waiting > 0 {
		tight = append(tight, "queue")
	}
	return tight
}

// Account is what a client account has and wants.
type Account struct {
	Account string `json:"account"`
	// Requests is the number of its requests that hosts serve now, waiting ones included.
	Requests int `json:"requests"`
	// Waiting is the number of its requests that wait for room, and Refused the number refused in the last
	// 10 s for any reason.
	Waiting int `json:"waiting"`
	Refused int `json:"refused"`
	// HeldBytes is what hosts hold for its callers that read slowly and for servers.
	HeldBytes int64 `json:"held_bytes,omitempty"`
	// Due and Used are the parts of a scarce plain service that are due to the account and that it used
	// recently.
	Due  float64 `json:"due,omitempty"`
	Used float64 `json:"used,omitempty"`
}

// Waiting describes the waiting requests of an account at one rank.
type Waiting struct {
	Service  string `json:"service"`
	Shard    uint32 `json:"shard"`
	Account  string `json:"account"`
	Rank     int    `json:"rank"`
	Requests int    `json:"requests"`
	// LongestMS is for how long the first of them has waited, in milliseconds.
	LongestMS int64 `json:"longest_ms"`
}

// Refused counts the requests of an account that hosts refused in the last 10 s.
type Refused struct {
	Service string `json:"service"`
	Account string `json:"account"`
	// Reason is a kind of error, see docs/ERRORS.md.
	Reason   string `json:"reason"`
	Requests int    `json:"requests"`
}

// TakeShare enters the account's shares of a plain service. Of several services the one that it uses most counts.
func (a *Account) TakeShare(due, used float64) {
	if used > a.Used || a.Due == 0 {
		a.Due, a.Used = due, used
	}
}

// AccountNamed returns the entry of an account for changing, after adding it if necessary. The pointer is
// valid until the next call.
func (h *Host) AccountNamed(name string) *Account {
	for i := range h.Accounts {
		if h.Accounts[i].Account == name {
			return &h.Accounts[i]
		}
	}
	h.Accounts = append(h.Accounts, Account{Account: name})
	return &h.Accounts[len(h.Accounts)-1]
}

// ServerNamed returns the entry of a server for changing, after adding it if necessary. The pointer is
// valid until the next call.
func (h *Host) ServerNamed(service, id string) *Server {
	for i := range h.Servers {
		if s := &h.Servers[i]; s.Service == service && s.Server == id {
			return s
		}
	}
	h.Servers = append(h.Servers, Server{Service: service, Server: id})
	return &h.Servers[len(h.Servers)-1]
}
