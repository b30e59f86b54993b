package tlsutil

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/pkg/errors"
)

// checkPeriod is the shortest time between two checks of the files for changes.
const checkPeriod = time.Second

// stamp identifies a version of a file, to detect changes.
type stamp struct {
	modified time.Time
	size     int64
}

func readStamp(file string) (stamp, error) {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{}, errors.Wrap(err, "check for changes")
	}
	return stamp{modified: info.ModTime(), size: info.Size()}, nil
}

// KeyPair is a certificate and its key, which are reloaded when the files change. If the new
// pair can't be read or doesn't match, the former pair stays in use: a half-done replacement
// must not make a running process unreachable. It is safe for concurrent use.
type KeyPair struct {
	certFile, keyFile string
	// OnError is called with the error of each failed reload; set it before use.
	OnError func(error)

	mu      sync.Mutex
	checked time.Time
	stamps  [2]stamp
	// Both forms of one certificate: net/http and grpc use the standard library's,
	// nbhttp uses that of its own TLS stack.
	std *tls.Certificate
	nb  *llibtls.Certificate
}

// LoadKeyPair loads a pair for the first time.
func LoadKeyPair(certFile, keyFile string) (*KeyPair, error) {
	p := &KeyPair{certFile: certFile, keyFile: keyFile}
	p.checked = time.Now()
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *KeyPair) load() error {
	stamps, err := p.readStamps()
	if err != nil {
		return err
	}
	certPEM, err := os.ReadFile(p.certFile)
	if err != nil {
		return errors.Wrap(err, "read certificate")
	}
	keyPEM, err := os.ReadFile(p.keyFile)
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	std, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", p.certFile, p.keyFile)
	}
	nb, err := llibtls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", p.certFile, p.keyFile)
	}
	p.std, p.nb, p.stamps = &std, &nb, stamps
	return nil
}

func (p *KeyPair) readStamps() ([2]stamp, error) {
	cert, err := readStamp(p.certFile)
	if err != nil {
		return [2]stamp{}, err
	}
	key, err := readStamp(p.keyFile)
	return [2]stamp{cert, key}, err
}

// refresh reloads the files if they changed, at most once per checkPeriod.
func (p *KeyPair) refresh() {
	now := time.Now()
	if now.Sub(p.checked) < checkPeriod {
		return
	}
	p.checked = now
	stamps, err := p.readStamps()
	if err == nil && stamps == p.stamps {
		return
	}
	if err == nil {
		err = p.load()
	}
	if err != nil && p.OnError != nil {
		p.OnError(err)
	}
}

// Certificate returns the current certificate.
func (p *KeyPair) Certificate() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return p.std
}

// NBServerConfig returns a configuration for nbhttp servers.
func (p *KeyPair) NBServerConfig() *llibtls.Config {
	return &llibtls.Config{
		MinVersion: llibtls.VersionTLS12,
		GetCertificate: func(*llibtls.ClientHelloInfo) (*llibtls.Certificate, error) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.refresh()
			return p.nb, nil
		},
	}
}

// Pool is a set of authorities, which are reloaded when the file changes. It is safe for
// concurrent use.
type Pool struct {
	file string
	// OnError is called with the error of each failed reload; set it before use.
	OnError func(error)

	mu      sync.Mutex
	checked time.Time
	stamp   stamp
	certs   *x509.CertPool
}

// LoadPool loads the authorities in file for the first time.
func LoadPool(file string) (*Pool, error) {
	p := &Pool{file: file, checked: time.Now()}
	if err := p.load(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Pool) load() error {
	s, err := readStamp(p.file)
	if err != nil {
		return err
	}
	b, err := os.ReadFile(p.file)
	if err != nil {
		return errors.Wrap(err, "read authorities")
	}
	certs := x509.NewCertPool()
	if !certs.AppendCertsFromPEM(b) {
		return errors.Errorf("%s has no certificate in PEM", p.file)
	}
	p.certs, p.stamp = certs, s
	return nil
}

// Certificates returns the current authorities.
func (p *Pool) Certificates() *x509.CertPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	return p.certs
}

func (p *Pool) refresh() {
	now := time.Now()
	if now.Sub(p.checked) < checkPeriod {
		return
	}
	p.checked = now
	s, err := readStamp(p.file)
	if err == nil && s == p.stamp {
		return
	}
	if err == nil {
		err = p.load()
	}
	if err != nil && p.OnError != nil {
		p.OnError(err)
	}
}
