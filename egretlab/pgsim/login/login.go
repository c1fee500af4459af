// Package login makes clients prove a password by SCRAM-SHA-256, and reads what a member needs to be
// proved itself.
//
//	v, err := login.NewVerifier(password)
//	err = v.Prove(backend)
package login

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
	// mechanism is the one way of proof.
	mechanism = "SCRAM-SHA-256"

	// saltBytes and iterations are those of PostgreSQL.
	saltBytes  = 16
	iterations = 4096
)

// Verifier proves clients. It is safe for concurrent use.
type Verifier struct {
	// server has the password's keys, and not the password.
	server *scram.Server
}

// NewVerifier returns a verifier of one password for all users.
func NewVerifier(password string) (*Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, errors.Annotate(err, "password")
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{
		Salt:  string(salt),
		Iters: iterations,
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
		return "", errors.NotValidf("an empty password in %s", path)
	}
	return password, nil
}

// ReadCertificate reads the certificate that a member shows, and its key.
func ReadCertificate(certificate string, key string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS12,
	}, nil
}

// Prove makes a client prove the password. The caller tells the client of the outcome.
func (v *Verifier) Prove(b *pgproto3.Backend) error {
	c := v.server.NewConversation()
	b.Send(&pgproto3.AuthenticationSASL{
		AuthMechanisms: []string{mechanism},
	})
	first, err := receive[*pgproto3.SASLInitialResponse](b, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	challenge, err := c.Step(string(first.Data))
	if err != nil {
		return errors.Trace(err)
	}
	b.Send(&pgproto3.AuthenticationSASLContinue{
		Data: []byte(challenge),
	})
	second, err := receive[*pgproto3.SASLResponse](b, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, err := c.Step(string(second.Data))
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

// receive writes what waits, and returns the client's next message of the proof.
func receive[M pgproto3.FrontendMessage](b *pgproto3.Backend, state uint32) (M, error) {
	var none M
	if err := b.SetAuthType(state); err != nil {
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
		return none, errors.NotValidf("message %T during the proof", m)
	}
	return wanted, nil
}
