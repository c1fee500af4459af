package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim"
	"egretlane.example/egret/egretlab/pgsim/auth"
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

const (
	// headerTimeout limits reading the headers of an HTTP request.
	headerTimeout = 10 * time.Second

	// shutdownTimeout limits the wait for open requests when the operators' port is closed.
	shutdownTimeout = time.Second
)

// memberCommand returns the command that simulates a database member.
func memberCommand() *cli.Command {
	s := &memberSettings{}
	return &cli.Command{
		Name:   "member",
		Usage:  "simulate a database member",
		Flags:  s.flags(),
		Action: s.run,
	}
}

// memberSettings are the flags of the member command. Numbers, durations and addresses are texts, so that all errors in
// them are reported together.
type memberSettings struct {
	// name is the member's name.
	name string

	// listen and operatorListen are addresses as IP:port.
	listen, operatorListen string

	// slots, connections and term are whole numbers.
	slots, connections, term string

	// connectCost, statementCost, lag and lockWait are durations.
	connectCost, statementCost, lag, lockWait string

	// data is the path of the log's folder, or empty to keep the log in memory.
	data string

	// primary is true if the member starts as primary.
	primary bool

	// upstream is the IP:port of the primary to follow, or empty.
	upstream string

	// tlsCert and tlsKey are the paths of PEM files. Either both are set or neither.
	tlsCert, tlsKey string

	// passwordFile is the path of a file, or empty.
	passwordFile string

	// addressRules map dialed addresses, in the form FROM=TO.
	addressRules []string
}

func (s *memberSettings) flags() []cli.Flag {
	return []cli.Flag{
		textFlag(&s.name, "name", "EGRETLAB_NAME", "", "`NAME` of the member"),
		textFlag(&s.listen, "listen", "EGRETLAB_LISTEN", "127.0.0.1:6501", "`ADDRESS` (IP:port) to listen on for clients and replicas"),
		textFlag(&s.operatorListen, "operator-listen", "EGRETLAB_OPERATOR_LISTEN", "127.0.0.1:6511",
			"`ADDRESS` (IP:port) to listen on for operators (HTTP): /log, /state, /stats, fault injection, /live and /ready"),
		textFlag(&s.slots, "slots", "EGRETLAB_SLOTS", "2", "maximum `NUMBER` of statements that run concurrently"),
		textFlag(&s.connections, "connections", "EGRETLAB_CONNECTIONS", "16", "maximum `NUMBER` of client connections; replicas do not count"),
		textFlag(&s.connectCost, "connect-cost", "EGRETLAB_CONNECT_COST", "12ms", "simulated `DURATION` of accepting a connection"),
		textFlag(&s.statementCost, "statement-cost", "EGRETLAB_STATEMENT_COST", "0s", "simulated `DURATION` of each statement"),
		textFlag(&s.lag, "lag", "EGRETLAB_LAG", "10ms", "`DURATION` between receiving and applying a log entry on a replica"),
		textFlag(&s.lockWait, "lock-wait", "EGRETLAB_LOCK_WAIT", "5s", "maximum `DURATION` that a write waits for a row lock"),
		textFlag(&s.data, "data", "EGRETLAB_DATA", "", "`FOLDER` for the log and the member's term and role; kept in memory if empty"),
		textFlag(&s.term, "term", "EGRETLAB_TERM", "1", "initial `TERM`; ignored if the data folder already holds a term and role"),
		&cli.BoolFlag{
			Name:        "primary",
			Usage:       "start as primary; ignored if the data folder already holds a term and role",
			Sources:     cli.EnvVars("EGRETLAB_PRIMARY"),
			Destination: &s.primary,
		},
		textFlag(&s.upstream, "upstream", "EGRETLAB_UPSTREAM", "",
			"`ADDRESS` (IP:port) of the primary to replicate from; ignored if the data folder already holds a term and role"),
		textFlag(&s.tlsCert, "tls-cert", "EGRETLAB_TLS_CERT", "", "certificate `FILE` (PEM) to present to clients that use TLS"),
		textFlag(&s.tlsKey, "tls-key", "EGRETLAB_TLS_KEY", "", "private key `FILE` (PEM) for --tls-cert"),
		textFlag(&s.passwordFile, "password-file", "EGRETLAB_PASSWORD_FILE", "",
			"`FILE` with the password for SCRAM-SHA-256 authentication; if empty, clients are not authenticated"),
		&cli.StringSliceFlag{
			Name:        "address-map",
			Usage:       "`FROM=TO`, each an IP:port: connect to TO instead of FROM; repeatable",
			Sources:     cli.EnvVars("EGRETLAB_ADDRESS_MAP"),
			Destination: &s.addressRules,
		},
	}
}

// textFlag returns a string flag that can also be set by an environment variable.
func textFlag(destination *string, name string, variable string, value string, usage string) cli.Flag {
	return &cli.StringFlag{
		Name:        name,
		Usage:       usage,
		Value:       value,
		Sources:     cli.EnvVars(variable),
		Destination: destination,
	}
}

func (s *memberSettings) run(ctx context.Context, _ *cli.Command) error {
	errs := &settingErrors{}
	server := s.server(errs)
	address := parseAddress(errs, "listen", s.listen)
	operatorAddress := parseAddress(errs, "operator-listen", s.operatorListen)
	if err := errs.err(); err != nil {
		return err
	}
	if err := server.Open(); err != nil {
		return errors.Trace(err)
	}
	listener, err := listen(ctx, address.String())
	if err != nil {
		return errors.Trace(err)
	}
	operator, err := listen(ctx, operatorAddress.String())
	if err != nil {
		return errors.Trace(err)
	}
	stop := serveOperators(operator, server.Handler())
	defer stop()
	return errors.Trace(server.Run(ctx, listener))
}

// server validates the settings and returns a server that has them.
func (s *memberSettings) server(errs *settingErrors) *pgsim.Server {
	if s.name == "" {
		errs.add("name", errors.NewNotValid(nil, "must not be empty"))
	}
	server := &pgsim.Server{
		Member: &core.Member{
			Name:         s.name,
			Folder:       s.data,
			InitialGrant: s.initialGrant(errs),
			Lag:          parseDuration(errs, "lag", s.lag),
			LockTimeout:  parseDuration(errs, "lock-wait", s.lockWait),
			Now:          time.Now,
		},
		Slots:          int(parseNumber(errs, "slots", s.slots)),
		MaxConnections: int(parseNumber(errs, "connections", s.connections)),
		ConnectCost:    parseDuration(errs, "connect-cost", s.connectCost),
		StatementCost:  parseDuration(errs, "statement-cost", s.statementCost),
	}
	s.loadCredentials(errs, server)
	for _, text := range s.addressRules {
		r, err := egret.ParseAddressRule(text)
		errs.add("address-map", err)
		server.Addresses.Rules = append(server.Addresses.Rules, r)
	}
	return server
}

// loadCredentials sets the certificate that the server shows to clients and the verifier of their password, as far as
// the settings name them.
func (s *memberSettings) loadCredentials(errs *settingErrors, server *pgsim.Server) {
	var err error
	if s.tlsCert != "" || s.tlsKey != "" {
		server.TLS, err = auth.ReadTLSConfig(s.tlsCert, s.tlsKey)
		errs.add("tls-cert", err)
	}
	if s.passwordFile == "" {
		return
	}
	password, err := auth.ReadPassword(s.passwordFile)
	errs.add("password-file", err)
	if err != nil {
		return
	}
	server.Password, err = auth.NewVerifier(password)
	errs.add("password-file", err)
}

// initialGrant returns the term and the role that the member starts with.
func (s *memberSettings) initialGrant(errs *settingErrors) walog.Grant {
	g := walog.Grant{
		Term: uint64(parseNumber(errs, "term", s.term)),
		Role: egret.RolePrimary,
	}
	if s.primary == (s.upstream != "") {
		errs.add("primary", errors.NewNotValid(nil, "exactly one of --primary and --upstream must be set"))
		return g
	}
	if !s.primary {
		g.Role = egret.RoleReplica
		g.Upstream = parseAddress(errs, "upstream", s.upstream)
	}
	return g
}

// serveOperators serves the operators' port in the background until the returned function is called.
func serveOperators(l net.Listener, h http.Handler) func() {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("operators' HTTP server failed")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}
}

func parseAddress(errs *settingErrors, setting string, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	errs.add(setting, err)
	return a
}

// parseNumber parses a whole number above zero.
func parseNumber(errs *settingErrors, setting string, text string) int64 {
	n, err := strconv.ParseInt(text, 10, 32)
	if err == nil && n < 1 {
		err = errors.NewNotValid(nil, fmt.Sprintf("%d is less than 1", n))
	}
	errs.add(setting, err)
	return n
}

// parseDuration parses a duration of zero or more.
func parseDuration(errs *settingErrors, setting string, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err == nil && d < 0 {
		err = errors.NewNotValid(nil, fmt.Sprintf("%s is negative", d))
	}
	errs.add(setting, err)
	return d
}
