package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/bluebellsail/bluebellsail/internal/devfleet"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peerconn"
	"github.com/bluebellsail/bluebellsail/internal/tlsutil"
)

// peerCallTimeout bounds one call to a peer address.
const peerCallTimeout = 5 * time.Second

// Guards against outsiders that read the replicas' log or send them proposals. They connect to a peer
// address without a certificate of the fleet's authority: without TLS, without a certificate, or with one
// of another authority. The peer listener must require a certificate of the fleet's authority.
func TestFleetWithTLS(t *testing.T) {
	f := newFleet(t, 4, true)
	pool := f.caPool()
	c := f.newCaller(f.startBackend([]string{f.forwardTLS(pool, f.layout.Hosts[0]), f.forwardTLS(pool, f.layout.Hosts[1]),
		f.forwardTLS(pool, f.layout.Hosts[2]), f.forwardTLS(pool, f.layout.Hosts[3])}), funds)
	c.scheme = "https://"
	c.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	t.Cleanup(c.client.CloseIdleConnections)
	var billed billable
	for i, h := range f.layout.Hosts {
		billed.add(t, c.chat(h, "tls", i))
	}
	billed.add(t, c.postEntry(f.layout.Hosts[3], "entry-1"))
	f.checkBills(billed, funds)

	own := f.config(f.layout.Hosts[3]).TLS.Peers
	foreign := foreignCertificate(t)
	for name, tc := range map[string]struct {
		creds credentials.TransportCredentials
		want  codes.Code
	}{
		"own authority":     {peerCredentials(t, own.Cert, own.Key, f.layout.CA), codes.OK},
		"without TLS":       {insecure.NewCredentials(), codes.Unavailable},
		"no certificate":    {credentials.NewTLS(&tls.Config{RootCAs: pool}), codes.Unavailable},
		"another authority": {peerCredentials(t, foreign.Cert, foreign.Key, f.layout.CA), codes.Unavailable},
	} {
		for _, h := range f.layout.Hosts {
			if err := f.watchOnce(h, tc.creds); status.Code(err) != tc.want {
				t.Errorf("%s at %s: %v, want %s", name, h.Host, err, tc.want)
			}
		}
	}
}

// watchOnce requests one event of the settings' watch from a peer address.
func (f *fleet) watchOnce(h devfleet.Host, creds credentials.TransportCredentials) error {
	f.t.Helper()
	options := append(peerconn.Fleet(f.layout.Fleet).DialOptions(), grpc.WithTransportCredentials(creds))
	conn, err := grpc.NewClient(h.Peers, options...)
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(f.t.Context(), peerCallTimeout)
	defer cancel()
	stream, err := pb.NewControlClient(conn).Watch(ctx, &pb.WatchRequest{})
	if err != nil {
		return err
	}
	_, err = stream.Recv()
	return err
}

func peerCredentials(t *testing.T, cert, key, ca string) credentials.TransportCredentials {
	t.Helper()
	p, err := tlsutil.LoadPeers(cert, key, ca, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	return p.Credentials()
}

// foreignCertificate creates a host certificate of another authority.
func foreignCertificate(t *testing.T) tlsutil.HostFile {
	t.Helper()
	files, err := tlsutil.Init(tlsutil.InitOptions{Dir: filepath.Join(t.TempDir(), "tls"), Validity: time.Hour,
		Hosts: []tlsutil.Host{{Name: "host-4", IP: netip.MustParseAddr("127.0.0.1")}}})
	if err != nil {
		t.Fatal(err)
	}
	return files.Hosts[0]
}

// caPool returns a pool with the fleet's certificate authority.
func (f *fleet) caPool() *x509.CertPool {
	f.t.Helper()
	b, err := os.ReadFile(f.layout.CA)
	pool := x509.NewCertPool()
	if err != nil || !pool.AppendCertsFromPEM(b) {
		f.t.Fatalf("no certificate authority in %s: %v", f.layout.CA, err)
	}
	return pool
}

// forwardTLS listens without TLS for the fake backend server, which does not support it, and forwards each
// connection with TLS to a host's address for callers. It returns the address at which it listens.
func (f *fleet) forwardTLS(pool *x509.CertPool, h devfleet.Host) string {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go proxy(in, h.Callers, pool)
		}
	}()
	return l.Addr().String()
}

// proxy forwards a connection with TLS, in both directions until one side closes it.
func proxy(in net.Conn, to string, pool *x509.CertPool) {
	defer in.Close()
	out, err := tls.Dial("tcp", to, &tls.Config{RootCAs: pool})
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		defer out.Close()
		_, _ = io.Copy(out, in)
	}()
	_, _ = io.Copy(in, out)
}
