package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine; they are the same on all.
const (
	portFrontend  = 8227
	portReadiness = 8220
	portControl   = 8229
	portDirectory = 8222
	portPeers     = 7340
	portInternal  = 7355
)

// Bounds of the pages, as the site files of a small installation give them, and for evacuations and
// cold servers the page that brings them.
const (
	contact       = 4 * time.Second
	evacuateBound = 5 * time.Second
	recoverBound  = 12 * time.Second
	settleBound   = 1500 * time.Millisecond
)

// machine is one machine of the system with its only process.
type machine struct {
	fleet          *fleet
	name, zone, ip string
	core           bool

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
	starts  int
}

// fleet is a small installation.
type fleet struct {
	rec      *record
	dir      string
	root     string
	run      map[bool][]string
	template string
	subnet   string
	zones    []string
	// regions has the area of each zone.
	regions  map[string]string
	machines []*machine
	closed   bool
	exits    int
	mu       sync.Mutex
}

// region1 is the area of all zones unless a case has several.
const region1 = "region-1"

// newFleet prepares machines: cores and fronts are spread over the zones in turn. The zones are all in one
// area, or the first one in an area of its own.
func newFleet(rec *record, root, dir string, zones []string, areas, cores, fronts int) (*fleet, error) {
	f := &fleet{rec: rec, root: root, dir: dir, zones: zones, regions: map[string]string{}, run: map[bool][]string{}}
	for i, z := range zones {
		f.regions[z] = region1
		if areas > 1 && i > 0 {
			f.regions[z] = "region-2"
		}
	}
	if err := f.readDeployFile(); err != nil {
		return nil, err
	}
	for try := 0; ; try++ {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if free(f.subnet+".1", cores+fronts) {
			break
		}
		if try == 50 {
			return nil, fmt.Errorf("no free addresses")
		}
	}
	for i := range cores + fronts {
		m := &machine{fleet: f, core: i < cores, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", f.subnet, i+1)}
		m.name = fmt.Sprintf("core-%s-%d", m.zone, i+1)
		if !m.core {
			m.zone = zones[(i-cores)%len(zones)]
			m.name = fmt.Sprintf("frontend-%s-%d", m.zone, i-cores+1)
		}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// free reports whether the ports are free at the addresses that begin with the first one.
func free(first string, n int) bool {
	base := first[:strings.LastIndex(first, ".")]
	for i := range n + 40 {
		for _, port := range []int{portFrontend, portReadiness, portControl, portDirectory, portPeers, portInternal, 9464, portServer} {
			l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("%s.%d", base, i+1), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// readDeployFile takes the commands of the two roles from the deploy file, and their template.
func (f *fleet) readDeployFile() error {
	b, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	role := regexp.MustCompile(`(?s)\[roles\.[^\]]+\]\nrun = "([^"]+)"\non = "([^"]+)".*?template = "([^"]+)"`)
	for _, m := range role.FindAllStringSubmatch(string(b), -1) {
		f.run[m[2] == "core"] = strings.Fields(m[1])
		t, err := os.ReadFile(filepath.Join(f.root, m[3]))
		if err != nil {
			return err
		}
		f.template = string(t)
	}
	if f.run[true] == nil || f.run[false] == nil {
		return fmt.Errorf("the deploy file has no commands for both classes")
	}
	return nil
}

func (f *fleet) cores() (out []*machine) {
	for _, m := range f.machines {
		if m.core {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) fronts() (out []*machine) {
	for _, m := range f.machines {
		if !m.core {
			out = append(out, m)
		}
	}
	return out
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// fields are the settings that the platform fills into the template.
func (m *machine) fields(bootstrap bool) map[string]any {
	zones := map[string]any{}
	for _, z := range m.fleet.zones {
		zones[z] = m.fleet.regions[z]
	}
	var seeds []any
	for _, c := range m.fleet.cores()[:3] {
		seeds = append(seeds, c.address(portControl))
	}
	contracts := []any{}
	for _, c := range strings.Split("base,drain,config,cost,retry,recover,engine,stream,tenants,places", ",") {
		contracts = append(contracts, c)
	}
	listen := map[string]any{"controlPlane": m.address(portControl)}
	if !m.core {
		listen["frontend"], listen["readiness"], listen["directory"] = m.address(portFrontend), m.address(portReadiness), m.address(portDirectory)
	}
	out := map[string]any{
		"nodeName": m.name, "ip": m.ip, "zone": m.zone, "region": m.region(), "zones": zones, "listen": listen,
		"internalPorts": []any{portPeers, portInternal}, "seeds": seeds, "bootstrapEnabled": bootstrap, "inTolerance": m.core,
		"limits":      map[string]any{"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatMs": 1200, "contracts": contracts,
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"contactMs": 4000, "ackMs": 5000, "drainMs": 2000, "graceS": 8, "configMs": 2000, "budgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtra": 54, "evacuateMs": 5000, "coldOverage": 1.5, "coldExtra": 5, "recoverS": 12, "settle_ms": 1500, "ttl_max_s": 5,
		},
		"configMode": "highest",
	}
	if m.core {
		out["dataDir"] = filepath.Join(m.dir(), "data")
	}
	return out
}

func (m *machine) region() string { return m.fleet.regions[m.zone] }

// withSource has a process open its channels from its machine's address, as it does on a machine that has
// no other; on loopback all would come from the same one.
func withSource(settings, ip string) (string, error) {
	var s map[string]any
	if err := json.Unmarshal([]byte(settings), &s); err != nil {
		return "", err
	}
	listen, ok := s["listen"].(map[string]any)
	if !ok {
		return "", fmt.Errorf("the settings have no part listen")
	}
	listen["source"] = ip
	b, err := json.Marshal(s)
	return string(b), err
}

func (m *machine) dir() string { return filepath.Join(m.fleet.dir, m.name) }

// start starts the machine's process. One that ends by itself is started again.
func (m *machine) start(bootstrap bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := render(m.fleet.template, m.fields(bootstrap))
	if err != nil {
		return err
	}
	if text, err = withSource(text, m.ip); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(m.dir(), "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.dir(), "boot.conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(m.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	command := m.fleet.run[m.core]
	cmd := exec.Command(filepath.Join(m.fleet.root, command[0]), command[1:]...)
	cmd.Dir = m.fleet.root
	cmd.Env = []string{"BLUEBELLSAIL_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir(), "LANG=C.UTF-8"}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	m.process, m.stopped, m.ended = cmd, false, make(chan struct{})
	m.starts++
	go m.follow(cmd, m.ended)
	return nil
}

func (m *machine) follow(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	m.mu.Lock()
	own := !m.stopped
	m.mu.Unlock()
	m.fleet.mu.Lock()
	closed := m.fleet.closed
	if own && !closed {
		m.fleet.exits++
	}
	m.fleet.mu.Unlock()
	if !own || closed {
		return
	}
	m.fleet.rec.note("%s ended by itself: %v", m.name, err)
	time.Sleep(200 * time.Millisecond)
	if err := m.start(false); err != nil {
		m.fleet.rec.note("%s can't be started: %v", m.name, err)
	}
}

// signal sends a signal to the machine's process. final is set if it ends the process.
func (m *machine) signal(s syscall.Signal, final bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	m.stopped = m.stopped || final
	_ = m.process.Process.Signal(s)
}

// kill kills the process and returns once it has ended.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL, true)
	<-m.ended
}

// startAll starts all machines at the first start of the system.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT, true)
		m.signal(syscall.SIGKILL, true)
	}
	for _, m := range f.machines {
		if m.ended != nil {
			<-m.ended
		}
	}
}

// awaitReady returns once all of the given machines count as ready.
func (f *fleet) awaitReady(machines []*machine, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for _, m := range machines {
		for {
			res, err := client.Get("http://" + m.address(portReadiness) + "/bluebellsail/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready in %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
