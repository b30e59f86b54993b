package tlsutil

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"github.com/bluebellsail/bluebellsail/internal/httpserver"
)

func mustInit(t *testing.T, dir string, renew bool, specs ...string) *Files {
	t.Helper()
	var hosts []Host
	for _, s := range specs {
		hosts = append(hosts, parse(t, s))
	}
	files, err := Init(InitOptions{Dir: dir, Hosts: hosts, Validity: time.Hour, Renew: renew})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func mustPeers(t *testing.T, ca string, h HostFile) *Peers {
	t.Helper()
	p, err := LoadPeers(h.Cert, h.Key, ca, func(err error) { t.Logf("reload: %v", err) })
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// expireChecks makes the next use check the files for changes at once.
func (p *Peers) expireChecks() {
	p.pair.mu.Lock()
	p.pair.checked = time.Time{}
	p.pair.mu.Unlock()
	p.pool.mu.Lock()
	p.pool.checked = time.Time{}
	p.pool.mu.Unlock()
}

// serve starts a grpc health service on loopback and returns its address.
func serve(t *testing.T, c credentials.TransportCredentials) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(c))
	healthpb.RegisterHealthServer(s, health.NewServer())
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// check makes one call on a new connection.
func check(address string, c credentials.TransportCredentials) error {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(c))
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

func TestPeersAcceptOnlyTheFleetsCertificates(t *testing.T) {
	fleet := mustInit(t, t.TempDir(), false, "a=127.0.0.1", "b=127.0.0.2")
	other := mustInit(t, t.TempDir(), false, "a=127.0.0.1")
	a, b := mustPeers(t, fleet.CA, fleet.Hosts[0]), mustPeers(t, fleet.CA, fleet.Hosts[1])
	foreign := mustPeers(t, other.CA, other.Hosts[0])
	trusting := mustPeers(t, fleet.CA, other.Hosts[0])
	address := serve(t, a.Credentials())
	if err := check(address, b.Credentials()); err != nil {
		t.Errorf("a peer of the fleet is rejected: %v", err)
	}
	if err := check(address, foreign.Credentials()); err == nil {
		t.Error("a client with another authority trusts this server")
	}
	if err := check(address, trusting.Credentials()); err == nil {
		t.Error("the server accepts a client with a certificate of another authority")
	}
	noCertificate := credentials.NewTLS(&tls.Config{RootCAs: b.pool.Certificates()})
	if err := check(address, noCertificate); err == nil {
		t.Error("the server accepts a client without a certificate")
	}
	wrongAddress := serve(t, b.Credentials()) // the certificate is for 127.0.0.2
	if err := check(wrongAddress, a.Credentials()); err == nil {
		t.Error("the client accepts a server whose certificate is for another address")
	}
}

// If the files were read only at the start, the hosts of a fleet would reject each other after its
// authority and certificates are replaced on disk, until every process is restarted.
func TestReplacedFilesAreLoadedWithoutRestart(t *testing.T) {
	dir := t.TempDir()
	old := mustInit(t, dir, false, "a=127.0.0.1", "b=127.0.0.2")
	a, b := mustPeers(t, old.CA, old.Hosts[0]), mustPeers(t, old.CA, old.Hosts[1])
	address := serve(t, a.Credentials())
	for _, f := range []string{old.CA, old.CAKey} {
		if err := os.Remove(f); err != nil {
			t.Fatal(err)
		}
	}
	mustInit(t, dir, true, "a=127.0.0.1", "b=127.0.0.2")
	a.expireChecks()
	if err := check(address, b.Credentials()); err == nil {
		t.Fatal("the client still trusts a replaced authority's server")
	}
	b.expireChecks()
	if err := check(address, b.Credentials()); err != nil {
		t.Errorf("after both have reloaded: %v", err)
	}
}

// While an authority is being replaced, hosts trust both authorities and their certificates are
// replaced one by one. If only the first authority in the file were trusted, half of the fleet
// would reject the other half.
func TestTwoAuthoritiesWhileOneIsReplaced(t *testing.T) {
	old, fresh := mustInit(t, t.TempDir(), false, "a=127.0.0.1"), mustInit(t, t.TempDir(), false, "b=127.0.0.1")
	both := filepath.Join(t.TempDir(), "ca.pem")
	copyFile(t, old.CA, both)
	f, err := os.OpenFile(both, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	b, err := os.ReadFile(fresh.CA)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(b); err != nil {
		t.Fatal(err)
	}
	first, second := mustPeers(t, both, old.Hosts[0]), mustPeers(t, both, fresh.Hosts[0])
	if err := check(serve(t, first.Credentials()), second.Credentials()); err != nil {
		t.Errorf("new client, old server: %v", err)
	}
	if err := check(serve(t, second.Credentials()), first.Credentials()); err != nil {
		t.Errorf("old client, new server: %v", err)
	}
}

// A connection may arrive when the key is already replaced and the certificate is not. If the
// former pair were dropped before the new one is known to be valid, the process would become
// unreachable.
func TestHalfReplacedPairKeepsFormerInUse(t *testing.T) {
	files := mustInit(t, t.TempDir(), false, "a=127.0.0.1", "b=127.0.0.2")
	a, b := files.Hosts[0], files.Hosts[1]
	pair, err := LoadKeyPair(a.Cert, a.Key)
	if err != nil {
		t.Fatal(err)
	}
	var failures []error
	pair.OnError = func(err error) { failures = append(failures, err) }
	before := pair.Certificate()
	copyFile(t, b.Key, a.Key)
	pair.checked = time.Time{}
	if pair.Certificate() != before || len(failures) != 1 {
		t.Fatalf("after replacing only the key: %v", failures)
	}
	copyFile(t, b.Cert, a.Cert)
	pair.checked = time.Time{}
	if pair.Certificate() == before {
		t.Error("the complete new pair is not loaded")
	}
	if err := os.Remove(a.Cert); err != nil {
		t.Fatal(err)
	}
	pair.checked = time.Time{}
	if pair.Certificate() == nil || len(failures) != 2 {
		t.Errorf("after removing the certificate: %v", failures)
	}
	if pool, err := LoadPool(a.Key); err == nil {
		t.Errorf("a file with a key is accepted as authorities: %v", pool)
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	if err == nil {
		// The size differs, so that the change is detected despite coarse file times.
		err = os.WriteFile(to, append(b, '\n'), keyMode)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func TestNBServerServesTheHostsCertificate(t *testing.T) {
	files := mustInit(t, t.TempDir(), false, "a=127.0.0.1")
	pair, err := LoadKeyPair(files.Hosts[0].Cert, files.Hosts[0].Key)
	if err != nil {
		t.Fatal(err)
	}
	pool, err := LoadPool(files.CA)
	if err != nil {
		t.Fatal(err)
	}
	s := httpserver.New(httpserver.Config{Address: "127.0.0.1:0", TLS: pair.NBServerConfig(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("served")) })})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Drain(t.Context()) }()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool.Certificates()}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
	res, err := client.Get("https://" + s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if got := res.TLS.PeerCertificates[0].Subject.CommonName; got != "a" {
		t.Errorf("the server presented the certificate of %s", got)
	}
}

func TestInitKeepsAuthorityAndExistingCertificates(t *testing.T) {
	dir := t.TempDir()
	files := mustInit(t, dir, false, "a=127.0.0.1")
	ca, err := os.ReadFile(files.CA)
	if err != nil {
		t.Fatal(err)
	}
	host := parse(t, "a=127.0.0.1")
	if _, err := Init(InitOptions{Dir: dir, Hosts: []Host{host}, Validity: time.Hour}); err == nil {
		t.Error("a certificate was replaced without Renew")
	}
	mustInit(t, dir, false, "b=127.0.0.2")
	again, err := os.ReadFile(files.CA)
	if err != nil || string(again) != string(ca) {
		t.Error("the authority was replaced")
	}
	if info, err := os.Stat(files.CAKey); err != nil || info.Mode().Perm() != keyMode {
		t.Errorf("mode of the authority's key: %v, %v", info.Mode(), err)
	}
	for _, o := range []InitOptions{
		{Dir: dir, Validity: time.Hour},
		{Dir: dir, Hosts: []Host{{Name: "c", IP: host.IP}}},
		{Dir: dir, Hosts: []Host{{Name: "ca", IP: host.IP}}, Validity: time.Hour, Renew: true},
	} {
		if _, err := Init(o); err == nil {
			t.Errorf("accepted: %+v", o)
		}
	}
}

func parse(t *testing.T, spec string) Host {
	t.Helper()
	h, err := ParseHost(spec)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func TestParseHost(t *testing.T) {
	for _, spec := range []string{"", "a", "a=", "=127.0.0.1", "a=name", "../a=127.0.0.1", "a/b=127.0.0.1"} {
		if h, err := ParseHost(spec); err == nil || !strings.Contains(err.Error(), "NAME=IP") {
			t.Errorf("%q is parsed as %v, %v", spec, h, err)
		}
	}
}
