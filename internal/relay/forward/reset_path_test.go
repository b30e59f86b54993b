package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bluebellsail/bluebellsail/internal/engineclient"
	"github.com/bluebellsail/bluebellsail/internal/errkind"
	"github.com/bluebellsail/bluebellsail/internal/pb"
	"github.com/bluebellsail/bluebellsail/internal/peertunnel"
	"github.com/bluebellsail/bluebellsail/internal/routes"
	"github.com/bluebellsail/bluebellsail/internal/testutil"
)

// tunnelPeer opens tunnels to servers for another host.
type tunnelPeer struct{ pb.UnimplementedPeerServer }

func (tunnelPeer) Tunnel(s pb.Peer_TunnelServer) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	conn, err := engineclient.Direct(engineclient.Config{})(s.Context(), "tcp", first.GetOpen().GetAddress())
	if err != nil {
		return peertunnel.Refuse(s, peertunnel.RefusalOf(err), err.Error())
	}
	return peertunnel.Serve(s, conn)
}

// dialThroughPeer starts a peer and returns a function that opens connections through it.
func dialThroughPeer(t *testing.T) engineclient.DialFunc {
	t.Helper()
	l := testutil.Listen(t)
	server := grpc.NewServer()
	pb.RegisterPeerServer(server, tunnelPeer{})
	go func() { _ = server.Serve(l) }()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	testutil.NoError(t, err)
	t.Cleanup(func() {
		_ = conn.Close()
		server.Stop()
	})
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := peertunnel.Open(ctx, pb.NewPeerClient(conn), "peer", address)
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// askVersion sends a request of a version of HTTP over a connection of its own.
func askVersion(t *testing.T, address, version, id, body string) got {
	t.Helper()
	c, err := net.Dial("tcp", address)
	testutil.NoError(t, err)
	defer func() { _ = c.Close() }()
	testutil.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(c, "POST / %s\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", version, hID, id, len(body), body)
	testutil.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return got{}
	}
	content, err := io.ReadAll(res.Body)
	return got{status: res.StatusCode, header: res.Header, body: string(content), whole: err == nil}
}

// Guards against a part of an answer that a caller takes for the whole one: through a peer, by HTTP/1.0, beyond what is buffered, and
// for each kind of route.
func TestPartOfAResetAnswerIsNeverWholeOnAnyPath(t *testing.T) {
	const rounds = 8 // which goroutine is told of the reset varies
	head := "HTTP/1.1 200 OK\r\nName: ID\r\n"
	parts := map[string]string{
		"short":  "\r\n" + wholeBody[:5],
		"long":   "\r\n" + strings.Repeat("y", maxBuffered*3/2),
		"events": "Content-Type: text/event-stream\r\n\r\n" + event(1),
	}
	for _, throughPeer := range []bool{false, true} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for name, part := range parts {
				for _, kind := range []routes.Kind{routes.NonIdempotent, routes.Idempotent, routes.Stream} {
					t.Run(fmt.Sprintf("peer %v, %s, %s, %s", throughPeer, version, name, kind), func(t *testing.T) {
						options := hostOptions{}
						if throughPeer {
							options.client.Dial = dialThroughPeer(t)
						}
						script := resetServer(head+part, "")
						host, _ := newHost(t, routes.Route{Kind: kind}, options, newBackend(t, script), newBackend(t, script))
						for n := range rounds {
							a := askVersion(t, host.Address(), version, "r"+strconv.Itoa(n), strings.Repeat("x", longBody))
							if a.status == http.StatusOK && a.whole {
								t.Errorf("the caller got %d bytes as a whole answer", len(a.body))
							}
							if a.header.Get("Ran") == string(errkind.RanNo) {
								t.Errorf("the caller was told that the request did not run")
							}
						}
					})
				}
			}
		}
	}
}

// Guards against a part of a reset answer that is passed on, or joined to the answer of the server that is asked next.
func TestIdempotentRequestGetsTheNextAnswerAfterAReset(t *testing.T) {
	for _, throughPeer := range []bool{false, true} {
		t.Run(fmt.Sprintf("peer %v", throughPeer), func(t *testing.T) {
			options := hostOptions{}
			if throughPeer {
				options.client.Dial = dialThroughPeer(t)
			}
			host, _ := newHost(t, routes.Route{Kind: routes.Idempotent}, options,
				newBackend(t, resetServer("HTTP/1.1 200 OK\r\nName: ID\r\n\r\n", wholeBody[:5])), newBackend(t, healthy))
			for n := range 8 {
				a := askVersion(t, host.Address(), "HTTP/1.1", "r"+strconv.Itoa(n), strings.Repeat("x", longBody))
				if a.status != http.StatusOK || !a.whole || a.body != wholeBody {
					t.Errorf("the caller got %d %q, whole: %v", a.status, a.body, a.whole)
				}
			}
		})
	}
}
