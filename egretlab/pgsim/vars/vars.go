// Package vars holds the settings of a session.
//
// Changes make a new value, so that a session can go back to the one before a transaction:
//
//	next := settings.With("application_name", "desk")
package vars

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Names of settings that sessions act on.
const (
	Application      = "application_name"
	DefaultReadOnly  = "default_transaction_read_only"
	ReadOnly         = "transaction_read_only"
	StatementTimeout = "statement_timeout"
	Recovery         = "in_hot_standby"
)

// reportedSettings are the settings that the protocol tells clients of, in their usual spelling.
func reportedSettings() []string {
	return []string{
		"application_name", "client_encoding", "DateStyle", "default_transaction_read_only",
		"integer_datetimes", "IntervalStyle", "is_superuser", "server_encoding",
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

// New returns the settings of a session at its start, with those that the client asked for.
func New(m *pgproto3.StartupMessage) Settings {
	values := map[string]string{
		"application_name":              "",
		"client_encoding":               "UTF8",
		"datestyle":                     "ISO, MDY",
		"default_transaction_read_only": "off",
		"extra_float_digits":            "1",
		"integer_datetimes":             "on",
		"intervalstyle":                 "postgres",
		"is_superuser":                  "off",
		"lock_timeout":                  "0",
		"search_path":                   "\"$user\", public",
		"server_encoding":               "UTF8",
		"server_version":                "15.0",
		"server_version_num":            "150000",
		"session_authorization":         m.Parameters["user"],
		"standard_conforming_strings":   "on",
		"statement_timeout":             "0",
		"timezone":                      "UTC",
		"transaction_isolation":         "read committed",
	}
	for n, v := range m.Parameters {
		if n != "user" && n != "database" && n != "replication" && n != "options" {
			values[strings.ToLower(n)] = v
		}
	}
	addOptions(values, m.Parameters["options"])
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

// On reports whether a setting is on.
func (s *Settings) On(name string) bool {
	v, _ := s.Get(name)
	return slices.Contains([]string{"on", "true", "yes", "1"}, strings.ToLower(v))
}

// Timeout returns statement_timeout, or zero if there is none.
func (s *Settings) Timeout() time.Duration {
	v, _ := s.Get(StatementTimeout)
	if n, err := strconv.Atoi(v); err == nil {
		return time.Duration(n) * time.Millisecond
	}
	d, err := time.ParseDuration(strings.ReplaceAll(strings.ReplaceAll(v, " ", ""), "min", "m"))
	if err != nil {
		return 0
	}
	return d
}

// With returns a copy with one setting changed.
func (s *Settings) With(name string, value string) Settings {
	c := s.clone()
	c.values[name] = value
	return c
}

// Reset returns a copy with one setting put back to what it was at the start.
func (s *Settings) Reset(name string) Settings {
	c := s.clone()
	v, found := s.initial[name]
	c.values[name] = v
	if !found {
		delete(c.values, name)
	}
	return c
}

// ResetAll returns the settings as they were at the start.
func (s *Settings) ResetAll() Settings {
	return Settings{
		values:  maps.Clone(s.initial),
		initial: s.initial,
	}
}

// Changes returns the messages that tell a client of the reported settings that differ in next.
func (s *Settings) Changes(next Settings) []*pgproto3.ParameterStatus {
	var all []*pgproto3.ParameterStatus
	for _, p := range next.Report() {
		if before, _ := s.Get(p.Name); before != p.Value {
			all = append(all, p)
		}
	}
	return all
}

func (s *Settings) clone() Settings {
	return Settings{
		values:  maps.Clone(s.values),
		initial: s.initial,
	}
}
