// Package keys creates and reads the keys of a fleet: one certificate authority and a
// certificate for each VM. A running process reads changed files at the next handshake, so
// that keys can be rotated without a restart.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// Errors of key files and peers.
const (
	ErrKeyPermissions  = fault.Sentinel("keys: the key file may be read by others; set its mode to 0600")
	ErrNoPEM           = fault.Sentinel("keys: the file contains no PEM block of the expected type")
	ErrPeerCertificate = fault.Sentinel("keys: the peer has no valid certificate of a VM of the fleet")
)

// File names in a key folder.
const (
	AuthorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
	certificateFile  = "vm.pem"
	keyFile          = "vm.key"
)

// Validity of certificates.
const (
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
	backdate            = time.Hour // Tolerates clock differences between VMs.
)

// File modes and sizes.
const (
	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o700
	othersMask  = 0o077 // Permissions of the group and of others.
	serialBits  = 120
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// CreateAuthority creates a new authority in a folder. Existing authorities remain trusted
// until RetireAuthorities is called.
func CreateAuthority(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("create key: %w", err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "jasminecove fleet"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	if err := complete(template, authorityValidity); err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("create certificate: %w", err)
	}
	if err := writeKey(filepath.Join(folder, authorityKeyFile), key); err != nil {
		return err
	}
	trusted, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	if err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("read authorities: %w", err)
	}
	// The newest authority comes first, where loadAuthority and RetireAuthorities expect it.
	all := append(encode(certificateBlock, der), trusted...)
	return write(filepath.Join(folder, AuthorityFile), all, publicMode)
}

// RetireAuthorities removes all but the newest authority. It must not be called before
// every VM has a certificate issued by that one.
func RetireAuthorities(folder string) error {
	data, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return ErrNoPEM
	}
	return write(filepath.Join(folder, AuthorityFile), pem.EncodeToMemory(block), publicMode)
}

// Issue creates a VM's key and a certificate signed by the newest authority in folder. It
// writes them to the folder into, with the authorities that the VM is to trust.
func Issue(folder, vm, into string) error {
	authority, signer, err := loadAuthority(folder)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(into, folderMode); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("create key: %w", err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: vm}, DNSNames: []string{vm},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if err := complete(template, certificateValidity); err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return fmt.Errorf("create certificate: %w", err)
	}
	if err := Trust(folder, into); err != nil {
		return err
	}
	if err := writeKey(filepath.Join(into, keyFile), key); err != nil {
		return err
	}
	return write(filepath.Join(into, certificateFile), encode(certificateBlock, der), publicMode)
}

// Trust copies the authorities of the fleet into a VM's folder. In a rotation it must be
// called for every VM before the first Issue, so that no VM is presented a certificate of
// an authority that it does not trust yet.
func Trust(folder, into string) error {
	trusted, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	return write(filepath.Join(into, AuthorityFile), trusted, publicMode)
}

// complete sets the serial number and the validity of a certificate.
func complete(c *x509.Certificate, validity time.Duration) error {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return fmt.Errorf("create serial number: %w", err)
	}
	now := time.Now()
	c.SerialNumber, c.NotBefore, c.NotAfter = serial, now.Add(-backdate), now.Add(validity)
	return nil
}

// loadAuthority reads the newest authority and its private key.
func loadAuthority(folder string) (*x509.Certificate, any, error) {
	data, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	if err != nil {
		return nil, nil, fmt.Errorf("read authority: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != certificateBlock {
		return nil, nil, ErrNoPEM
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse authority: %w", err)
	}
	signer, err := readKey(filepath.Join(folder, authorityKeyFile))
	return certificate, signer, err
}

// readKey reads a private key. It refuses a file that the group or others can access.
func readKey(file string) (any, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	if info.Mode().Perm()&othersMask != 0 {
		return nil, fmt.Errorf("%s: %w", file, ErrKeyPermissions)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != keyBlock {
		return nil, fmt.Errorf("%s: %w", file, ErrNoPEM)
	}
	return x509.ParsePKCS8PrivateKey(block.Bytes)
}

func writeKey(file string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	return write(file, encode(keyBlock, der), privateMode)
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// write replaces a file atomically.
func write(file string, data []byte, mode os.FileMode) error {
	temporary := file + ".new"
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	if err := os.Rename(temporary, file); err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return nil
}
