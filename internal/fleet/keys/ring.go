package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// protocol is the application protocol of links between VMs.
const protocol = "jasminecove-fleet/1"

// lookEvery is the least span between two looks at the files.
const lookEvery = time.Second

// Ring is a VM's keys. It reads files again when they change, and is safe for
// concurrent use.
type Ring struct {
	folder string

	mu          sync.Mutex
	looked      time.Time
	changed     [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads a VM's folder of keys.
func Load(folder string) (*Ring, error) {
	r := &Ring{folder: folder}
	if err := r.read(); err != nil {
		return nil, err
	}
	return r, nil
}

// VM returns the name that the VM's certificate bears.
func (r *Ring) VM() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.certificate.Leaf.Subject.CommonName
}

// ResetSecret returns a secret that stays the same while the VM's key does. By it
// a VM that has started again tells others at once that it does not know their
// old connections.
func (r *Ring) ResetSecret() ([32]byte, error) {
	if r.folder == "" {
		return sha256.Sum256([]byte("jasminecove stateless reset " + r.VM())), nil
	}
	data, err := os.ReadFile(filepath.Join(r.folder, keyFile))
	if err != nil {
		return [32]byte{}, fmt.Errorf("read key: %w", err)
	}
	return sha256.Sum256(append([]byte("jasminecove stateless reset"), data...)), nil
}

func (r *Ring) read() error {
	key, err := readKey(filepath.Join(r.folder, keyFile))
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(r.folder, certificateFile), filepath.Join(r.folder, keyFile))
	if err != nil {
		return fmt.Errorf("read certificate: %w", err)
	}
	pair.PrivateKey = key
	trusted, err := os.ReadFile(filepath.Join(r.folder, AuthorityFile))
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(trusted) {
		return fmt.Errorf("%s: %w", AuthorityFile, ErrNoPEM)
	}
	r.certificate, r.authorities = &pair, pool
	return nil
}

// refresh reads the files again when one of them changed. Files that cannot be
// read leave the present keys in use.
func (r *Ring) refresh() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.folder != "" && now.Sub(r.looked) >= lookEvery {
		r.looked = now
		if changed := r.times(); changed != r.changed {
			if r.read() == nil {
				r.changed = changed
			}
		}
	}
	return r.certificate, r.authorities
}

func (r *Ring) times() (t [3]time.Time) {
	for i, name := range []string{certificateFile, keyFile, AuthorityFile} {
		if info, err := os.Stat(filepath.Join(r.folder, name)); err == nil {
			t[i] = info.ModTime()
		}
	}
	return t
}

// Server returns the configuration for accepting links.
func (r *Ring) Server() *tls.Config {
	c := r.config()
	c.ClientAuth = tls.RequireAnyClientCert
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		certificate, _ := r.refresh()
		return certificate, nil
	}
	return c
}

// Client returns the configuration for opening links.
func (r *Ring) Client() *tls.Config {
	c := r.config()
	// The peer is verified in VerifyConnection against the authorities as they
	// are at that time; its name is its VM's and not its address.
	c.InsecureSkipVerify = true
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		certificate, _ := r.refresh()
		return certificate, nil
	}
	return c
}

func (r *Ring) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error { return r.verify(s.PeerCertificates) },
	}
}

func (r *Ring) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 || chain[0].Subject.CommonName == "" {
		return ErrPeer
	}
	_, authorities := r.refresh()
	if authorities == nil {
		return nil
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: authorities, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPeer, err)
	}
	return nil
}

// PeerVM returns the VM that a verified peer's certificate names.
func PeerVM(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}

// Operators returns the configuration for the operators' interface, which asks
// for a token in place of a certificate.
func (r *Ring) Operators() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := r.refresh()
			return certificate, nil
		},
	}
}

// OperatorClient returns the configuration of a client that trusts any VM of the
// authorities in a file.
func OperatorClient(authorityFile string) (*tls.Config, error) {
	trusted, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, fmt.Errorf("read authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(trusted) {
		return nil, fmt.Errorf("%s: %w", authorityFile, ErrNoPEM)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Verified below: a VM's certificate names the VM and not its address.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return ErrPeer
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool})
			return err
		},
	}, nil
}
