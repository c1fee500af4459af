package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// verifier returns the credentials in PostgreSQL's form.
func verifier(s scram.StoredCredentials) string {
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", scramMechanism, s.Iters, encode([]byte(s.Salt)), encode(s.StoredKey), encode(s.ServerKey))
}

// wantCode checks the SQLSTATE of an error.
func wantCode(t *testing.T, err error, code string) {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		t.Errorf("error = %v, want SQLSTATE %s", err, code)
	}
}

func TestPasswords(t *testing.T) {
	known := credentials(t)
	ts := startServer(t, func(s *Server) {
		s.Credentials = known
	})
	for _, c := range []struct {
		user, password string
		code           string
	}{
		{user: user, password: password},
		{user: user, password: "wrong", code: "28P01"},
		{user: "stranger", password: password, code: "28P01"},
		{user: user, password: "", code: "28P01"},
	} {
		t.Run(c.user+"/"+c.password, func(t *testing.T) {
			config := ts.config("")
			config.User = c.user
			config.Password = c.password
			conn, err := pgconn.ConnectConfig(t.Context(), config)
			if c.code != "" {
				wantCode(t, err, c.code)
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			conn.Close(context.Background())
		})
	}
}

// TestUnknownCallerLooksKnown checks that an unknown caller gets a decoy verifier that can't be told from a real one:
// with the iteration count of a known caller, a salt of the same length that differs between names, and the same salt
// in each attempt.
func TestUnknownCallerLooksKnown(t *testing.T) {
	c := credentials(t)
	first := c.lookUp("stranger")
	if again := c.lookUp("stranger"); again.Salt != first.Salt {
		t.Error("the salt of an unknown caller changes")
	}
	if other := c.lookUp("visitor"); other.Salt == first.Salt {
		t.Error("two unknown callers have the same salt")
	}
	if first.Iters != c.lookUp(user).Iters || len(first.Salt) != 16 {
		t.Errorf("unknown caller: %d iterations, %d bytes of salt", first.Iters, len(first.Salt))
	}
}

func TestCredentialsReportAllFaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "credentials")
	good := verifier(scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  "salt",
			Iters: 4096,
		},
		StoredKey: make([]byte, 32),
		ServerKey: make([]byte, 32),
	})
	lines := []string{
		"a:" + good, "a:" + good, ":" + good, "b:plain", "c:" + strings.Replace(good, "4096", "0", 1),
		"d:SCRAM-SHA-256$1:c2FsdA==$c2VjcmV0:c2VjcmV0",
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := ReadCredentials(path)
	if err == nil {
		t.Fatal("no error")
	}
	for _, line := range []string{"line 2:", "line 3:", "line 4:", "line 5:", "line 6:"} {
		if !strings.Contains(err.Error(), line) {
			t.Errorf("the error lacks %q: %v", line, err)
		}
	}
	if strings.Contains(err.Error(), "c2VjcmV0") {
		t.Errorf("the error has a secret: %v", err)
	}
}

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pool        *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{
		certificate: &x509.Certificate{
			SerialNumber:          big.NewInt(1),
			Subject:               pkix.Name{CommonName: "authority"},
			NotAfter:              time.Now().Add(time.Hour),
			IsCA:                  true,
			BasicConstraintsValid: true,
			KeyUsage:              x509.KeyUsageCertSign,
		},
		key:  key,
		pool: x509.NewCertPool(),
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.pool.AddCert(a.certificate)
	return a
}

func (a *authority) sign(t *testing.T, name string) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{
		Certificate: [][]byte{der},
		PrivateKey:  key,
	}
}

func TestClientCertificate(t *testing.T) {
	a := newAuthority(t)
	known := credentials(t)
	ts := startServer(t, func(s *Server) {
		s.Credentials = known
		s.RequireTLS = true
		s.TLS = &tls.Config{
			Certificates: []tls.Certificate{a.sign(t, "proxy")},
			ClientCAs:    a.pool,
			ClientAuth:   tls.VerifyClientCertIfGiven,
		}
	})
	otherAuthority := newAuthority(t)
	for _, c := range []struct {
		name        string
		certificate []tls.Certificate
		plain, ok   bool
	}{
		{name: "its own certificate", certificate: []tls.Certificate{a.sign(t, user)}, ok: true},
		{name: "another caller's certificate", certificate: []tls.Certificate{a.sign(t, "club")}},
		{name: "a foreign authority's certificate", certificate: []tls.Certificate{otherAuthority.sign(t, user)}},
		{name: "no certificate and no password"},
		{name: "plain text", plain: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := ts.config("")
			config.Fallbacks = nil
			if !c.plain {
				config.TLSConfig = &tls.Config{
					RootCAs:      a.pool,
					ServerName:   "127.0.0.1",
					Certificates: c.certificate,
				}
			}
			conn, err := pgconn.ConnectConfig(t.Context(), config)
			if (err == nil) != c.ok {
				t.Errorf("ConnectConfig() = %v, want success: %v", err, c.ok)
			}
			if err == nil {
				conn.Close(context.Background())
			}
		})
	}
	ts.waitRefused("tls", 2)
	ts.waitRefused("credentials", 2)
}

// TestEncryptionAskedTwice checks that a request for encryption on an encrypted connection is refused.
func TestEncryptionAskedTwice(t *testing.T) {
	a := newAuthority(t)
	ts := startServer(t, func(s *Server) {
		s.TLS = &tls.Config{
			Certificates: []tls.Certificate{a.sign(t, "proxy")},
		}
	})
	n, f := ts.dial()
	f.Send(&pgproto3.SSLRequest{})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	answer := [1]byte{}
	if _, err := n.Read(answer[:]); err != nil || answer[0] != 'S' {
		t.Fatalf("answer %q, %v", answer, err)
	}
	encrypted := tls.Client(n, &tls.Config{
		RootCAs:    a.pool,
		ServerName: "127.0.0.1",
	})
	inner := pgproto3.NewFrontend(encrypted, encrypted)
	inner.Send(&pgproto3.SSLRequest{})
	if err := inner.Flush(); err != nil {
		t.Fatal(err)
	}
	if e := expect[*pgproto3.ErrorResponse](t, inner); e.Code != "08P01" {
		t.Errorf("SQLSTATE %s, want 08P01", e.Code)
	}
}
