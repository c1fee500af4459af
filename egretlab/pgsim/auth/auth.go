// Package auth authenticates clients by SCRAM-SHA-256, and reads the files with a member's password and TLS
// certificate.
//
//	v, err := auth.NewVerifier(password)
//	err = v.Authenticate(backend)
package auth

import (
	"crypto/rand"
	"crypto/tls"
	"os"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"
)

const (
	// saslMechanism is the only authentication mechanism that is offered.
	saslMechanism = "SCRAM-SHA-256"

	// saltBytes and scramIterations are the values that PostgreSQL uses.
	saltBytes       = 16
	scramIterations = 4096
)

// Verifier authenticates clients with a password. It is safe for concurrent use.
type Verifier struct {
	// server holds the SCRAM keys derived from the password, but not the password itself.
	server *scram.Server
}

// NewVerifier returns a verifier that accepts one password for all users.
func NewVerifier(password string) (*Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, errors.Annotate(err, "password")
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{
		Salt:  string(salt),
		Iters: scramIterations,
	})
	if err != nil {
		return nil, errors.Annotate(err, "password")
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return stored, nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Verifier{
		server: server,
	}, nil
}

// ReadPassword reads a password from the first line of a file.
func ReadPassword(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Trace(err)
	}
	password, _, _ := strings.Cut(string(data), "\n")
	if password == "" {
		return "", errors.NotValidf("empty first line of password file %s", path)
	}
	return password, nil
}

// ReadTLSConfig returns a TLS configuration for a member, with the certificate and the private key in the given
// files. It requires TLS 1.2 or later.
func ReadTLSConfig(certificate string, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS12,
	}, nil
}

// Authenticate authenticates a client by a SASL exchange, and returns an error if the client doesn't prove that it
// knows the password. The caller reports the outcome to the client.
func (v *Verifier) Authenticate(b *pgproto3.Backend) error {
	c := v.server.NewConversation()
	b.Send(&pgproto3.AuthenticationSASL{
		AuthMechanisms: []string{saslMechanism},
	})
	initialResponse, err := flushAndReceive[*pgproto3.SASLInitialResponse](b, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := c.Step(string(initialResponse.Data))
	if err != nil {
		return errors.Trace(err)
	}
	b.Send(&pgproto3.AuthenticationSASLContinue{
		Data: []byte(challenge),
	})
	response, err := flushAndReceive[*pgproto3.SASLResponse](b, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := c.Step(string(response.Data))
	if err != nil {
		return errors.Trace(err)
	}
	if !c.Valid() {
		return errors.Unauthorizedf("client")
	}
	b.Send(&pgproto3.AuthenticationSASLFinal{
		Data: []byte(final),
	})
	return nil
}

// flushAndReceive sends the buffered messages and returns the client's next message, which must be of type M. The
// authType tells the backend how to decode the message.
func flushAndReceive[M pgproto3.FrontendMessage](b *pgproto3.Backend, authType uint32) (M, error) {
	var none M
	if err := b.SetAuthType(authType); err != nil {
		return none, errors.Trace(err)
	}
	if err := b.Flush(); err != nil {
		return none, errors.Trace(err)
	}
	m, err := b.Receive()
	if err != nil {
		return none, errors.Trace(err)
	}
	wanted, ok := m.(M)
	if !ok {
		return none, errors.NotValidf("message %T during SASL authentication", m)
	}
	return wanted, nil
}
