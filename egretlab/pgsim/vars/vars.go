// Package vars holds the configuration parameters of a session, which it calls settings.
//
// A change returns a modified copy, so that a session can restore the settings from before a transaction:
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

// Names of settings that affect how the member handles a session.
const (
	ApplicationName            = "application_name"
	DefaultTransactionReadOnly = "default_transaction_read_only"
	TransactionReadOnly        = "transaction_read_only"
	StatementTimeout           = "statement_timeout"
	InHotStandby               = "in_hot_standby"
)

// reportedSettings returns the names of the settings that PostgreSQL reports to clients in ParameterStatus messages,
// in PostgreSQL's capitalization.
func reportedSettings() []string {
	return []string{
		"application_name", "client_encoding", "DateStyle", "default_transaction_read_only",
		"integer_datetimes", "IntervalStyle", "is_superuser", "server_encoding",
		"server_version", "session_authorization", "standard_conforming_strings", "TimeZone",
	}
}

// Settings holds the settings of a session. Names are in lower case.
type Settings struct {
	// values holds the current value of each setting.
	values map[string]string

	// initial holds the values at the start of the session, which RESET restores.
	initial map[string]string
}

// New returns the initial settings of a session: the defaults, overridden by those in the client's start-up message.
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

// addOptions adds the settings in the start-up parameter options, which have the form -c name=value or --name=value.
func addOptions(values map[string]string, options string) {
	for _, o := range strings.Fields(strings.ReplaceAll(options, "-c", " ")) {
		if n, v, found := strings.Cut(o, "="); found {
			values[strings.ToLower(strings.TrimPrefix(n, "--"))] = v
		}
	}
}

// Get returns the value of a setting, and whether the setting exists.
func (s *Settings) Get(name string) (string, bool) {
	v, found := s.values[strings.ToLower(name)]
	return v, found
}

// ParameterStatuses returns the messages with the values of all reported settings.
func (s *Settings) ParameterStatuses() []*pgproto3.ParameterStatus {
	var statuses []*pgproto3.ParameterStatus
	for _, n := range reportedSettings() {
		v, _ := s.Get(n)
		statuses = append(statuses, &pgproto3.ParameterStatus{
			Name:  n,
			Value: v,
		})
	}
	return statuses
}

// IsOn reports whether a boolean setting is on.
func (s *Settings) IsOn(name string) bool {
	v, _ := s.Get(name)
	return slices.Contains([]string{"on", "true", "yes", "1"}, strings.ToLower(v))
}

// StatementTimeout returns the value of statement_timeout, which is in milliseconds unless it has a unit. It returns
// zero if the value is not valid or there is no time-out.
func (s *Settings) StatementTimeout() time.Duration {
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

// With returns a copy in which one setting has a new value.
func (s *Settings) With(name string, value string) Settings {
	c := s.clone()
	c.values[name] = value
	return c
}

// WithReset returns a copy in which one setting has its initial value. A setting without one is removed.
func (s *Settings) WithReset(name string) Settings {
	c := s.clone()
	v, found := s.initial[name]
	c.values[name] = v
	if !found {
		delete(c.values, name)
	}
	return c
}

// WithAllReset returns a copy in which all settings have their initial values.
func (s *Settings) WithAllReset() Settings {
	return Settings{
		values:  maps.Clone(s.initial),
		initial: s.initial,
	}
}

// ChangedParameterStatuses returns the messages with the values in next of the reported settings that differ from those
// in s.
func (s *Settings) ChangedParameterStatuses(next Settings) []*pgproto3.ParameterStatus {
	var statuses []*pgproto3.ParameterStatus
	for _, p := range next.ParameterStatuses() {
		if value, _ := s.Get(p.Name); value != p.Value {
			statuses = append(statuses, p)
		}
	}
	return statuses
}

func (s *Settings) clone() Settings {
	return Settings{
		values:  maps.Clone(s.values),
		initial: s.initial,
	}
}
