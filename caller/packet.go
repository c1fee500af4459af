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

// Limits of the length of a start-up packet, as in PostgreSQL. The length includes the length field itself.
const (
	minPacketBytes = 8
	maxPacketBytes = 10000
)

// Request codes of start-up packets other than start-up messages.
const (
	requestCancel = 80877102
	requestTLS    = 80877103
	requestGSS    = 80877104
)

// Protocol versions. Minor versions differ in details that can be negotiated.
const (
	majorVersion  = 3
	newestVersion = pgproto3.ProtocolVersion32
)

// optionPrefix is the prefix of the names of protocol options, which are negotiated and are not session settings.
const optionPrefix = "_pq_."

// readPacket reads one start-up packet and no byte beyond it. Bytes that follow a request for encryption belong to the
// handshake of TLS and must not be read as plain text.
func readPacket(r io.Reader) (pgproto3.FrontendMessage, error) {
	header := [4]byte{}
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < minPacketBytes || size > maxPacketBytes {
		return nil, errors.NotValidf("a length of %d bytes", size)
	}
	body := make([]byte, size-uint32(len(header)))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Annotate(err, "a packet cut short")
	}
	return decodePacket(body)
}

func decodePacket(body []byte) (pgproto3.FrontendMessage, error) {
	code := binary.BigEndian.Uint32(body)
	switch {
	case code == requestTLS:
		return &pgproto3.SSLRequest{}, nil
	case code == requestGSS:
		return &pgproto3.GSSEncRequest{}, nil
	case code == requestCancel:
		m := &pgproto3.CancelRequest{}
		return m, errors.Trace(m.Decode(body))
	case code>>16 == majorVersion:
		return decodeStartup(code, body)
	default:
		return nil, errors.NotSupportedf("version %d.%d of the protocol", code>>16, code&0xffff)
	}
}

// decodeStartup decodes a start-up message of any minor version. pgproto3 supports only some of them.
func decodeStartup(version uint32, body []byte) (*pgproto3.StartupMessage, error) {
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	m := &pgproto3.StartupMessage{}
	if err := m.Decode(body); err != nil {
		return nil, errors.Trace(err)
	}
	m.ProtocolVersion = version
	return m, nil
}

// negotiateProtocol answers a caller that asks for a newer protocol version or for protocol options with the version
// that applies to the session and the options that the proxy doesn't support.
func (c *Conn) negotiateProtocol(m *pgproto3.StartupMessage) {
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

// setting is a session setting from the start-up message.
type setting struct {
	// name is in lower case.
	name string

	value string
}

// startupSettings returns the settings of a start-up message, including those in its options parameter, sorted by name.
func startupSettings(m *pgproto3.StartupMessage) []setting {
	var settings []setting
	for name, value := range m.Parameters {
		if name == "options" {
			settings = append(settings, optionSettings(value)...)
			continue
		}
		if !strings.HasPrefix(name, optionPrefix) {
			settings = append(settings, setting{
				name:  strings.ToLower(name),
				value: value,
			})
		}
	}
	slices.SortStableFunc(settings, func(a, b setting) int {
		return cmp.Compare(a.name, b.name)
	})
	return settings
}

// optionSettings parses settings of the form "-c name=value" or "--name=value".
func optionSettings(options string) []setting {
	var settings []setting
	for field := range strings.FieldsSeq(options) {
		field = strings.TrimPrefix(field, "-c")
		field = strings.TrimPrefix(field, "--")
		name, value, _ := strings.Cut(field, "=")
		if name != "" {
			settings = append(settings, setting{
				name:  strings.ToLower(strings.ReplaceAll(name, "-", "_")),
				value: value,
			})
		}
	}
	return settings
}

// apply applies a setting. It returns false for one that the proxy can't support: sessions share the connections to
// members, and if the setting were ignored, statements could change their meaning.
func (s *Startup) apply(p setting) bool {
	switch p.name {
	case "user":
		s.User = p.value
	case "database":
		s.Database = p.value
	case TokenParameter:
		s.Token = p.value
	case "default_transaction_read_only":
		enabled, valid := parseBool(p.value)
		s.ReadOnly = enabled
		return valid
	case "replication":
		enabled, valid := parseBool(p.value)
		return valid && !enabled
	case "client_encoding":
		return isUTF8(p.value)
	case "application_name", "datestyle", "intervalstyle", "timezone", "extra_float_digits", "client_min_messages",
		"bytea_output", "jit", "geqo":
		// Ignored: output formats, which drivers take from the values that the server reports, and hints.
	default:
		return false
	}
	return true
}

// isUTF8 reports whether the name stands for UTF-8, the only supported encoding, or for no particular encoding.
func isUTF8(name string) bool {
	normalized := strings.Map(func(r rune) rune {
		if r == '-' || r == '_' || r == '\'' || r == '"' {
			return -1
		}
		return r
	}, strings.ToUpper(name))
	return normalized == "UTF8" || normalized == "UNICODE" || normalized == "SQLASCII" || normalized == ""
}

// parseBool parses the value of a boolean setting.
func parseBool(value string) (enabled, valid bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, true
	case "off", "false", "no", "0":
		return false, true
	default:
		return false, false
	}
}

// parseStartup returns the parameters of a start-up message. The error is a *egret.Failure.
func parseStartup(m *pgproto3.StartupMessage) (Startup, error) {
	s := Startup{}
	for _, p := range startupSettings(m) {
		if !s.apply(p) {
			return s, &egret.Failure{
				Outcome: egret.OutcomeNotRun,
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
