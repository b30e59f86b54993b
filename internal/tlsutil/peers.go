package tlsutil

import (
	"context"
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
)

// Peers configures both ends of mutual TLS between the fleet's processes. Each end presents its
// certificate and accepts only certificates that an authority of the fleet has signed. The
// client also checks that the certificate is for the IP number that it called.
type Peers struct {
	pair *KeyPair
	pool *Pool
}

// LoadPeers loads the certificate, its key and the authorities. onError is called with the
// error of each later reload that fails.
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

// Credentials returns credentials for gRPC servers and clients. Each new connection uses the
// current files.
func (p *Peers) Credentials() credentials.TransportCredentials { return &peerCredentials{peers: p} }

// serverConfig returns the configuration of the server's end of one connection.
func (p *Peers) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*p.pair.Certificate()},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    p.pool.Certificates(),
	}
}

// clientConfig returns the configuration of the client's end of one connection.
func (p *Peers) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*p.pair.Certificate()},
		RootCAs:      p.pool.Certificates(),
	}
}

// peerCredentials creates a new TLS configuration for each handshake, since a tls.Config has no
// hook for replaced authorities at the client's end.
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

// OverrideServerName does nothing. It is a deprecated part of the interface; the server's
// certificate is always checked against the called address.
func (c *peerCredentials) OverrideServerName(string) error { return nil }
