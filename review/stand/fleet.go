package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds and settings of the small deployment named in claim.txt.
const (
	drainMs     = 2000
	contactMs   = 3000
	configMs    = 2000
	heartbeatMs = 1200
	graceS      = 8
)

// Offsets of a host's ports from the fleet's base port.
const (
	portPeers = iota
	portOperators
	portRequests
	portReadiness
	portRegistry
	portDirectory
	portCount
)

// host is one machine with its process.
type host struct {
	name, zone, ip string
	control        bool
	fleet          *fleet

	mu  sync.Mutex
	cmd *exec.Cmd
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	dir, program string
	base         int
	subnet       int
	hosts        []*host
	rec          *recorder
}

// zones, coreZones and frontendZones are those of the site caixa-nordeste: the deploy file's share of 0.5 puts the
// control role on one core machine of each zone.
var (
	zones         = []string{"boa-vista", "imbiribeira", "olinda"}
	coreZones     = zones
	frontendZones = []string{"boa-vista", "boa-vista", "boa-vista", "imbiribeira", "imbiribeira", "olinda", "olinda"}
)

// newFleet describes a fleet; nothing is started.
func newFleet(rec *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(os.Getenv("REPO"), "target", "bluebellsail-platformd"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, subnet: 1 + rand.Intn(250), rec: rec}
	for i, zone := range coreZones {
		f.add(fmt.Sprintf("core-%d", i+1), zone, true)
	}
	for i, zone := range frontendZones {
		f.add(fmt.Sprintf("frontend-%d", i+1), zone, false)
	}
	return f, f.findPorts()
}

func (f *fleet) add(name, zone string, control bool) *host {
	h := &host{name: name, zone: zone, control: control, fleet: f, ip: fmt.Sprintf("127.91.%d.%d", f.subnet, len(f.hosts)+1)}
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) findPorts() error {
	for range 200 {
		f.base = 20000 + rand.Intn(11000)
		if f.portsFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (f *fleet) portsFree() bool {
	for _, h := range f.hosts {
		for p := range portCount {
			l, err := net.Listen("tcp", h.address(p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, h.fleet.base+port) }

func (f *fleet) byRole(control bool) (out []*host) {
	for _, h := range f.hosts {
		if h.control == control {
			out = append(out, h)
		}
	}
	return out
}

// settings renders the template of the deploy file for a host.
func (h *host) settings(bootstrap bool) []byte {
	f := h.fleet
	var seeds []string
	for _, c := range f.byRole(true) {
		if len(seeds) < 3 {
			seeds = append(seeds, c.address(portRegistry))
		}
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "recife"
	}
	routed := map[string]any{
		"registry": h.address(portRegistry),
		"features": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"},
		"retry":    map[string]any{"window": "10s", "share": 0.2, "extra": 54},
	}
	limits := map[string]any{"processors": 1, "processor_share": 0.4, "link_mbps": 1000.0, "memory_mb": 134, "drain_timeout": fmt.Sprintf("%ds", graceS)}
	s := map[string]any{
		"fleet": "bluebellsail", "host": h.name, "zone": h.zone, "regions": regions,
		"listen":  map[string]any{"operators": h.address(portOperators), "peers": h.address(portPeers)},
		"control": map[string]any{"bootstrap": bootstrap, "losses": 1, "election_ticks": 8},
		"seeds":   seeds, "routed": routed,
		"timing": map[string]any{"heartbeat": "250ms", "settle_every": "150ms"},
		"limits": limits,
	}
	if h.control {
		s["roles"], s["data_dir"] = []string{"control"}, h.dataDir()
		limits["processor_share"], limits["memory_mb"] = 0.24, 280
	} else {
		s["roles"] = []string{"gateway"}
		routed["requests"], routed["readiness"], routed["directory"] = h.address(portRequests), h.address(portReadiness), h.address(portDirectory)
	}
	b, _ := json.MarshalIndent(s, "", "  ")
	return b
}

func (h *host) dir() string     { return filepath.Join(h.fleet.dir, h.name) }
func (h *host) dataDir() string { return filepath.Join(h.dir(), "data") }

// start starts the host's process.
func (h *host) start(bootstrap bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := os.MkdirAll(h.dir(), 0o700); err != nil {
		return err
	}
	path := filepath.Join(h.dir(), "boot.conf")
	if err := os.WriteFile(path, h.settings(bootstrap), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.dir(), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(h.fleet.program)
	cmd.Dir = os.Getenv("REPO")
	cmd.Env = []string{"BLUEBELLSAIL_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd = cmd
	return nil
}

func (h *host) signal(sig syscall.Signal) {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = syscall.Kill(h.cmd.Process.Pid, sig)
	}
}

// reap waits for the end of a process that was killed.
func (h *host) reap() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := h.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the fleet's folder.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range f.hosts {
		h.reap()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// call makes one call with a connection of its own.
func call(timeout time.Duration, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := plainClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, b, err
}

var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// ready counts the gateways that answer their readiness check with 200.
func (f *fleet) ready() int {
	n := 0
	for _, h := range f.byRole(false) {
		if status, _, err := call(time.Second, http.MethodGet, "http://"+h.address(portReadiness)+"/bluebellsail/readyz", nil); err == nil && status == http.StatusOK {
			n++
		}
	}
	return n
}

// waitReady waits until all gateways are ready.
func (f *fleet) waitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if f.ready() == len(f.byRole(false)) {
			return true
		}
	}
	return false
}

// putConfig sends a desired state to the nodes in turn until one confirms it.
func (f *fleet) putConfig(doc []byte, within time.Duration) (string, bool) {
	pause := 100 * time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); {
		h := f.hosts[rand.Intn(len(f.hosts))]
		status, body, err := call(time.Second, http.MethodPut, "http://"+h.address(portRegistry)+"/bluebellsail/config", doc)
		if err == nil && status == http.StatusOK {
			return h.name, true
		}
		f.rec.logf("operator: PUT config at %s: status %d %q err %v", h.name, status, bytes.TrimSpace(body), err)
		time.Sleep(pause)
		pause = min(pause*3/2, 500*time.Millisecond)
	}
	return "", false
}
