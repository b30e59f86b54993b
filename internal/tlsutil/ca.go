// Package tlsutil creates the certificates of a fleet, and loads certificates from files that
// may be replaced while a process runs.
package tlsutil

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultHostValidity is the default validity of host certificates.
	DefaultHostValidity = 90 * 24 * time.Hour
	// caValidity is the validity of the authority, which is replaced by hand.
	caValidity = 10 * 365 * 24 * time.Hour
	// backdate lets hosts whose clocks are behind accept a new certificate.
	backdate = time.Hour

	serialBits = 127
	keyMode    = 0o600
	certMode   = 0o644
	dirMode    = 0o700

	pemCert = "CERTIFICATE"
	pemKey  = "PRIVATE KEY"
)

// Host is one host to certify.
type Host struct {
	Name string
	IP   netip.Addr
}

// ParseHost parses NAME=IP.
func ParseHost(spec string) (Host, error) {
	name, number, ok := strings.Cut(spec, "=")
	if !ok || name == "" || name != filepath.Base(name) {
		return Host{}, errors.Errorf("%q is not NAME=IP", spec)
	}
	ip, err := netip.ParseAddr(number)
	if err != nil {
		return Host{}, errors.Errorf("%q is not NAME=IP with an IP number", spec)
	}
	return Host{Name: name, IP: ip}, nil
}

// InitOptions are the options of Init.
type InitOptions struct {
	Dir      string
	Hosts    []Host
	Validity time.Duration
	// Renew allows Init to replace existing host certificates; otherwise they are an error.
	Renew bool
}

// Files has the paths of the files that Init writes.
type Files struct {
	CA    string     `json:"ca"`
	CAKey string     `json:"ca_key"`
	Hosts []HostFile `json:"hosts"`
}

// HostFile is one host's certificate and key.
type HostFile struct {
	Host string `json:"host"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// authority signs host certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Init creates an authority in o.Dir, or uses the existing one, and creates a certificate for
// each host. A certificate is for the host's IP number and valid for both ends of mutual TLS.
func Init(o InitOptions) (*Files, error) {
	if len(o.Hosts) == 0 {
		return nil, errors.New("no hosts to certify")
	}
	if o.Validity <= 0 {
		return nil, errors.New("the validity must be greater than 0")
	}
	if err := os.MkdirAll(o.Dir, dirMode); err != nil {
		return nil, errors.Wrap(err, "create the folder")
	}
	files := &Files{CA: filepath.Join(o.Dir, "ca.pem"), CAKey: filepath.Join(o.Dir, "ca-key.pem")}
	for _, h := range o.Hosts {
		files.Hosts = append(files.Hosts, HostFile{
			Host: h.Name, Cert: filepath.Join(o.Dir, h.Name+".pem"), Key: filepath.Join(o.Dir, h.Name+"-key.pem")})
	}
	if err := files.checkExisting(o.Renew); err != nil {
		return nil, err
	}
	ca, err := loadOrMakeAuthority(files)
	if err != nil {
		return nil, err
	}
	for i, h := range o.Hosts {
		if err := ca.issue(h, o.Validity, files.Hosts[i]); err != nil {
			return nil, err
		}
	}
	return files, nil
}

// checkExisting returns an error if host certificates exist and renew is not set, since they may be
// in use.
func (f *Files) checkExisting(renew bool) error {
	for _, h := range f.Hosts {
		if h.Host == "ca" {
			return errors.New("a host can't have the name ca, which is that of the authority's files")
		}
		if _, err := os.Stat(h.Cert); err == nil && !renew {
			return errors.Errorf("%s exists; renew it with --renew", h.Cert)
		}
	}
	return nil
}

func loadOrMakeAuthority(f *Files) (*authority, error) {
	certPEM, err := os.ReadFile(f.CA)
	if os.IsNotExist(err) {
		return makeAuthority(f)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the authority")
	}
	keyPEM, err := os.ReadFile(f.CAKey)
	if err != nil {
		return nil, errors.Wrap(err, "read the authority's key")
	}
	return parseAuthority(certPEM, keyPEM)
}

func parseAuthority(certPEM, keyPEM []byte) (*authority, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, errors.New("the authority is not in PEM")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority")
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the authority's key")
	}
	ecKey, ok := key.(*ecdsa.PrivateKey)
	if !ok || !ecKey.PublicKey.Equal(cert.PublicKey) {
		return nil, errors.New("the authority's key does not match its certificate")
	}
	return &authority{cert: cert, key: ecKey}, nil
}

func makeAuthority(f *Files) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "create the authority's key")
	}
	template := newTemplate("bluebellsail authority", caValidity)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create the authority")
	}
	if err := writePair(f.CA, f.CAKey, der, key); err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &authority{cert: cert, key: key}, errors.Wrap(err, "parse the authority")
}

// issue creates the key and the certificate of one host.
func (a *authority) issue(h Host, validity time.Duration, f HostFile) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "create a host's key")
	}
	template := newTemplate(h.Name, validity)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{h.IP.AsSlice()}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrapf(err, "certify host %s", h.Name)
	}
	return writePair(f.Cert, f.Key, der, key)
}

func newTemplate(name string, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits)) // never fails
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}
}

// writePair writes the key before the certificate. A process that reads the files between the
// two writes gets a pair that doesn't match, and keeps the one that it has.
func writePair(certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode a key")
	}
	if err := replaceFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: keyDER}), keyMode); err != nil {
		return err
	}
	return replaceFile(certFile, pem.EncodeToMemory(&pem.Block{Type: pemCert, Bytes: der}), certMode)
}

// replaceFile replaces a file atomically: a reader gets the old or the new content, never a
// part of it.
func replaceFile(file string, content []byte, mode os.FileMode) error {
	temporary := file + ".new"
	if err := os.WriteFile(temporary, content, mode); err != nil {
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(os.Rename(temporary, file), "replace a file")
}
