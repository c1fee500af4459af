package front

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority is a certificate authority that writes its certificates and keys as files.
type authority struct {
	t           testing.TB
	dir         string
	name        string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// newAuthority returns an authority and writes its own certificate and key.
func newAuthority(t testing.TB, dir string, name string) *authority {
	t.Helper()
	a := &authority{
		t:    t,
		dir:  dir,
		name: name,
	}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.certificate = template
	a.certificate = a.createCertificate(name, template, a.key)
	return a
}

// issue writes NAME.crt and NAME.key for a client or a server on 127.0.0.1.
func (a *authority) issue(name string) {
	a.t.Helper()
	a.createCertificate(name, &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}, a.newKey())
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

// createCertificate signs a certificate and writes it and its key.
func (a *authority) createCertificate(name string, template *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.writePEM(name+".crt", "CERTIFICATE", der)
	a.writePEM(name+".key", "PRIVATE KEY", secret)
	c, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

func (a *authority) writePEM(name string, kind string, der []byte) {
	a.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}
