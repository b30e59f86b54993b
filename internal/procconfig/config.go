// Package procconfig defines the settings file of one bluebellsaild process: its types,
// its defaults and the checks that it must pass before the process starts. Settings of the
// whole fleet are in the settings tree (package settings) instead.
//
// The file is JSON. The comments of the fields below are its reference. Unknown keys are
// rejected, so that a misspelled key is never taken for an absent one. Durations are strings
// with a unit, such as "500ms". Whole numbers that bound something may have decimals: RoundedDown and
// RoundedUp say to which side they are rounded. Addresses are "ip:port" with an IP number, never a name.
package procconfig

import (
	"net"
	"slices"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Role is a role of a process.
type Role string

// The roles.
const (
	// RoleEntry serves callers and routes their requests.
	RoleEntry Role = "entry"
	// RoleControl runs a replica of the control group and needs a disk.
	RoleControl Role = "control"
	// RoleGateway serves callers by the routing table: requests are forwarded to services
	// unchanged. A process has this role or RoleEntry, not both.
	RoleGateway Role = "gateway"
)

// Config is the whole settings file.
type Config struct {
	// Fleet is the fleet's name, the same on all its hosts. Ids of replicas are derived
	// from it. It does not keep processes of other fleets out; certificates do. Required.
	Fleet string `json:"fleet"`
	// Host is this host's name, unique in the fleet. Required.
	Host string `json:"host"`
	// Zone is the availability zone of this host. Required.
	Zone string `json:"zone"`
	// Regions has the region of each availability zone. Routes and client accounts may restrict
	// their requests to the backend servers of some regions; a zone without an entry is in none of
	// them. Default: none.
	Regions map[string]string `json:"regions,omitempty"`
	// Roles of this process: "control", and "entry" or "gateway". Required.
	Roles []Role `json:"roles"`
	// Listen has the addresses that this process serves.
	Listen Listen `json:"listen"`
	// DataDir is the absolute path of the folder for the replica's log and snapshots.
	// Required with the role control and rejected without it.
	DataDir string `json:"data_dir,omitempty"`
	// Control configures the control group. Required on every host, except that seeds may
	// replace its list of members.
	Control Control `json:"control"`
	// Seeds are addresses of hosts of the fleet, for hosts without a list of members: the
	// other hosts are discovered from them. Only the IP number of each is used; every
	// host of such a fleet has its peer address at the same port. They may be replaced
	// while the process runs. Default: none.
	Seeds []string `json:"seeds,omitempty"`
	// Routed has the settings of a process in a fleet that serves by a routing table.
	// Required with the role gateway.
	Routed *Routed `json:"routed,omitempty"`
	// Peers are hosts to contact first; the other hosts are discovered from them. The list
	// may include this host, so that all hosts can have the same list. Default: none.
	Peers []Peer `json:"peers,omitempty"`
	// TLS has the certificates; absent: plain TCP. See docs/OPERATIONS.md.
	TLS TLS `json:"tls,omitzero"`
	// OperatorKeyHashes are SHA-256 hashes, in lower-case hex, of operators' keys. They are
	// valid in addition to those in the settings tree, and before the tree exists.
	// Default: none.
	OperatorKeyHashes []string `json:"operator_key_hashes,omitempty"`
	// Log configures the event log.
	Log Log `json:"log,omitzero"`
	// Trace configures the export of spans; absent: no spans.
	Trace Trace `json:"trace,omitzero"`
	// Limits bounds the resources and the load of this process.
	Limits Limits `json:"limits,omitzero"`
	// Timing has the periods and timeouts between hosts.
	Timing Timing `json:"timing,omitzero"`
}

// Listen has the addresses that a process serves. They are advertised to callers and
// peers, so neither 0.0.0.0 nor port 0 is allowed.
type Listen struct {
	// Callers is the address for callers and for announcements of backend servers.
	// Required with the role entry and rejected without it.
	Callers string `json:"callers,omitempty"`
	// Operators is the address of the operators' API. Required.
	Operators string `json:"operators"`
	// Peers is the address for the fleet's other processes. Required.
	Peers string `json:"peers"`
	// PeersAdvertised is the address that is advertised to them in place of Peers, for hosts
	// behind a forwarder. Absent: Peers.
	PeersAdvertised string `json:"peers_advertised,omitempty"`
	// Source is the source IP number of this process's connections to other hosts and to
	// backend servers, for machines that have several. Absent: chosen by the system.
	Source string `json:"source,omitempty"`
}

// Control configures the control group.
type Control struct {
	// Members are the replicas that the group was founded with or, on a host that
	// joins, its current ones. Required. With the role control one member must be this
	// host, with the address of listen.peers.
	Members []Member `json:"members"`
	// Bootstrap declares that the fleet starts for the first time, so that no disk was used before: replicas whose own address
	// is among the seeds form the control group. Other replicas, and all later ones, join it.
	// Only with seeds. Default false.
	Bootstrap bool `json:"bootstrap,omitempty"`
	// Join starts this host's replica empty and without a vote, until an operator adds
	// and promotes it. Use it, with an id never used before, for every replica that is
	// not a founding one and for one whose disk was lost. Default false.
	Join bool `json:"join,omitempty"`
	// ManualRepair leaves it to operators to add a replica that joins, or whose disk was
	// lost, to the group. Default false: the replica joins the group automatically.
	ManualRepair bool `json:"manual_repair,omitempty"`
	// Losses is how many replicas may be lost at once. A lost replica is removed from a group
	// that was formed by seeds once enough others answer. Default 1.
	Losses RoundedUp `json:"losses,omitempty"`
	// Tick is the period of the consensus clock, 10ms to 5s; default 50ms.
	Tick settings.Duration `json:"tick,omitempty"`
	// ElectionTicks is the number of ticks without a message from a leader after which an
	// election starts, 5 to 200; default 10. A leader's lease lasts four fifths of one tick
	// less, and a round of heartbeats begins every two ticks. So answers may take 250ms with
	// 10 ticks of 50ms, 150ms with 8 and 100ms with 6. Replicas on hosts with a tenth of a
	// processor pause for up to 100ms: with 6, 8 and 10 ticks they had 30, 7 and 4 leaders in
	// a minute in which settings changed often, three of these after restarts. After the loss
	// of a leader, the next one is elected within 0.5 to 1s with 10 ticks, and within 0.4 to
	// 0.8s with 8.
	ElectionTicks int `json:"election_ticks,omitempty"`
	// MaxLogBytes is the size of the log at which a snapshot is taken and the log
	// truncated, at least 65536; default 64 MiB.
	MaxLogBytes int64 `json:"max_log_bytes,omitempty"`
}

// EnoughVoters returns how many voters the group needs so that a majority of them survives
// Losses.
func (c Control) EnoughVoters() int { return 2*int(max(c.Losses, 1)) + 1 }

// Member is one replica of the control group.
type Member struct {
	// ID of the replica, 1 or more. An id must not be used again after its disk is lost.
	ID uint64 `json:"id"`
	// Host is the name of the host that the replica runs on.
	Host string `json:"host"`
	// Address is the host's listen.peers.
	Address string `json:"address"`
}

// Routed has the settings of a process in a fleet that serves by a routing table. Each address
// is served only if it is set.
type Routed struct {
	// Requests is the address for callers' requests.
	Requests string `json:"requests,omitempty"`
	// RequestsAdvertised is the address that is advertised to callers in place of Requests,
	// for hosts behind a forwarder. Absent: Requests.
	RequestsAdvertised string `json:"requests_advertised,omitempty"`
	// Readiness is the address of the readiness check: whether this host accepts requests.
	Readiness string `json:"readiness,omitempty"`
	// Registry is the address for backend servers' announcements and for the operator of
	// the routing table.
	Registry string `json:"registry,omitempty"`
	// Directory is the address at which callers ask which hosts to send requests to.
	Directory string `json:"directory,omitempty"`
	// Metrics is the address that serves counters and histograms.
	Metrics string `json:"metrics,omitempty"`
	// AddressTTL is how long callers may cache an answer of the directory; default 2s.
	AddressTTL settings.Duration `json:"address_ttl,omitempty"`
	// RequestsPerConnection is the number of requests after which a caller's connection is
	// closed, so that callers spread over the hosts; default 24, -1: no bound.
	RequestsPerConnection int64 `json:"requests_per_connection,omitempty"`
	// Retry bounds attempts beyond the first, over the whole fleet.
	Retry RoutedRetry `json:"retry,omitzero"`
	// Features are names of what the fleet's environment has agreed on. The fleet's protocol switches
	// parts of Overload on by them and ignores names that it does not know. Default: none.
	Features []string `json:"features,omitempty"`
	// Overload switches on decisions for load beyond what the fleet can serve.
	Overload Overload `json:"overload,omitzero"`
}

// Overload lists decisions for load beyond what the fleet can serve. All are off by default. Each is
// in force where it is set here or called for by Routed.Features.
type Overload struct {
	// Queue makes requests for which no engine has room wait at the owner of their shard, in an order
	// that is fair between client accounts, and rejects those that can't begin in time.
	Queue bool `json:"queue,omitempty"`
	// EngineMemory keeps the requests at each engine below its memory.
	EngineMemory bool `json:"engine_memory,omitempty"`
	// EnginePriority sends each request's priority to the engines.
	EnginePriority bool `json:"engine_priority,omitempty"`
	// Slots divides the slots of plain services between client accounts.
	Slots bool `json:"slots,omitempty"`
	// Link divides a full network link of a host between client accounts.
	Link bool `json:"link,omitempty"`
	// SlowReaders has no effect: what the process holds for callers and servers that read slowly is always bounded.
	SlowReaders bool `json:"slow_readers,omitempty"`
}

// With returns o with the decisions of both.
func (o Overload) With(other Overload) Overload {
	return Overload{
		Queue: o.Queue || other.Queue, EngineMemory: o.EngineMemory || other.EngineMemory,
		EnginePriority: o.EnginePriority || other.EnginePriority, Slots: o.Slots || other.Slots,
		Link: o.Link || other.Link, SlowReaders: o.SlowReaders || other.SlowReaders,
	}
}

// RoutedRetry bounds the retries that a whole fleet makes for one service in any time window
// of length Window: at most Share of the requests of the window plus Extra.
type RoutedRetry struct {
	// Window is the length of the time window; default 10s.
	Window settings.Duration `json:"window,omitempty"`
	// Share is the share of the requests of the window, 0 to 1; default 0.1.
	Share float64 `json:"share,omitempty"`
	// Extra is the number of additional retries in the window for all hosts together;
	// default 10.
	Extra RoundedDown `json:"extra,omitempty"`
}

// Peer is a host to contact first.
type Peer struct {
	// Host is the peer's name.
	Host string `json:"host"`
	// Zone is the availability zone of the peer.
	Zone string `json:"zone"`
	// Address is the peer's listen.peers.
	Address string `json:"address"`
}

// TLS has the certificate files of each listener. Files are reloaded when they
// change, without a restart.
type TLS struct {
	// Callers is the server certificate for callers; absent: plain HTTP.
	Callers *KeyPair `json:"callers,omitempty"`
	// Operators is the server certificate for operators; absent: plain HTTP.
	Operators *KeyPair `json:"operators,omitempty"`
	// Peers is the certificate for mutual TLS between the fleet's processes; absent: plain TCP.
	Peers *MutualKeyPair `json:"peers,omitempty"`
}

// KeyPair is a certificate and its key.
type KeyPair struct {
	// Cert is the path of a PEM file with the certificate and its chain.
	Cert string `json:"cert"`
	// Key is the path of a PEM file with the private key.
	Key string `json:"key"`
}

// MutualKeyPair is a certificate, its key and the authorities that may sign peers'
// certificates.
type MutualKeyPair struct {
	// Cert is the path of a PEM file with the certificate and its chain.
	Cert string `json:"cert"`
	// Key is the path of a PEM file with the private key.
	Key string `json:"key"`
	// CA is the path of a PEM file with the authorities that may sign peers' certificates.
	CA string `json:"ca"`
}

// Log configures the event log.
type Log struct {
	// Level is the lowest level written: "debug", "info", "warn" or "error"; default "info".
	Level string `json:"level,omitempty"`
	// File is the path that events are appended to; absent: standard output with Routed, else
	// standard error.
	File string `json:"file,omitempty"`
}

// Trace configures the export of spans. At most one of the two may be set.
type Trace struct {
	// OTLPURL is the http or https URL of an OpenTelemetry collector.
	OTLPURL string `json:"otlp_url,omitempty"`
	// File is the path that spans are appended to as JSON lines.
	File string `json:"file,omitempty"`
}

// Limits bounds the resources and the load of one process.
type Limits struct {
	// MaxBodyBytes bounds a request body, 1024 to 256 MiB; default 4 MiB. The settings
	// tree may bound it further.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// Streams bounds the requests in flight on this host, at least 1; default 4096.
	Streams int `json:"streams,omitempty"`
	// MemoryMB is the memory that the process may use, in megabytes of 1,000,000 bytes; 0: no
	// bound. The garbage collector keeps the process below it where it can.
	MemoryMB float64 `json:"memory_mb,omitempty"`
	// Processors is how many processors the process uses at once; 0: all.
	Processors RoundedUp `json:"processors,omitempty"`
	// ProcessorShare is the part of one processor that the process may use, such as 0.192; 0: not known.
	// Hosts of one fleet get callers and duties by what they may use.
	ProcessorShare float64 `json:"processor_share,omitempty"`
	// LinkMbps is the bandwidth of the host's link in each direction, in megabits per second;
	// 0: no bound. Requests that would exceed it are rejected.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// DrainTimeout bounds a graceful shutdown: the time for which callers cache addresses, and
	// the wait for the streams in flight. 1s to 1h; default 2m.
	DrainTimeout settings.Duration `json:"drain_timeout,omitempty"`
}

// MemoryBytes returns the memory that the process may use, in bytes; 0: no bound.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB * bytesPerMB) }

const bytesPerMB = 1_000_000

// Timing has the periods and timeouts between hosts.
type Timing struct {
	// Heartbeat is the period of heartbeats between hosts, 50ms to 10s; default 500ms.
	Heartbeat settings.Duration `json:"heartbeat,omitempty"`
	// SuspectAfter is the silence after which a peer gets no new work; more than two
	// heartbeats; default 2s.
	SuspectAfter settings.Duration `json:"suspect_after,omitempty"`
	// DeadAfter is the silence after which a peer counts as dead; more than
	// suspect_after; default 10s.
	DeadAfter settings.Duration `json:"dead_after,omitempty"`
	// ServerLapse is the silence of a backend server's announcements after which it
	// gets no new work, 500ms to 2s; default 1.5s. It can't be longer, since a server that has
	// left must not get new work after two seconds.
	ServerLapse settings.Duration `json:"server_lapse,omitempty"`
	// SettleEvery is the longest wait before bills are sent to the ledger, 10ms to 10s;
	// default 200ms. Hosts of a fleet in which many hold tokens wait longer, up to 600ms.
	SettleEvery settings.Duration `json:"settle_every,omitempty"`
}

// Default values of optional fields.
const (
	defaultTick          = settings.Duration(50 * time.Millisecond)
	defaultElectionTicks = 10
	defaultMaxLogBytes   = 64 << 20
	defaultLogLevel      = "info"
	defaultMaxBodyBytes  = 4 << 20
	defaultStreams       = 4096
	defaultDrainTimeout  = settings.Duration(2 * time.Minute)
	defaultHeartbeat     = settings.Duration(500 * time.Millisecond)
	defaultSuspectAfter  = settings.Duration(2 * time.Second)
	defaultDeadAfter     = settings.Duration(10 * time.Second)
	defaultServerLapse   = settings.Duration(1500 * time.Millisecond)
	defaultSettleEvery   = settings.Duration(200 * time.Millisecond)
	defaultRoutedTTL     = settings.Duration(2 * time.Second)
	// defaultRequestsPerConnection makes a caller that sends one request per second choose a
	// host again about twice a minute; each new connection costs one round trip.
	defaultRequestsPerConnection = 24
)

// Default returns a Config with every optional field at its default and the
// required ones empty.
func Default() *Config {
	return &Config{
		Control: Control{Tick: defaultTick, ElectionTicks: defaultElectionTicks, MaxLogBytes: defaultMaxLogBytes},
		Log:     Log{Level: defaultLogLevel},
		Limits:  Limits{MaxBodyBytes: defaultMaxBodyBytes, Streams: defaultStreams, DrainTimeout: defaultDrainTimeout},
		Timing: Timing{
			Heartbeat:    defaultHeartbeat,
			SuspectAfter: defaultSuspectAfter,
			DeadAfter:    defaultDeadAfter,
			ServerLapse:  defaultServerLapse,
			SettleEvery:  defaultSettleEvery,
		},
	}
}

// Has reports whether the process has role r.
func (c *Config) Has(r Role) bool { return slices.Contains(c.Roles, r) }

// Self returns the control group's member on this host, if there is one.
func (c *Config) Self() (Member, bool) {
	for _, m := range c.Control.Members {
		if m.Host == c.Host {
			return m, true
		}
	}
	return Member{}, false
}

// PeerAddress returns the address at which the fleet's other processes reach this one.
func (c *Config) PeerAddress() string {
	if c.Listen.PeersAdvertised != "" {
		return c.Listen.PeersAdvertised
	}
	return c.Listen.Peers
}

// CallerAddress returns the address at which callers reach a gateway.
func (r *Routed) CallerAddress() string {
	if r.RequestsAdvertised != "" {
		return r.RequestsAdvertised
	}
	return r.Requests
}

// SeedPeers returns the peer addresses of the seeds, without this host's own.
func (c *Config) SeedPeers() []string {
	var out []string
	for _, seed := range c.Seeds {
		if peer := c.peerAddressOf(seed); peer != c.PeerAddress() {
			out = append(out, peer)
		}
	}
	return out
}

// peerAddressOf returns the peer address of the host with the IP number of address.
func (c *Config) peerAddressOf(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	_, port, _ := net.SplitHostPort(c.PeerAddress())
	return net.JoinHostPort(ip, port)
}

// Founders returns the peer addresses of the replicas that form a new control group; empty
// unless this host is one of them.
func (c *Config) Founders() []string {
	if !c.Control.Bootstrap {
		return nil
	}
	var out []string
	for _, seed := range c.Seeds {
		out = append(out, c.peerAddressOf(seed))
	}
	if !slices.Contains(out, c.PeerAddress()) {
		return nil
	}
	return out
}
