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

// Symptom: somebody on the network reads the replicas' log or proposes to them.
// Sequence: they connect to a peer address without a certificate of the fleet's
// authority: in clear, without any, with one of another authority.
// Cause: the peer listener asks for no certificate, or takes any.
func TestFleetWithTLS(t *testing.T) {
	f := newFleet(t, 4, true)
	pool := f.authority()
	c := f.newCaller(f.startBackend([]string{f.forward(pool, f.layout.Hosts[0]), f.forward(pool, f.layout.Hosts[1]),
		f.forward(pool, f.layout.Hosts[2]), f.forward(pool, f.layout.Hosts[3])}), funds)
	c.scheme = "https://"
	c.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	t.Cleanup(c.client.CloseIdleConnections)
	var books usage
	for i, h := range f.layout.Hosts {
		books.add(t, c.chat(h, "tls", i))
	}
	books.add(t, c.post(f.layout.Hosts[3], "entry-1"))
	f.checkBooks(books, funds)

	own := f.config(f.layout.Hosts[3]).TLS.Peers
	foreign := foreignFiles(t)
	for name, tc := range map[string]struct {
		creds credentials.TransportCredentials
		want  codes.Code
	}{
		"own authority":     {peerCredentials(t, own.Cert, own.Key, f.layout.CA), codes.OK},
		"in clear":          {insecure.NewCredentials(), codes.Unavailable},
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

// watchOnce asks a peer address for one event of the settings.
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

// foreignFiles is a host's certificate of another authority.
func foreignFiles(t *testing.T) tlsutil.HostFile {
	t.Helper()
	files, err := tlsutil.Init(tlsutil.InitOptions{Dir: filepath.Join(t.TempDir(), "tls"), Validity: time.Hour,
		Hosts: []tlsutil.Host{{Name: "host-4", IP: netip.MustParseAddr("127.0.0.1")}}})
	if err != nil {
		t.Fatal(err)
	}
	return files.Hosts[0]
}

// authority is the fleet's.
func (f *fleet) authority() *x509.CertPool {
	f.t.Helper()
	b, err := os.ReadFile(f.layout.CA)
	pool := x509.NewCertPool()
	if err != nil || !pool.AppendCertsFromPEM(b) {
		f.t.Fatalf("no authority in %s: %v", f.layout.CA, err)
	}
	return pool
}

// forward listens in clear for the stand-in, which speaks no TLS, and passes each
// connection on to a host's callers' address with TLS. It returns its address.
func (f *fleet) forward(pool *x509.CertPool, h devfleet.Host) string {
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
			go pass(in, h.Callers, pool)
		}
	}()
	return l.Addr().String()
}

// pass copies both ways until one side closes.
func pass(in net.Conn, to string, pool *x509.CertPool) {
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
