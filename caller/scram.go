package caller

import (
	"crypto/tls"
	"encoding/base64"
	"os"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"

	"egretlane.example/egret"
)

// mechanism is the one way of proof by password.
const mechanism = "SCRAM-SHA-256"

// Credentials holds the verifiers of callers. It is read-only once shared.
type Credentials struct {
	// verifiers has one verifier for each caller.
	verifiers map[string]scram.StoredCredentials
}

// ReadCredentials reads verifiers from a file with lines of the form NAME:VERIFIER, where the
// verifier has PostgreSQL's form SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY. All faults are
// reported together. No verifier appears in an error.
func ReadCredentials(path string) (*Credentials, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "callers' credentials")
	}
	c := &Credentials{
		verifiers: make(map[string]scram.StoredCredentials),
	}
	var faults []string
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, verifier, _ := strings.Cut(line, ":")
		v, err := parseVerifier(verifier)
		if err != nil {
			faults = append(faults, "line "+strconv.Itoa(i+1)+": "+err.Error())
			continue
		}
		c.verifiers[name] = v
	}
	if len(faults) > 0 {
		return nil, errors.NotValidf("callers' credentials %s: %s", path, strings.Join(faults, "; "))
	}
	return c, nil
}

func parseVerifier(s string) (scram.StoredCredentials, error) {
	parts := strings.FieldsFunc(s, func(r rune) bool {
		return r == '$' || r == ':'
	})
	if len(parts) != 5 || parts[0] != mechanism {
		return scram.StoredCredentials{}, errors.New("the verifier is not of the form SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil {
		return scram.StoredCredentials{}, errors.New("the verifier's iterations are no number")
	}
	var fields [3][]byte
	for i, p := range parts[2:] {
		fields[i], err = base64.StdEncoding.DecodeString(p)
		if err != nil {
			return scram.StoredCredentials{}, errors.New("the verifier is not in base64")
		}
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  string(fields[0]),
			Iters: iterations,
		},
		StoredKey: fields[1],
		ServerKey: fields[2],
	}, nil
}

// prove makes the caller prove its name, by a client certificate or by password.
func (s *Server) prove(c *Conn) error {
	if s.Credentials == nil || certifies(c, c.Start.User) {
		return nil
	}
	stored, known := s.Credentials.verifiers[c.Start.User]
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		if !known {
			return scram.StoredCredentials{}, errors.NotFoundf("caller")
		}
		return stored, nil
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := converse(c, server.NewConversation()); err != nil {
		// One message for an unknown caller and a wrong password, so that names can't be probed.
		return c.refuse("credentials", "28P01", "the caller \""+c.Start.User+"\" is not proved", nil)
	}
	return nil
}

func certifies(c *Conn, user string) bool {
	t, ok := c.net.(*tls.Conn)
	if !ok {
		return false
	}
	chains := t.ConnectionState().VerifiedChains
	return len(chains) > 0 && chains[0][0].Subject.CommonName == user
}

func converse(c *Conn, v *scram.ServerConversation) error {
	c.send(&pgproto3.AuthenticationSASL{
		AuthMechanisms: []string{mechanism},
	})
	first, err := receiveSASL[*pgproto3.SASLInitialResponse](c, pgproto3.AuthTypeSASL)
	if err != nil {
		return errors.Trace(err)
	}
	if first.AuthMechanism != mechanism {
		return errors.NotValidf("mechanism %q", first.AuthMechanism)
	}
	// PostgreSQL's clients leave the name out here: the start-up message has it.
	challenge, err := v.Step(string(first.Data))
	if err != nil {
		return errors.Trace(err)
	}
	c.send(&pgproto3.AuthenticationSASLContinue{
		Data: []byte(challenge),
	})
	second, err := receiveSASL[*pgproto3.SASLResponse](c, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return errors.Trace(err)
	}
	final, err := v.Step(string(second.Data))
	if err != nil {
		return errors.Trace(err)
	}
	if !v.Valid() {
		return errors.Unauthorizedf("caller %q", c.Start.User)
	}
	c.send(&pgproto3.AuthenticationSASLFinal{
		Data: []byte(final),
	})
	return nil
}

func receiveSASL[M pgproto3.FrontendMessage](c *Conn, authType uint32) (M, error) {
	var none M
	if err := c.Flush(); err != nil {
		return none, errors.Trace(err)
	}
	if err := c.backend.SetAuthType(authType); err != nil {
		return none, errors.Trace(err)
	}
	m, err := c.backend.Receive()
	if err != nil {
		return none, errors.Trace(err)
	}
	answer, ok := m.(M)
	if !ok {
		return none, &egret.Failure{
			Outcome: egret.NotRun,
			Code:    egret.CodeProtocol,
			Message: "a message of the proof was expected",
		}
	}
	return answer, nil
}
