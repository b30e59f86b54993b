// Package devfleet generates the settings files of a small fleet on loopback, for the demo,
// for end-to-end tests and for experiments on one machine.
package devfleet

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/adminapi"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/settings"
	"github.com/bluebellsail/bluebellsail/internal/tlsutil"
)

const (
	// fleetPrefix is the start of each fleet's name. The rest is random, so that two fleets on
	// one machine don't accept each other's hosts.
	fleetPrefix  = "dev-"
	fleetDigits  = 8
	maxHosts     = 200
	firstPort    = 10000
	endPort      = 32000
	maxPortTries = 5000
	loopback     = "127.0.0.1"
	portsPerHost = 3

	fileMode = 0o600
	dirMode  = 0o700
)

// Options configures a fleet.
type Options struct {
	// Dir is the directory for all files. It is created if it does not exist, and must be
	// empty otherwise.
	Dir string
	// Hosts is the number of hosts. The first Controls of them have a control replica.
	Hosts    int
	Controls int
	// Zones are the availability zones, to which the hosts are assigned in turn.
	Zones []string
	// TLS gives every listener a certificate, issued by a certificate authority that is
	// created for the fleet.
	TLS bool
}

// Layout lists the files and addresses of a fleet.
type Layout struct {
	Dir string `json:"dir"`
	// KeyFile contains the operator's key.
	KeyFile string `json:"key_file"`
	// EnvFile is a shell script that sets the environment variables of bluebellsail.
	EnvFile string `json:"env_file"`
	// CA is the file with the certificate of the authority; empty without TLS.
	CA    string `json:"ca,omitempty"`
	Hosts []Host `json:"hosts"`
	// Fleet is the name of the fleet.
	Fleet string `json:"fleet"`
}

// Host is one host of the fleet.
type Host struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	Control bool   `json:"control"`
	// Settings is the path of the host's settings file.
	Settings  string `json:"settings"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`

	tls procconfig.TLS
}

// Init writes the files of a fleet. The ports are free when Init checks them, but may be in
// use when a host starts later.
func Init(o Options) (*Layout, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	dir, err := createEmptyDir(o.Dir)
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(o.Hosts * portsPerHost)
	if err != nil {
		return nil, err
	}
	fleet := fleetPrefix + strings.ToLower(rand.Text()[:fleetDigits])
	layout := &Layout{Fleet: fleet, Dir: dir, KeyFile: filepath.Join(dir, "operator.key"), EnvFile: filepath.Join(dir, "env.sh")}
	for i := range o.Hosts {
		name := fmt.Sprintf("host-%d", i+1)
		a := addresses[i*portsPerHost:]
		layout.Hosts = append(layout.Hosts, Host{
			Host: name, Zone: o.Zones[i%len(o.Zones)], Control: i < o.Controls,
			Settings: filepath.Join(dir, name+".json"), Callers: a[0], Operators: a[1], Peers: a[2]})
	}
	if o.TLS {
		if err := layout.createCertificates(); err != nil {
			return nil, err
		}
	}
	return layout, layout.write()
}

// createCertificates creates a certificate authority and a certificate for each host.
func (l *Layout) createCertificates() error {
	options := tlsutil.InitOptions{Dir: filepath.Join(l.Dir, "tls"), Validity: tlsutil.DefaultHostValidity}
	for _, h := range l.Hosts {
		options.Hosts = append(options.Hosts, tlsutil.Host{Name: h.Host, IP: netip.MustParseAddr(loopback)})
	}
	files, err := tlsutil.Init(options)
	if err != nil {
		return err
	}
	l.CA = files.CA
	for i, f := range files.Hosts {
		l.Hosts[i].tls = procconfig.TLS{
			Callers:   &procconfig.KeyPair{Cert: f.Cert, Key: f.Key},
			Operators: &procconfig.KeyPair{Cert: f.Cert, Key: f.Key},
			Peers:     &procconfig.MutualKeyPair{Cert: f.Cert, Key: f.Key, CA: files.CA},
		}
	}
	return nil
}

func (o Options) check() error {
	if o.Hosts < 1 || o.Hosts > maxHosts {
		return errors.Errorf("%d hosts; must be 1 to %d", o.Hosts, maxHosts)
	}
	if o.Controls < 1 || o.Controls > o.Hosts {
		return errors.Errorf("%d control replicas; must be 1 to the number of hosts, %d", o.Controls, o.Hosts)
	}
	if len(o.Zones) == 0 {
		return errors.New("at least one zone is required")
	}
	return nil
}

// createEmptyDir creates dir and returns its absolute path. It rejects a directory that contains
// files, since they may belong to a fleet in use.
func createEmptyDir(dir string) (string, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return "", errors.Wrap(err, "folder")
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return "", errors.Wrap(err, "create the directory")
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return "", errors.Wrap(err, "read the directory")
	}
	if len(entries) > 0 {
		return "", errors.Errorf("the directory %s is not empty", dir)
	}
	return dir, nil
}

// freeAddresses returns n free loopback addresses. It listens on all of them at the same time,
// so that no port is returned twice. The ports are below the range that systems use for
// outgoing connections, one of which could otherwise take a host's port during its restart.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for tries := 0; len(addresses) < n; tries++ {
		port := firstPort + mathrand.IntN(endPort-firstPort)
		l, err := net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(port)))
		switch {
		case err == nil:
			defer l.Close()
			addresses = append(addresses, l.Addr().String())
		case tries > maxPortTries:
			return nil, errors.Wrap(err, "find a free port")
		}
	}
	return addresses, nil
}

func (l *Layout) write() error {
	key := adminapi.NewKey()
	if err := os.WriteFile(l.KeyFile, []byte(key+"\n"), fileMode); err != nil {
		return errors.Wrap(err, "write the operator's key")
	}
	if err := os.WriteFile(l.EnvFile, []byte(l.environment()), fileMode); err != nil {
		return errors.Wrap(err, "write the environment")
	}
	for _, h := range l.Hosts {
		c := l.config(h, settings.HashKey(key))
		if faults := c.Check(); len(faults) > 0 {
			return procconfig.Faults(faults)
		}
		b, err := json.MarshalIndent(c, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode settings")
		}
		if err := os.WriteFile(h.Settings, append(b, '\n'), fileMode); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	return nil
}

// config returns the settings of host h.
func (l *Layout) config(h Host, keyHash string) *procconfig.Config {
	c := procconfig.Default()
	c.Fleet, c.Host, c.Zone = l.Fleet, h.Host, h.Zone
	c.Roles = []procconfig.Role{procconfig.RoleEntry}
	c.Listen = procconfig.Listen{Callers: h.Callers, Operators: h.Operators, Peers: h.Peers}
	c.OperatorKeyHashes = []string{keyHash}
	c.TLS = h.tls
	c.Log.File = filepath.Join(l.Dir, h.Host+".log")
	c.Trace.File = filepath.Join(l.Dir, h.Host+".trace")
	if h.Control {
		c.Roles = append(c.Roles, procconfig.RoleControl)
		c.DataDir = filepath.Join(l.Dir, h.Host+".data")
	}
	for i, other := range l.Hosts {
		c.Peers = append(c.Peers, procconfig.Peer{Host: other.Host, Zone: other.Zone, Address: other.Peers})
		if other.Control {
			c.Control.Members = append(c.Control.Members, procconfig.Member{ID: uint64(i + 1), Host: other.Host, Address: other.Peers})
		}
	}
	return c
}

func (l *Layout) environment() string {
	operators := make([]string, len(l.Hosts))
	for i, h := range l.Hosts {
		operators[i] = h.Operators
	}
	env := fmt.Sprintf("export BLUEBELLSAIL_ADDRESS=%s\nexport BLUEBELLSAIL_KEY_FILE=%s\n",
		strings.Join(operators, ","), shellQuote(l.KeyFile))
	if l.CA != "" {
		env += fmt.Sprintf("export BLUEBELLSAIL_CA=%s\n", shellQuote(l.CA))
	}
	return env
}

func shellQuote(s string) string { return "'" + strings.ReplaceAll(s, "'", `'\''`) + "'" }
