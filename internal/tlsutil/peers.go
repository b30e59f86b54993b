package tlsutil

import (
	"context"
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
)

// Peers makes both ends of mutual TLS between the fleet's processes: each shows its
// certificate and takes only one that the authority signed, at the client's end also
// only under the IP number that was called.
type Peers struct {
	pair *KeyPair
	pool *Pool
}

// LoadPeers reads the certificate, its key and the authorities for the first time.
// onError is told of later readings that fail.
func LoadPeers(certFile, keyFile, caFile string, onError func(error)) (*Peers, error) {
	pair, err := LoadKeyPair(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	pool, err := LoadPool(caFile)
	if err != nil {
		return nil, err
	}
	pair.OnError, pool.OnError = onError, onError
	return &Peers{pair: pair, pool: pool}, nil
}

// Credentials are for grpc servers and clients. Each new connection takes the files
// as they are then.
func (p *Peers) Credentials() credentials.TransportCredentials { return &peerCredentials{peers: p} }

// serverConfig is the server's end for one connection.
func (p *Peers) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*p.pair.Certificate()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    p.pool.Certificates(),
	}
}

// clientConfig is the client's end for one connection.
func (p *Peers) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*p.pair.Certificate()},
		RootCAs:      p.pool.Certificates(),
	}
}

// peerCredentials makes the TLS configuration anew for each handshake, since a
// tls.Config has no hook for replaced authorities at the client's end.
type peerCredentials struct{ peers *Peers }

func (c *peerCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.peers.clientConfig()).ClientHandshake(ctx, authority, conn)
}

func (c *peerCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.peers.serverConfig()).ServerHandshake(conn)
}

func (c *peerCredentials) Info() credentials.ProtocolInfo {
	return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13}).Info()
}

func (c *peerCredentials) Clone() credentials.TransportCredentials {
	clone := *c
	return &clone
}

// OverrideServerName is part of the interface and deprecated by it; the name checked
// is always the address called.
func (c *peerCredentials) OverrideServerName(string) error { return nil }
