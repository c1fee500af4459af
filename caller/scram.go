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

// scramMechanism is the only supported SASL mechanism.
const scramMechanism = "SCRAM-SHA-256"

// PostgreSQL's defaults for new verifiers.
const (
	defaultIterations = 4096
	decoySaltBytes    = 16
)

// Credentials holds the SCRAM verifiers of callers. It is immutable after ReadCredentials.
type Credentials struct {
	// verifiers has the verifiers by the callers' names.
	verifiers map[string]scram.StoredCredentials

	// decoyKey is the key from which the verifiers of unknown callers are derived. It is a hash of the credentials file,
	// so it is the same on all proxies that have the same file.
	decoyKey [sha256.Size]byte

	// decoyIterations is the iteration count for unknown callers: that of the first verifier in the file.
	decoyIterations int
}

// ReadCredentials reads verifiers from a file with lines of the form NAME:VERIFIER, where the verifier has PostgreSQL's
// form SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY. The error reports all invalid lines. It contains no part of a
// verifier.
func ReadCredentials(path string) (*Credentials, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read caller credentials")
	}
	c := &Credentials{
		verifiers:       make(map[string]scram.StoredCredentials),
		decoyKey:        sha256.Sum256(data),
		decoyIterations: defaultIterations,
	}
	var problems []string
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.addLine(line); err != nil {
			problems = append(problems, "line "+strconv.Itoa(i+1)+": "+err.Error())
		}
	}
	if len(problems) > 0 {
		return nil, errors.Errorf("invalid caller credentials in %s: %s", path, strings.Join(problems, "; "))
	}
	return c, nil
}

// addLine adds the verifier of a line of the file.
func (c *Credentials) addLine(line string) error {
	name, verifier, _ := strings.Cut(line, ":")
	v, err := parseVerifier(verifier)
	if err != nil {
		return err
	}
	if name == "" {
		return errors.New("missing caller name")
	}
	if _, taken := c.verifiers[name]; taken {
		return errors.Errorf("duplicate verifier for caller %q", name)
	}
	if len(c.verifiers) == 0 {
		c.decoyIterations = v.Iters
	}
	c.verifiers[name] = v
	return nil
}

// lookUp returns the verifier of a caller. For an unknown caller it returns a decoy that no password matches and that
// can't be told from a real verifier, so that names can't be probed.
func (c *Credentials) lookUp(name string) scram.StoredCredentials {
	if v, known := c.verifiers[name]; known {
		return v
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  string(c.deriveDecoy("salt", name)[:decoySaltBytes]),
			Iters: c.decoyIterations,
		},
		StoredKey: c.deriveDecoy("stored-key", name),
		ServerKey: c.deriveDecoy("server-key", name),
	}
}

// deriveDecoy returns a part of the decoy verifier for the name. It is the same for each attempt.
func (c *Credentials) deriveDecoy(use, name string) []byte {
	h := hmac.New(sha256.New, c.decoyKey[:])
	h.Write([]byte(use + "\x00" + name))
	return h.Sum(nil)
}

func parseVerifier(s string) (scram.StoredCredentials, error) {
	parts := strings.FieldsFunc(s, func(r rune) bool {
		return r == '$' || r == ':'
	})
	if len(parts) != 5 || parts[0] != scramMechanism {
		return scram.StoredCredentials{}, errors.New("verifier is not of the form SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil || iterations < 1 {
		return scram.StoredCredentials{}, errors.New("iteration count of the verifier is not a positive integer")
	}
	var fields [3][]byte
	for i, p := range parts[2:] {
		fields[i], err = base64.StdEncoding.DecodeString(p)
		if err != nil {
			return scram.StoredCredentials{}, errors.New("salt or key of the verifier is not valid base64")
		}
	}
	if len(fields[1]) != sha256.Size || len(fields[2]) != sha256.Size {
		return scram.StoredCredentials{}, errors.New("keys of the verifier are not 32 bytes long")
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

// authenticate verifies the caller's name by its client certificate or by password. It accepts every caller if the
// server has no credentials.
func (s *Server) authenticate(c *Conn) error {
	if s.Credentials == nil || hasClientCertificate(c, c.Startup.User) {
		return nil
	}
	stored := s.Credentials.lookUp(c.Startup.User)
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return stored, nil
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := authenticateSCRAM(c, server.NewConversation()); err != nil {
		// The message is the same for an unknown caller and a wrong password, so that names can't be probed.
		return c.refuse("credentials", "28P01", "the caller \""+c.Startup.User+"\" is not proved", nil)
	}
	return nil
}

// hasClientCertificate reports whether the connection has a verified client certificate for the user.
func hasClientCertificate(c *Conn, user string) bool {
	t, ok := c.netConn.(*tls.Conn)
	if !ok {
		return false
	}
	chains := t.ConnectionState().VerifiedChains
	return len(chains) > 0 && chains[0][0].Subject.CommonName == user
}

// authenticateSCRAM runs the SASL exchange with the caller. It returns an error unless the password is right.
func authenticateSCRAM(c *Conn, v *scram.ServerConversation) error {
	c.send(&pgproto3.AuthenticationSASL{
		AuthMechanisms: []string{scramMechanism},
	})
	first, err := receiveSASL[*pgproto3.SASLInitialResponse](c, pgproto3.AuthTypeSASL)
	if err != nil {
		return errors.Trace(err)
	}
	if first.AuthMechanism != scramMechanism {
		return errors.NotValidf("mechanism %q", first.AuthMechanism)
	}
	// PostgreSQL clients leave the user name empty here: the start-up message has it.
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
		return errors.Unauthorizedf("caller %q", c.Startup.User)
	}
	c.send(&pgproto3.AuthenticationSASLFinal{
		Data: []byte(final),
	})
	return nil
}

// receiveSASL flushes the output and reads the caller's next SASL message, which must be of type M.
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
	response, ok := m.(M)
	if !ok {
		return none, &egret.Failure{
			Outcome: egret.OutcomeNotRun,
			Code:    egret.CodeProtocol,
			Message: "a message of the proof was expected",
		}
	}
	return response, nil
}
