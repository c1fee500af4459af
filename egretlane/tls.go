package main

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/grpc/credentials"
)

// callerTLS returns the configuration towards callers, or nil. A certificate of the caller is asked
// for if there are authorities to check it by, and isn't required.
func (f TLSFiles) callerTLS() (*tls.Config, error) {
	if f.Cert == "" {
		return nil, nil
	}
	c, err := f.base()
	if err != nil {
		return nil, errors.Annotate(err, "TLS towards callers")
	}
	if c.RootCAs != nil {
		c.ClientCAs = c.RootCAs
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return c, nil
}

// memberTLS returns the configuration towards backend servers, or nil.
func (f TLSFiles) memberTLS() (*tls.Config, error) {
	if f.CA == "" {
		return nil, nil
	}
	c, err := f.base()
	return c, errors.Annotate(err, "TLS towards backend servers")
}

// peerTLS returns the credentials between proxies, or nil. Both sides show a certificate.
func (f TLSFiles) peerTLS() (credentials.TransportCredentials, error) {
	if f.Cert == "" {
		return nil, nil
	}
	c, err := f.base()
	if err != nil {
		return nil, errors.Annotate(err, "TLS between proxies")
	}
	c.ClientCAs = c.RootCAs
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return credentials.NewTLS(c), nil
}

func (f TLSFiles) base() (*tls.Config, error) {
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
	}
	if f.Cert != "" {
		pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return nil, errors.Trace(err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	if f.CA == "" {
		return c, nil
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.RootCAs = x509.NewCertPool()
	if !c.RootCAs.AppendCertsFromPEM(data) {
		return nil, errors.NotValidf("authorities %s: no certificate", f.CA)
	}
	return c, nil
}

// readPassword reads a file's first line. An empty path gives an empty password.
func readPassword(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Annotate(err, "password at backend servers")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	return strings.TrimSpace(line), nil
}
