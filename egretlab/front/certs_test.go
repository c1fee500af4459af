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

// authority signs certificates and keeps them as files.
type authority struct {
	t           testing.TB
	dir         string
	name        string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

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
	a.certificate = a.issue(name, template, a.key)
	return a
}

// sign makes NAME.crt and NAME.key for a process on loopback.
func (a *authority) sign(name string) {
	a.t.Helper()
	a.issue(name, &x509.Certificate{
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

func (a *authority) issue(name string, template *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", secret)
	c, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return c
}

func (a *authority) write(name string, kind string, der []byte) {
	a.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}
