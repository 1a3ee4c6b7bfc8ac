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

// protocol is the ALPN protocol of connections between VMs.
const protocol = "jasminecove-fleet/1"

// checkInterval is the shortest interval between two checks of the files for changes.
const checkInterval = time.Second

// Ring holds a VM's keys. It reads the files again when they change. It is safe for
// concurrent use.
type Ring struct {
	folder string

	mu          sync.Mutex
	checkedAt   time.Time
	modTimes    [3]time.Time // Of the files at the last read.
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads a VM's key folder.
func Load(folder string) (*Ring, error) {
	r := &Ring{folder: folder}
	if err := r.read(); err != nil {
		return nil, err
	}
	return r, nil
}

// VM returns the name in the VM's certificate.
func (r *Ring) VM() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.certificate.Leaf.Subject.CommonName
}

// ResetSecret returns the secret for QUIC stateless resets. It is derived from
// the VM's key, or from its name without key files, and stays the same across restarts, so
// that a restarted VM can reset the connections from before the restart at once.
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

// read loads the keys and authorities from the files.
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

// refresh reads the files again if one of them changed and returns the present keys. If
// the files cannot be read, the loaded keys remain in use.
func (r *Ring) refresh() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.folder != "" && now.Sub(r.checkedAt) >= checkInterval {
		r.checkedAt = now
		if modTimes := r.readModTimes(); modTimes != r.modTimes {
			if r.read() == nil {
				r.modTimes = modTimes
			}
		}
	}
	return r.certificate, r.authorities
}

// readModTimes returns the modification times of the files.
func (r *Ring) readModTimes() (t [3]time.Time) {
	for i, name := range []string{certificateFile, keyFile, AuthorityFile} {
		if info, err := os.Stat(filepath.Join(r.folder, name)); err == nil {
			t[i] = info.ModTime()
		}
	}
	return t
}

// Server returns the TLS configuration for accepting connections from other VMs.
func (r *Ring) Server() *tls.Config {
	c := r.config()
	c.ClientAuth = tls.RequireAnyClientCert
	c.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		certificate, _ := r.refresh()
		return certificate, nil
	}
	return c
}

// Client returns the TLS configuration for connecting to other VMs.
func (r *Ring) Client() *tls.Config {
	c := r.config()
	// VerifyConnection verifies the peer against the authorities loaded at that time.
	// The default verification would compare the certificate with the peer's address,
	// but the certificate names the VM.
	c.InsecureSkipVerify = true
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		certificate, _ := r.refresh()
		return certificate, nil
	}
	return c
}

// config returns the common part of both configurations. It leaves out the hybrid key exchange,
// which takes several times the processor time: in a large fleet a VM opens dozens of
// connections when it starts.
func (r *Ring) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, SessionTicketsDisabled: true, CurvePreferences: []tls.CurveID{tls.X25519},
		VerifyConnection: func(s tls.ConnectionState) error { return r.verify(s.PeerCertificates) },
	}
}

// verify checks that a peer certificate names a VM and was issued by a trusted authority.
// Without authorities, only the name is required.
func (r *Ring) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 || chain[0].Subject.CommonName == "" {
		return ErrPeerCertificate
	}
	_, authorities := r.refresh()
	if authorities == nil {
		return nil
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: authorities, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrPeerCertificate, err)
	}
	return nil
}

// PeerVM returns the VM named in the certificate of a verified peer.
func PeerVM(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 {
		return ""
	}
	return s.PeerCertificates[0].Subject.CommonName
}

// OperatorServer returns the TLS configuration for the operators' interface, which requires a
// token instead of a client certificate.
func (r *Ring) OperatorServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := r.refresh()
			return certificate, nil
		},
	}
}

// OperatorClient returns the TLS configuration of a client that accepts the certificate of
// any VM issued by the authorities in a file.
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
		// VerifyConnection verifies the certificate, which names the VM and not its address.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if len(s.PeerCertificates) == 0 {
				return ErrPeerCertificate
			}
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool})
			return err
		},
	}, nil
}
