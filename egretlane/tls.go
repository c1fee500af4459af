package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
	"google.golang.org/grpc/credentials"
)

// callerTLS returns the TLS configuration for connections from callers, or nil. If there are certificate authorities,
// callers are asked for a certificate, but need not have one.
func (f TLSFiles) callerTLS() (*tls.Config, error) {
	if f.Cert == "" {
		return nil, nil
	}
	c, err := f.baseTLS()
	if err != nil {
		return nil, errors.Annotate(err, "loading the TLS files for callers")
	}
	if c.RootCAs != nil {
		c.ClientCAs = c.RootCAs
		c.ClientAuth = tls.VerifyClientCertIfGiven
	}
	return c, nil
}

// memberTLS returns the TLS configuration for connections to backend servers, or nil.
func (f TLSFiles) memberTLS() (*tls.Config, error) {
	if f.CA == "" {
		return nil, nil
	}
	c, err := f.baseTLS()
	return c, errors.Annotate(err, "loading the TLS files for backend servers")
}

// peerTLS returns the credentials for connections between proxies, or nil. Both sides present a certificate.
func (f TLSFiles) peerTLS() (credentials.TransportCredentials, error) {
	if f.Cert == "" {
		return nil, nil
	}
	c, err := f.baseTLS()
	if err != nil {
		return nil, errors.Annotate(err, "loading the TLS files for other proxies")
	}
	c.ClientCAs = c.RootCAs
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return credentials.NewTLS(c), nil
}

// baseTLS returns a configuration with the certificate and the authorities that are set.
func (f TLSFiles) baseTLS() (*tls.Config, error) {
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
		return nil, errors.NewNotValid(nil, fmt.Sprintf("CA file %s contains no PEM certificate", f.CA))
	}
	return c, nil
}

// readPassword returns the first line of a file, without surrounding white space. An empty path gives an empty password.
func readPassword(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Annotate(err, "reading the password file for backend servers")
	}
	line, _, _ := strings.Cut(string(data), "\n")
	return strings.TrimSpace(line), nil
}
