package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
)

// Unverified returns keys for a closed network on which no keys were handed out:
// a certificate that the process makes for itself. Peers are named by theirs and
// not authenticated, so that only the fleet's VMs may reach the fleet address.
func Unverified(vm string) (*Ring, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make key: %w", err)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: vm}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if err := complete(template, certificateLife); err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("make certificate: %w", err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	return &Ring{certificate: &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}}, nil
}
