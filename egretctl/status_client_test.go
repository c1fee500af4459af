package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"egretlane.example/egret/internal/peerpb"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key, and returns the paths of their files.
func writeCertificate(t *testing.T) (cert string, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert = writePEM(t, "cert.pem", "CERTIFICATE", der)
	return cert, writePEM(t, "key.pem", "PRIVATE KEY", secret)
}

func writePEM(t *testing.T, name string, kind string, data []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	b := &pem.Block{
		Type:  kind,
		Bytes: data,
	}
	if err := os.WriteFile(path, pem.EncodeToMemory(b), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestStatusOverTLS checks that proxies that require a client certificate return their status only to an operator who
// presents one.
func TestStatusOverTLS(t *testing.T) {
	cert, key := writeCertificate(t)
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(pair.Leaf)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer(grpc.Creds(credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS12,
		Certificates: []tls.Certificate{
			pair,
		},
		ClientCAs:  roots,
		ClientAuth: tls.RequireAndVerifyClientCert,
	})))
	peerpb.RegisterPeerServer(s, &fakePeer{
		reply: sampleStatus("proxy-1", 1),
	})
	go func() {
		_ = s.Serve(l)
	}()
	t.Cleanup(s.Stop)
	c := newCommandRecorder(t, &fakeStore{})
	proxy := l.Addr().String()
	c.run(t, exitOK, "status", "--proxy", proxy, "--peer-tls-cert", cert, "--peer-tls-key", key, "--peer-tls-ca", cert)
	c.run(t, exitFailed, "status", "--proxy", proxy)
	c.run(t, exitFailed, "status", "--proxy", proxy, "--peer-tls-ca", cert)
}
