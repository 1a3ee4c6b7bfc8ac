// Package keys makes and reads the fleet's keys: one authority for the fleet and
// a certificate for each VM. A running process reads changed files at the next
// handshake, so that keys rotate without a stop.
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

// Failures of keys.
const (
	ErrReadable = fault.Sentinel("keys: the key file may be read by others; set its mode to 0600")
	ErrNoPEM    = fault.Sentinel("keys: the file holds no PEM block of the expected type")
	ErrPeer     = fault.Sentinel("keys: the peer's certificate names no VM of the fleet")
)

// Names in a folder of keys.
const (
	AuthorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
	certificateFile  = "vm.pem"
	keyFile          = "vm.key"
)

// Lives of what is made.
const (
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 365 * 24 * time.Hour
	backdate        = time.Hour // Allows for clocks that differ.
)

// Modes and sizes.
const (
	privateMode = 0o600
	publicMode  = 0o644
	folderMode  = 0o700
	othersMask  = 0o077
	serialBits  = 120
)

const (
	certificateBlock = "CERTIFICATE"
	keyBlock         = "PRIVATE KEY"
)

// CreateAuthority makes a new authority in a folder. An authority that is there
// stays trusted beside the new one until RetireAuthorities.
func CreateAuthority(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: "jasminecove fleet"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	if err := complete(template, authorityLife); err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("make certificate: %w", err)
	}
	if err := writeKey(filepath.Join(folder, authorityKeyFile), key); err != nil {
		return err
	}
	trusted, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	if err != nil && !os.IsNotExist(err) {
		return fmt.Errorf("read authorities: %w", err)
	}
	// The newest authority stands first.
	all := append(encode(certificateBlock, der), trusted...)
	return write(filepath.Join(folder, AuthorityFile), all, publicMode)
}

// RetireAuthorities keeps only the newest authority. It follows once every VM has
// a certificate of that one.
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

// Issue makes a VM's certificate, signed by the authority in folder, in a folder
// of its own with the authorities that the VM is to trust.
func Issue(folder, vm, into string) error {
	authority, signer, err := loadAuthority(folder)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(into, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: vm}, DNSNames: []string{vm},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if err := complete(template, certificateLife); err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return fmt.Errorf("make certificate: %w", err)
	}
	if err := Trust(folder, into); err != nil {
		return err
	}
	if err := writeKey(filepath.Join(into, keyFile), key); err != nil {
		return err
	}
	return write(filepath.Join(into, certificateFile), encode(certificateBlock, der), publicMode)
}

// Trust gives a VM's folder the authorities of the fleet. In a rotation it comes
// before Issue for every VM, so that no VM meets an authority that it does not
// trust yet.
func Trust(folder, into string) error {
	trusted, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	if err != nil {
		return fmt.Errorf("read authorities: %w", err)
	}
	return write(filepath.Join(into, AuthorityFile), trusted, publicMode)
}

func complete(c *x509.Certificate, life time.Duration) error {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return fmt.Errorf("make serial number: %w", err)
	}
	now := time.Now()
	c.SerialNumber, c.NotBefore, c.NotAfter = serial, now.Add(-backdate), now.Add(life)
	return nil
}

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

// readKey reads a private key that nobody else may read.
func readKey(file string) (any, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	if info.Mode().Perm()&othersMask != 0 {
		return nil, fmt.Errorf("%s: %w", file, ErrReadable)
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

// write puts a file in place as a whole.
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
