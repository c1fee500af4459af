package sess

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Names of settings that the session acts on.
const (
	settingApplication     = "application_name"
	settingDefaultReadOnly = "default_transaction_read_only"
	settingReadOnly        = "transaction_read_only"
	settingTimeout         = "statement_timeout"
	settingRecovery        = "in_hot_standby"
)

// reportedSettings are the settings that the protocol tells clients of, in their usual spelling.
func reportedSettings() []string {
	return []string{
		"application_name", "client_encoding", "DateStyle", "default_transaction_read_only",
		"in_hot_standby", "integer_datetimes", "IntervalStyle", "is_superuser", "server_encoding",
		"server_version", "session_authorization", "standard_conforming_strings", "TimeZone",
	}
}

// Settings is the settings of a session. Names are in lower case.
type Settings struct {
	// values holds each setting that has a value.
	values map[string]string

	// initial holds what RESET goes back to.
	initial map[string]string
}

// NewSettings returns the settings of a session that has just started, with those that the client
// asked for at its start.
func NewSettings(user string, asked map[string]string) Settings {
	values := map[string]string{
		"application_name":              "",
		"client_encoding":               "UTF8",
		"datestyle":                     "ISO, MDY",
		"default_transaction_read_only": "off",
		"extra_float_digits":            "1",
		"in_hot_standby":                "off",
		"integer_datetimes":             "on",
		"intervalstyle":                 "postgres",
		"is_superuser":                  "off",
		"lock_timeout":                  "0",
		"search_path":                   "\"$user\", public",
		"server_encoding":               "UTF8",
		"server_version":                "15.0",
		"server_version_num":            "150000",
		"session_authorization":         user,
		"standard_conforming_strings":   "on",
		"statement_timeout":             "0",
		"timezone":                      "UTC",
		"transaction_isolation":         "read committed",
	}
	for n, v := range asked {
		if n != "user" && n != "database" && n != "replication" && n != "options" {
			values[strings.ToLower(n)] = v
		}
	}
	addOptions(values, asked["options"])
	return Settings{
		values:  values,
		initial: maps.Clone(values),
	}
}

// addOptions reads settings of the form -c name=value.
func addOptions(values map[string]string, options string) {
	for _, o := range strings.Fields(strings.ReplaceAll(options, "-c", " ")) {
		if n, v, found := strings.Cut(o, "="); found {
			values[strings.ToLower(strings.TrimPrefix(n, "--"))] = v
		}
	}
}

// Get returns the value of a setting.
func (s *Settings) Get(name string) (string, bool) {
	v, found := s.values[strings.ToLower(name)]
	return v, found
}

// Report returns the messages that tell a client of all reported settings.
func (s *Settings) Report() []*pgproto3.ParameterStatus {
	var all []*pgproto3.ParameterStatus
	for _, n := range reportedSettings() {
		v, _ := s.Get(n)
		all = append(all, &pgproto3.ParameterStatus{
			Name:  n,
			Value: v,
		})
	}
	return all
}

// isOn reports whether a setting is on.
func (s *Settings) isOn(name string) bool {
	v, _ := s.Get(name)
	return slices.Contains([]string{"on", "true", "yes", "1"}, strings.ToLower(v))
}

// timeout returns statement_timeout, or zero if there is none.
func (s *Settings) timeout() time.Duration {
	v, _ := s.Get(settingTimeout)
	if n, err := strconv.Atoi(v); err == nil {
		return time.Duration(n) * time.Millisecond
	}
	d, err := time.ParseDuration(strings.ReplaceAll(strings.ReplaceAll(v, " ", ""), "min", "m"))
	if err != nil {
		return 0
	}
	return d
}

// with returns a copy with one setting changed. An empty name puts all back.
func (s *Settings) with(name string, value string, initial bool) Settings {
	c := s.clone()
	switch {
	case name == "":
		c.values = maps.Clone(s.initial)
	case !initial:
		c.values[name] = value
	default:
		v, found := s.initial[name]
		c.values[name] = v
		if !found {
			delete(c.values, name)
		}
	}
	return c
}

func (s *Settings) clone() Settings {
	return Settings{
		values:  maps.Clone(s.values),
		initial: s.initial,
	}
}

// takeOn changes the session's settings and tells the client of those that are reported.
func (s *Session) takeOn(next Settings) {
	for _, n := range reportedSettings() {
		before, _ := s.Settings.Get(n)
		after, _ := next.Get(n)
		if before != after {
			s.Backend.Send(&pgproto3.ParameterStatus{
				Name:  n,
				Value: after,
			})
		}
	}
	s.Settings = next
}
