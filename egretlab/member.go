package main

import (
	"context"
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
	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/login"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

const (
	// operatorTimeout bounds an operator's request.
	operatorTimeout = 10 * time.Second

	// stopTimeout bounds the end of the operators' port.
	stopTimeout = time.Second
)

// memberCommand runs the stand-in of a database member.
func memberCommand() *cli.Command {
	s := &memberSettings{}
	return &cli.Command{
		Name:   "member",
		Usage:  "run a stand-in of a database member",
		Flags:  s.flags(),
		Action: s.run,
	}
}

// memberSettings is the flags as they were given. All are texts, so that all faults are found
// together.
type memberSettings struct {
	// name is the member's name.
	name string

	// listen and operatorListen are IP:port.
	listen, operatorListen string

	// slots, connections and term are whole numbers.
	slots, connections, term string

	// connectCost, statementCost, lag and lockWait are durations.
	connectCost, statementCost, lag, lockWait string

	// data is a folder, or empty.
	data string

	// primary says that the member starts as primary.
	primary bool

	// upstream is the IP:port of the primary to follow, or empty.
	upstream string

	// tlsCert and tlsKey are files, or empty. One needs the other.
	tlsCert, tlsKey string

	// passwordFile is a file, or empty.
	passwordFile string

	// addresses are rules of the form FROM=TO.
	addresses []string
}

func (s *memberSettings) flags() []cli.Flag {
	return []cli.Flag{
		textFlag(&s.name, "name", "EGRETLAB_NAME", "", "the member's `NAME`"),
		textFlag(&s.listen, "listen", "EGRETLAB_LISTEN", "127.0.0.1:6501", "`ADDRESS` for clients and replicas"),
		textFlag(&s.operatorListen, "operator-listen", "EGRETLAB_OPERATOR_LISTEN", "127.0.0.1:6511",
			"`ADDRESS` for /log, /state, /stats, the switches, /live and /ready"),
		textFlag(&s.slots, "slots", "EGRETLAB_SLOTS", "2", "`NUMBER` of statements that run at once"),
		textFlag(&s.connections, "connections", "EGRETLAB_CONNECTIONS", "16", "`NUMBER` of connections, without replicas"),
		textFlag(&s.connectCost, "connect-cost", "EGRETLAB_CONNECT_COST", "12ms", "`DURATION` of accepting a connection"),
		textFlag(&s.statementCost, "statement-cost", "EGRETLAB_STATEMENT_COST", "0s", "`DURATION` of each statement"),
		textFlag(&s.lag, "lag", "EGRETLAB_LAG", "10ms", "`DURATION` that a replica keeps an entry before it applies it"),
		textFlag(&s.lockWait, "lock-wait", "EGRETLAB_LOCK_WAIT", "5s", "`DURATION` that a write waits for a row's lock"),
		textFlag(&s.data, "data", "EGRETLAB_DATA", "", "`FOLDER` of the log; none keeps it in memory"),
		textFlag(&s.term, "term", "EGRETLAB_TERM", "1", "`TERM` to start in, unless the folder holds a later one"),
		&cli.BoolFlag{
			Name:        "primary",
			Usage:       "start as primary, unless the folder says otherwise",
			Sources:     cli.EnvVars("EGRETLAB_PRIMARY"),
			Destination: &s.primary,
		},
		textFlag(&s.upstream, "upstream", "EGRETLAB_UPSTREAM", "",
			"`ADDRESS` of the primary to follow, unless the folder says otherwise"),
		textFlag(&s.tlsCert, "tls-cert", "EGRETLAB_TLS_CERT", "", "`FILE` of the certificate shown to clients that encrypt"),
		textFlag(&s.tlsKey, "tls-key", "EGRETLAB_TLS_KEY", "", "`FILE` of the certificate's key"),
		textFlag(&s.passwordFile, "password-file", "EGRETLAB_PASSWORD_FILE", "",
			"`FILE` of the password that clients prove by SCRAM-SHA-256; none lets all in"),
		&cli.StringSliceFlag{
			Name:        "address-map",
			Usage:       "`FROM=TO`: dial TO where FROM is meant; repeatable",
			Sources:     cli.EnvVars("EGRETLAB_ADDRESS_MAP"),
			Destination: &s.addresses,
		},
	}
}

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
	f := &findings{}
	server := s.server(f)
	address := parseAddress(f, "listen", s.listen)
	operatorAddress := parseAddress(f, "operator-listen", s.operatorListen)
	if err := f.err(); err != nil {
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

// server checks the settings and returns what they describe.
func (s *memberSettings) server(f *findings) *pgsim.Server {
	if s.name == "" {
		f.add("name", errors.NotValidf("an empty name"))
	}
	server := &pgsim.Server{
		Member: &core.Member{
			Name:     s.name,
			Folder:   s.data,
			Initial:  s.initial(f),
			Lag:      parseDuration(f, "lag", s.lag),
			LockWait: parseDuration(f, "lock-wait", s.lockWait),
			Now:      time.Now,
		},
		Slots:         int(parseNumber(f, "slots", s.slots)),
		Connections:   int(parseNumber(f, "connections", s.connections)),
		ConnectCost:   parseDuration(f, "connect-cost", s.connectCost),
		StatementCost: parseDuration(f, "statement-cost", s.statementCost),
	}
	s.secure(f, server)
	for _, text := range s.addresses {
		r, err := egret.ParseAddressRule(text)
		f.add("address-map", err)
		server.Addresses.Rules = append(server.Addresses.Rules, r)
	}
	return server
}

// secure adds what clients and the member prove to each other.
func (s *memberSettings) secure(f *findings, server *pgsim.Server) {
	var err error
	if s.tlsCert != "" || s.tlsKey != "" {
		server.TLS, err = login.ReadCertificate(s.tlsCert, s.tlsKey)
		f.add("tls-cert", err)
	}
	if s.passwordFile == "" {
		return
	}
	password, err := login.ReadPassword(s.passwordFile)
	f.add("password-file", err)
	if err != nil {
		return
	}
	server.Password, err = login.NewVerifier(password)
	f.add("password-file", err)
}

func (s *memberSettings) initial(f *findings) walog.Grant {
	g := walog.Grant{
		Term: uint64(parseNumber(f, "term", s.term)),
		Role: egret.RolePrimary,
	}
	if s.primary == (s.upstream != "") {
		f.add("primary", errors.NotValidf("a member without either of --primary and --upstream, or with both,"))
		return g
	}
	if !s.primary {
		g.Role = egret.RoleReplica
		g.Upstream = parseAddress(f, "upstream", s.upstream)
	}
	return g
}

// serveOperators serves the operators' port until the returned function is called.
func serveOperators(l net.Listener, h http.Handler) func() {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: operatorTimeout,
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Msg("operators' port stopped")
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	}
}

func parseAddress(f *findings, setting string, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	f.add(setting, err)
	return a
}

// parseNumber reads a whole number above zero.
func parseNumber(f *findings, setting string, text string) int64 {
	n, err := strconv.ParseInt(text, 10, 32)
	if err == nil && n < 1 {
		err = errors.NotValidf("%d, which is below 1,", n)
	}
	f.add(setting, err)
	return n
}

// parseDuration reads a duration that isn't below zero.
func parseDuration(f *findings, setting string, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err == nil && d < 0 {
		err = errors.NotValidf("%s, which is below zero,", d)
	}
	f.add(setting, err)
	return d
}
