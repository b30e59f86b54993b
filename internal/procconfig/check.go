package procconfig

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/settings"
)

// Bounds on values; a process could not run with values outside of them.
const (
	minTick          = 10 * time.Millisecond
	maxTick          = 5 * time.Second
	minElectionTicks = 5
	maxElectionTicks = 200
	minMaxLogBytes   = 64 << 10
	minMaxBodyBytes  = 1 << 10
	maxMaxBodyBytes  = 256 << 20
	// heartbeatsBeforeSuspect is how many heartbeats may be lost before a peer is suspected.
	heartbeatsBeforeSuspect = 2
	minServerLapse          = 500 * time.Millisecond
	maxServerLapse          = 2 * time.Second
	maxNameBytes            = 64
	minAddressTTL           = 100 * time.Millisecond
	maxAddressTTL           = time.Hour
	hashBytes               = 32
	maxMemoryMB             = 1 << 32 // 4 PB
	maxLinkMbps             = 1 << 32 // 4 Pbit/s
	maxProcessorShare       = 1 << 16
)

// namePattern is the rule for names in the settings tree. A letter with a combining accent
// doesn't match it: two zones could look the same and differ.
var namePattern = regexp.MustCompile(`^[\pL\p{Nd}][\pL\p{Nd}._-]*$`)

var logLevels = []string{"debug", "info", "warn", "error"}

// Check returns every fault in the values of c, in the order of the fields; none
// if a process can start with them. It reads no files.
func (c *Config) Check() []Fault {
	k := &checker{}
	k.name("/fleet", c.Fleet)
	k.name("/host", c.Host)
	k.name("/zone", c.Zone)
	k.roles(c)
	k.listen(c)
	k.dataDir(c)
	k.control(c)
	k.peers(c)
	k.seeds(c)
	k.routed(c)
	k.tls(c.TLS)
	k.keyHashes(c.OperatorKeyHashes)
	k.log(c.Log)
	k.trace(c.Trace)
	k.limits(c.Limits)
	k.timing(c.Timing)
	return k.faults
}

// checker collects faults.
type checker struct{ faults []Fault }

func (k *checker) fault(path, format string, args ...any) {
	k.faults = append(k.faults, Fault{path, fmt.Sprintf(format, args...)})
}

func (k *checker) name(path, v string) {
	if v == "" {
		k.fault(path, "is required")
		return
	}
	if len(v) > maxNameBytes || !namePattern.MatchString(v) {
		k.fault(path, "%q is not a valid name; a name must have 1 to %d bytes: letters and digits, and . _ - after the first character", v, maxNameBytes)
	}
}

// address checks an "ip:port" that is advertised to other hosts.
func (k *checker) address(path, v string) {
	if v == "" {
		k.fault(path, "is required")
		return
	}
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		k.fault(path, `%q is not an address; write "ip:port" with an IP number`, v)
	case a.Addr().IsUnspecified():
		k.fault(path, "%q can't be advertised to others; write the host's own IP number", v)
	case a.Addr().IsMulticast():
		k.fault(path, "%q is a multicast address", v)
	case a.Port() == 0:
		k.fault(path, "%q has port 0, which can't be advertised to others", v)
	case a.String() != v:
		k.fault(path, "%q is not in canonical form; write %q", v, a)
	}
}

func (k *checker) duration(path string, v settings.Duration, least, most time.Duration) {
	if v.Std() < least || v.Std() > most {
		k.fault(path, "%s is out of range; use %s to %s", v.Std(), least, most)
	}
}

func (k *checker) roles(c *Config) {
	if len(c.Roles) == 0 {
		k.fault("/roles", `is required: "control", and "entry" or "gateway"`)
	}
	for i, r := range c.Roles {
		path := fmt.Sprintf("/roles/%d", i)
		if r != RoleEntry && r != RoleControl && r != RoleGateway {
			k.fault(path, `%q is not a role; use "entry", "gateway" or "control"`, r)
		}
		if slices.Contains(c.Roles[:i], r) {
			k.fault(path, "%q occurs twice", r)
		}
	}
	if c.Has(RoleEntry) && c.Has(RoleGateway) {
		k.fault("/roles", `a process can't have both roles "entry" and "gateway"`)
	}
}

func (k *checker) listen(c *Config) {
	l := c.Listen
	switch {
	case c.Has(RoleEntry):
		k.address("/listen/callers", l.Callers)
	case l.Callers != "":
		k.fault("/listen/callers", "must not be set without the role entry: the process serves no callers")
	}
	k.address("/listen/operators", l.Operators)
	k.address("/listen/peers", l.Peers)
	if l.PeersAdvertised != "" {
		k.address("/listen/peers_advertised", l.PeersAdvertised)
	}
	if _, err := netip.ParseAddr(l.Source); l.Source != "" && err != nil {
		k.fault("/listen/source", "%q is not an IP number", l.Source)
	}
	seen := map[string]string{}
	k.unique(seen, "/listen/callers", l.Callers)
	k.unique(seen, "/listen/operators", l.Operators)
	k.unique(seen, "/listen/peers", l.Peers)
}

// unique reports a value that already occurs at an earlier path.
func (k *checker) unique(seen map[string]string, path, v string) {
	if v == "" {
		return
	}
	if first, ok := seen[v]; ok {
		k.fault(path, "%s already occurs at %s", v, first)
		return
	}
	seen[v] = path
}

// dataDir rejects a relative path: a process started from another working directory would
// find an empty folder and take its replica for a new one.
func (k *checker) dataDir(c *Config) {
	switch {
	case !c.Has(RoleControl) && c.DataDir != "":
		k.fault("/data_dir", "must not be set without the role control: the process stores nothing on disk")
	case c.Has(RoleControl) && c.DataDir == "":
		k.fault("/data_dir", "is required with the role control")
	case c.DataDir != "" && !filepath.IsAbs(c.DataDir):
		k.fault("/data_dir", "%q is not an absolute path", c.DataDir)
	}
}

func (k *checker) control(c *Config) {
	if len(c.Control.Members) == 0 && len(c.Seeds) == 0 {
		k.fault("/control/members", "is required: the replicas of the control group")
	}
	ids, hosts, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i, m := range c.Control.Members {
		path := fmt.Sprintf("/control/members/%d", i)
		if m.ID == 0 {
			k.fault(path+"/id", "is required, 1 or more")
		} else {
			k.unique(ids, path+"/id", fmt.Sprint(m.ID))
		}
		k.name(path+"/host", m.Host)
		k.unique(hosts, path+"/host", m.Host)
		k.address(path+"/address", m.Address)
		k.unique(addresses, path+"/address", m.Address)
		k.hostAddress(c, path+"/address", m.Host, m.Address)
	}
	k.self(c)
	if c.Control.Losses < 0 {
		k.fault("/control/losses", "%d is not a number of replicas; use 0 or more", c.Control.Losses)
	}
	k.duration("/control/tick", c.Control.Tick, minTick, maxTick)
	if n := c.Control.ElectionTicks; n < minElectionTicks || n > maxElectionTicks {
		k.fault("/control/election_ticks", "%d is out of range; use %d to %d", n, minElectionTicks, maxElectionTicks)
	}
	if n := c.Control.MaxLogBytes; n < minMaxLogBytes {
		k.fault("/control/max_log_bytes", "%d is too small; use at least %d", n, minMaxLogBytes)
	}
}

// self checks that the role and the membership agree: a replica that is not a member would
// never receive the log, and a member without the role would never answer.
func (k *checker) self(c *Config) {
	_, isMember := c.Self()
	if len(c.Control.Members) == 0 {
		return // the group is formed by seeds
	}
	switch {
	case c.Has(RoleControl) && !isMember:
		k.fault("/control/members", "no member is on host %q, which has the role control", c.Host)
	case !c.Has(RoleControl) && isMember:
		k.fault("/control/members", "host %q is a member without the role control", c.Host)
	case !c.Has(RoleControl) && c.Control.Join:
		k.fault("/control/join", "only a host with the role control can join")
	case c.Control.Join && len(c.Control.Members) == 1:
		k.fault("/control/join", "there is no other member to join")
	}
}

// hostAddress rejects an address for this host that is not its peer address, and this host's
// peer address for another host.
func (k *checker) hostAddress(c *Config, path, host, address string) {
	if host == c.Host && address != c.PeerAddress() {
		k.fault(path, "%s is not listen.peers of this host, %s", address, c.PeerAddress())
	}
	if host != c.Host && address != "" && address == c.PeerAddress() {
		k.fault(path, "%s is this host's own address", address)
	}
}

func (k *checker) peers(c *Config) {
	hosts, addresses := map[string]string{}, map[string]string{}
	for i, p := range c.Peers {
		path := fmt.Sprintf("/peers/%d", i)
		k.name(path+"/host", p.Host)
		k.unique(hosts, path+"/host", p.Host)
		k.name(path+"/zone", p.Zone)
		k.address(path+"/address", p.Address)
		k.unique(addresses, path+"/address", p.Address)
		k.hostAddress(c, path+"/address", p.Host, p.Address)
		if p.Host == c.Host && p.Zone != c.Zone {
			k.fault(path+"/zone", "%q is not the zone of this host, %q", p.Zone, c.Zone)
		}
		k.matchesMembers(c, path, p)
	}
}

func (k *checker) matchesMembers(c *Config, path string, p Peer) {
	for i, m := range c.Control.Members {
		sameHost, sameAddress := m.Host == p.Host, m.Address == p.Address
		if sameHost != sameAddress {
			k.fault(path, "host and address do not match those of /control/members/%d", i)
		}
	}
}

// seeds checks the addresses of hosts to contact first.
func (k *checker) seeds(c *Config) {
	seen := map[string]string{}
	for i, seed := range c.Seeds {
		path := fmt.Sprintf("/seeds/%d", i)
		k.address(path, seed)
		k.unique(seen, path, seed)
	}
	if len(c.Seeds) > 0 && len(c.Control.Members) > 0 {
		k.fault("/seeds", "only one of /seeds and /control/members may be set")
	}
	if c.Control.Bootstrap && len(c.Seeds) == 0 {
		k.fault("/control/bootstrap", "is allowed only with /seeds")
	}
}

// routed checks the settings for serving by a routing table.
func (k *checker) routed(c *Config) {
	r := c.Routed
	if r == nil {
		if c.Has(RoleGateway) {
			k.fault("/routed", "is required with the role gateway")
		}
		return
	}
	if c.Has(RoleEntry) {
		k.fault("/routed", "must not be set with the role entry")
	}
	if c.Has(RoleGateway) || r.Requests != "" {
		k.address("/routed/requests", r.Requests)
	}
	if r.RequestsAdvertised != "" {
		k.address("/routed/requests_advertised", r.RequestsAdvertised)
	}
	seen := map[string]string{}
	for _, a := range []struct{ path, address string }{
		{"/listen/operators", c.Listen.Operators}, {"/listen/peers", c.Listen.Peers},
		{"/routed/requests", r.Requests}, {"/routed/readiness", r.Readiness}, {"/routed/registry", r.Registry},
		{"/routed/directory", r.Directory}, {"/routed/metrics", r.Metrics},
	} {
		if a.address != "" {
			k.address(a.path, a.address)
			k.unique(seen, a.path, a.address)
		}
	}
	k.duration("/routed/address_ttl", r.AddressTTL, minAddressTTL, maxAddressTTL)
	if n := r.RequestsPerConnection; n < -1 || n == 0 {
		k.fault("/routed/requests_per_connection", "%d is out of range; use 1 or more, or -1 for no bound", n)
	}
	if r.Retry.Share < 0 || r.Retry.Share > 1 {
		k.fault("/routed/retry/share", "%g is out of range; use 0 to 1", r.Retry.Share)
	}
	if r.Retry.Extra < 0 || r.Retry.Window < 0 {
		k.fault("/routed/retry", "neither window nor extra may be below zero")
	}
}

func (k *checker) tls(t TLS) {
	if t.Callers != nil {
		k.file("/tls/callers/cert", t.Callers.Cert)
		k.file("/tls/callers/key", t.Callers.Key)
	}
	if t.Operators != nil {
		k.file("/tls/operators/cert", t.Operators.Cert)
		k.file("/tls/operators/key", t.Operators.Key)
	}
	if t.Peers != nil {
		k.file("/tls/peers/cert", t.Peers.Cert)
		k.file("/tls/peers/key", t.Peers.Key)
		k.file("/tls/peers/ca", t.Peers.CA)
	}
}

func (k *checker) file(path, v string) {
	if v == "" {
		k.fault(path, "is required: the path of a PEM file")
	}
}

func (k *checker) keyHashes(hashes []string) {
	seen := map[string]string{}
	for i, h := range hashes {
		path := fmt.Sprintf("/operator_key_hashes/%d", i)
		b, err := hex.DecodeString(h)
		if err != nil || len(b) != hashBytes || strings.ToLower(h) != h {
			// The message does not repeat the value, which may be a secret key.
			k.fault(path, "is not a SHA-256 hash in lower-case hex (%d digits)", 2*hashBytes)
			continue
		}
		k.unique(seen, path, h)
	}
}

func (k *checker) log(l Log) {
	if !slices.Contains(logLevels, l.Level) {
		k.fault("/log/level", "%q is not a log level; use %s", l.Level, strings.Join(logLevels, ", "))
	}
}

func (k *checker) trace(t Trace) {
	if t.OTLPURL == "" {
		return
	}
	if t.File != "" {
		k.fault("/trace", "only one of otlp_url and file may be set")
	}
	u, err := url.Parse(t.OTLPURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		k.fault("/trace/otlp_url", "%q is not an http or https URL", t.OTLPURL)
	}
}

func (k *checker) limits(l Limits) {
	if l.MaxBodyBytes < minMaxBodyBytes || l.MaxBodyBytes > maxMaxBodyBytes {
		k.fault("/limits/max_body_bytes", "%d is out of range; use %d to %d", l.MaxBodyBytes, minMaxBodyBytes, maxMaxBodyBytes)
	}
	if l.Streams < 1 {
		k.fault("/limits/streams", "%d is too small; use at least 1", l.Streams)
	}
	if l.LinkMbps < 0 || l.LinkMbps > maxLinkMbps {
		k.fault("/limits/link_mbps", "%g is out of range; use 0 for no bound, or up to %d", l.LinkMbps, maxLinkMbps)
	}
	if l.MemoryMB < 0 || l.MemoryMB > maxMemoryMB {
		k.fault("/limits/memory_mb", "%g is out of range; use 0 for no bound, or up to %d", l.MemoryMB, maxMemoryMB)
	}
	if l.ProcessorShare < 0 || l.ProcessorShare > maxProcessorShare {
		k.fault("/limits/processor_share", "%g is out of range; use 0 if it is not known, or up to %d", l.ProcessorShare, maxProcessorShare)
	}
	if l.Processors < 0 {
		k.fault("/limits/processors", "%d is below zero; use 0 for all", l.Processors)
	}
	k.duration("/limits/drain_timeout", l.DrainTimeout, time.Second, time.Hour)
}

func (k *checker) timing(t Timing) {
	k.duration("/timing/heartbeat", t.Heartbeat, 50*time.Millisecond, 10*time.Second)
	if t.SuspectAfter <= heartbeatsBeforeSuspect*t.Heartbeat {
		k.fault("/timing/suspect_after", "%s is not more than %d heartbeats of %s",
			t.SuspectAfter.Std(), heartbeatsBeforeSuspect, t.Heartbeat.Std())
	}
	if t.DeadAfter <= t.SuspectAfter {
		k.fault("/timing/dead_after", "%s is not more than suspect_after, %s", t.DeadAfter.Std(), t.SuspectAfter.Std())
	}
	k.duration("/timing/server_lapse", t.ServerLapse, minServerLapse, maxServerLapse)
	k.duration("/timing/settle_every", t.SettleEvery, 10*time.Millisecond, 10*time.Second)
}
