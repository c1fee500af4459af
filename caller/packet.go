package caller

import (
	"cmp"
	"encoding/binary"
	"io"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Bounds of a start-up packet, as PostgreSQL has them. The length counts itself.
const (
	minPacketBytes = 8
	maxPacketBytes = 10000
)

// The request codes of start-up packets that are no start-up message.
const (
	codeCancel = 80877102
	codeTLS    = 80877103
	codeGSS    = 80877104
)

// Protocol versions. A minor version differs from the last in details that can be negotiated.
const (
	majorVersion  = 3
	newestVersion = pgproto3.ProtocolVersion32
)

// optionPrefix starts the names of protocol options, which are negotiated and no settings.
const optionPrefix = "_pq_."

// readPacket reads one start-up packet and no byte beyond it, so that what follows a request for
// encryption is never taken for plain text.
func readPacket(r io.Reader) (pgproto3.FrontendMessage, error) {
	head := [4]byte{}
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < minPacketBytes || size > maxPacketBytes {
		return nil, errors.NotValidf("a length of %d bytes", size)
	}
	body := make([]byte, size-uint32(len(head)))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Annotate(err, "a packet cut short")
	}
	return decodePacket(body)
}

func decodePacket(body []byte) (pgproto3.FrontendMessage, error) {
	code := binary.BigEndian.Uint32(body)
	switch {
	case code == codeTLS:
		return &pgproto3.SSLRequest{}, nil
	case code == codeGSS:
		return &pgproto3.GSSEncRequest{}, nil
	case code == codeCancel:
		m := &pgproto3.CancelRequest{}
		return m, errors.Trace(m.Decode(body))
	case code>>16 == majorVersion:
		return decodeStartup(code, body)
	default:
		return nil, errors.NotSupportedf("version %d.%d of the protocol", code>>16, code&0xffff)
	}
}

// decodeStartup decodes a start-up message of any minor version. The library knows some of them only.
func decodeStartup(version uint32, body []byte) (*pgproto3.StartupMessage, error) {
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(body); err != nil {
		return nil, errors.Trace(err)
	}
	m.ProtocolVersion = version
	return m, nil
}

// negotiate tells a caller that asks for a newer version or for options what it gets instead.
func (c *Conn) negotiate(m *pgproto3.StartupMessage) {
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, optionPrefix) {
			unknown = append(unknown, name)
		}
	}
	if m.ProtocolVersion <= newestVersion && len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	c.send(&pgproto3.NegotiateProtocolVersion{
		NewestMinorProtocol: min(m.ProtocolVersion, newestVersion),
		UnrecognizedOptions: unknown,
	})
}

// setting is a session's setting from the start-up message.
type setting struct {
	// name is in lower case.
	name string

	value string
}

// settingsOf lists the settings of a start-up message, those of its options included, by name.
func settingsOf(m *pgproto3.StartupMessage) []setting {
	var all []setting
	for name, value := range m.Parameters {
		if name == "options" {
			all = append(all, optionSettings(value)...)
			continue
		}
		if !strings.HasPrefix(name, optionPrefix) {
			all = append(all, setting{
				name:  strings.ToLower(name),
				value: value,
			})
		}
	}
	slices.SortStableFunc(all, func(a, b setting) int {
		return cmp.Compare(a.name, b.name)
	})
	return all
}

// optionSettings reads settings of the form "-c name=value" or "--name=value".
func optionSettings(options string) []setting {
	var all []setting
	for field := range strings.FieldsSeq(options) {
		field = strings.TrimPrefix(field, "-c")
		field = strings.TrimPrefix(field, "--")
		name, value, _ := strings.Cut(field, "=")
		if name != "" {
			all = append(all, setting{
				name:  strings.ToLower(strings.ReplaceAll(name, "-", "_")),
				value: value,
			})
		}
	}
	return all
}

// apply takes a setting into the start-up. It returns false for one that the proxy can't honour:
// connections at members are shared, and ignoring it would change what statements mean.
func (s *Startup) apply(p setting) bool {
	switch p.name {
	case "user":
		s.User = p.value
	case "database":
		s.Database = p.value
	case TokenParameter:
		s.Token = p.value
	case "default_transaction_read_only":
		on, valid := parseBool(p.value)
		s.ReadOnly = on
		return valid
	case "replication":
		on, valid := parseBool(p.value)
		return valid && !on
	case "client_encoding":
		return isUTF8(p.value)
	case "application_name", "datestyle", "intervalstyle", "timezone", "extra_float_digits", "client_min_messages",
		"bytea_output", "jit", "geqo":
		// The form of output, which drivers read from what the server reports, and hints.
	default:
		return false
	}
	return true
}

// isUTF8 reports whether the name is that of the only encoding, or leaves it open.
func isUTF8(name string) bool {
	letters := strings.Map(func(r rune) rune {
		if r == '-' || r == '_' || r == '\'' || r == '"' {
			return -1
		}
		return r
	}, strings.ToUpper(name))
	return letters == "UTF8" || letters == "UNICODE" || letters == "SQLASCII" || letters == ""
}

// parseBool reads a value of a setting that is on or off.
func parseBool(value string) (on, valid bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, true
	case "off", "false", "no", "0":
		return false, true
	default:
		return false, false
	}
}

// startupOf reads a start-up message. The error is a *egret.Failure.
func startupOf(m *pgproto3.StartupMessage) (Startup, error) {
	s := Startup{}
	for _, p := range settingsOf(m) {
		if !s.apply(p) {
			return s, &egret.Failure{
				Outcome: egret.NotRun,
				Code:    egret.CodeUnsupported,
				Message: "the start-up parameter " + p.name + "=" + p.value + " is not offered in pooled routes",
			}
		}
	}
	if s.Database == "" {
		s.Database = s.User
	}
	return s, nil
}
