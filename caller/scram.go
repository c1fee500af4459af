package caller

import (
	"crypto/hmac"
	"crypto/sha256"
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

// What PostgreSQL gives a verifier if nothing else is asked for.
const (
	defaultIterations = 4096
	saltBytes         = 16
)

// Credentials holds the verifiers of callers. It is read-only once shared.
type Credentials struct {
	// verifiers has one verifier for each caller.
	verifiers map[string]scram.StoredCredentials

	// decoy is a secret made from the file, the same on all proxies that have the file.
	decoy [sha256.Size]byte

	// iterations is that of the first verifier.
	iterations int
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
		verifiers:  make(map[string]scram.StoredCredentials),
		decoy:      sha256.Sum256(data),
		iterations: defaultIterations,
	}
	var faults []string
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.take(line); err != nil {
			faults = append(faults, "line "+strconv.Itoa(i+1)+": "+err.Error())
		}
	}
	if len(faults) > 0 {
		return nil, errors.Errorf("callers' credentials %s: %s", path, strings.Join(faults, "; "))
	}
	return c, nil
}

// take adds a line of the file.
func (c *Credentials) take(line string) error {
	name, verifier, _ := strings.Cut(line, ":")
	v, err := parseVerifier(verifier)
	if err != nil {
		return err
	}
	if name == "" {
		return errors.New("the caller's name is missing")
	}
	if _, taken := c.verifiers[name]; taken {
		return errors.Errorf("the caller %q has a verifier already", name)
	}
	if len(c.verifiers) == 0 {
		c.iterations = v.Iters
	}
	c.verifiers[name] = v
	return nil
}

// lookUp returns the verifier of a caller. An unknown caller gets one that no password fits and that
// looks like the others, so that names can't be probed.
func (c *Credentials) lookUp(name string) scram.StoredCredentials {
	if v, known := c.verifiers[name]; known {
		return v
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  string(c.derive("salt", name)[:saltBytes]),
			Iters: c.iterations,
		},
		StoredKey: c.derive("stored-key", name),
		ServerKey: c.derive("server-key", name),
	}
}

func (c *Credentials) derive(use, name string) []byte {
	h := hmac.New(sha256.New, c.decoy[:])
	h.Write([]byte(use + "\x00" + name))
	return h.Sum(nil)
}

func parseVerifier(s string) (scram.StoredCredentials, error) {
	parts := strings.FieldsFunc(s, func(r rune) bool {
		return r == '$' || r == ':'
	})
	if len(parts) != 5 || parts[0] != mechanism {
		return scram.StoredCredentials{}, errors.New("the verifier is not of the form SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil || iterations < 1 {
		return scram.StoredCredentials{}, errors.New("the verifier's iterations are no number above zero")
	}
	var fields [3][]byte
	for i, p := range parts[2:] {
		fields[i], err = base64.StdEncoding.DecodeString(p)
		if err != nil {
			return scram.StoredCredentials{}, errors.New("the verifier is not in base64")
		}
	}
	if len(fields[1]) != sha256.Size || len(fields[2]) != sha256.Size {
		return scram.StoredCredentials{}, errors.New("the verifier's keys are not of 32 bytes")
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
	stored := s.Credentials.lookUp(c.Start.User)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
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
