package daemon

import (
	"context"
	"net"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bluebellsail/bluebellsail/internal/peerconn"
	"github.com/bluebellsail/bluebellsail/internal/procconfig"
	"github.com/bluebellsail/bluebellsail/internal/tlsutil"
)

// certificates holds the certificates that the settings file names; a nil field means
// plain TCP.
type certificates struct {
	callers   *tlsutil.KeyPair
	operators *tlsutil.KeyPair
	peers     *tlsutil.Peers
}

func loadCertificates(cfg *procconfig.Config, log zerolog.Logger) (*certificates, error) {
	c := &certificates{}
	onError := func(err error) { log.Error().Str("event", "certificate-not-read").Err(err).Send() }
	var err error
	if c.callers, err = loadPair(cfg.TLS.Callers, onError); err != nil {
		return nil, errors.Wrap(err, "certificate for callers")
	}
	if c.operators, err = loadPair(cfg.TLS.Operators, onError); err != nil {
		return nil, errors.Wrap(err, "certificate for operators")
	}
	if p := cfg.TLS.Peers; p != nil {
		if c.peers, err = tlsutil.LoadPeers(p.Cert, p.Key, p.CA, onError); err != nil {
			return nil, errors.Wrap(err, "certificate for peers")
		}
	}
	return c, nil
}

func loadPair(k *procconfig.KeyPair, onError func(error)) (*tlsutil.KeyPair, error) {
	if k == nil {
		return nil, nil
	}
	pair, err := tlsutil.LoadKeyPair(k.Cert, k.Key)
	if err == nil {
		pair.OnError = onError
	}
	return pair, err
}

// serverTLS returns the TLS configuration of an nbhttp listener; nil for plain HTTP.
func serverTLS(pair *tlsutil.KeyPair) *llibtls.Config {
	if pair == nil {
		return nil
	}
	return pair.NBServerConfig()
}

// peerCredentials returns the credentials for both ends of connections between the fleet's
// processes.
func (c *certificates) peerCredentials() credentials.TransportCredentials {
	if c.peers == nil {
		return insecure.NewCredentials()
	}
	return c.peers.Credentials()
}

// dialOptions returns the options of connections to control replicas.
func (d *Daemon) dialOptions() []grpc.DialOption {
	options := append(peerconn.Fleet(d.cfg.Fleet).DialOptions(), peerconn.ConnectionOptions(peerconn.DefaultIdleTimeout)...)
	options = append(options,
		grpc.WithTransportCredentials(d.tls.peerCredentials()),
		grpc.WithStatsHandler(d.tel.ClientStats()),
		grpc.WithStatsHandler(d.calls),
		grpc.WithContextDialer(d.dialer()))
	return options
}

// dialer returns a function that opens connections between the fleet's processes, from the
// source address of the settings if there is one.
func (d *Daemon) dialer() func(ctx context.Context, address string) (net.Conn, error) {
	from := &net.Dialer{}
	if d.cfg.Listen.Source != "" {
		from.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.cfg.Listen.Source)}
	}
	dial := peerconn.DialWithRetries(from.DialContext)
	return func(ctx context.Context, address string) (net.Conn, error) {
		d.tel.Metrics.PeerConnections.Add(1)
		return dial(ctx, address)
	}
}
