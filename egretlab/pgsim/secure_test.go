package pgsim

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"egretlane.example/egret/egretlab/pgsim/auth"
)

// TestSecure checks that connections are encrypted, that clients need the password, and that replicas
// connect without it.
func TestSecure(t *testing.T) {
	ca := filepath.Join(t.TempDir(), "ca")
	m := startMember(t, "member-1", netip.AddrPort{}, func(s *Server) {
		s.TLS = &tls.Config{
			Certificates: []tls.Certificate{selfSignedCertificate(t, ca)},
		}
		v, err := auth.NewVerifier("mesh")
		if err != nil {
			t.Fatal(err)
		}
		s.Password = v
	})
	c := m.connect(t, "password=mesh sslmode=verify-full sslrootcert="+ca)
	if _, ok := c.PgConn().Conn().(*tls.Conn); !ok {
		t.Error("the connection is not encrypted")
	}
	exec(t, c, "INSERT INTO orders VALUES ('a', '1')")
	m.connect(t, "password=mesh")
	for _, options := range []string{"password=mash", "", "password=mash sslmode=require"} {
		if _, err := m.tryConnect(options); code(err) != "28P01" {
			t.Errorf("connected with %q: %v", options, err)
		}
	}
	two := startMember(t, "member-2", m.address, nil)
	exec(t, two.connect(t, ""), "SELECT * FROM platform.require(1, 2, 10000)")
}

// selfSignedCertificate creates a self-signed certificate and writes it to the file.
func selfSignedCertificate(t *testing.T, file string) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	text := pem.EncodeToMemory(&pem.Block{
		Type:  "CERTIFICATE",
		Bytes: der,
	})
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{
		Certificate: [][]byte{der},
		PrivateKey:  key,
	}
}
