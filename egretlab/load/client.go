package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"egretlane.example/egret"
)

// askTimeout bounds a statement. It is above every route's budget.
const askTimeout = 8 * time.Second

// Ask is one statement of a session.
type Ask struct {
	// Kind is the kind of the request.
	Kind string

	// Group is the name of the group.
	Group string

	// Query is the statement without tags.
	Query string

	// Write says that the statement writes.
	Write bool
}

// Answer is a whole answer.
type Answer struct {
	// Value is the first column of the first row, or "".
	Value string

	// Member is the member that served, if the client knows it.
	Member string
}

// Client runs a session's statements under a policy. An error is a *egret.Failure.
type Client interface {
	// Run runs a statement.
	Run(ctx context.Context, a Ask) (Answer, error)

	// Roam moves the session to another proxy, with its token or without.
	Roam(withToken bool)

	// Close ends the session.
	Close()
}

// proxied is a session at proxies.
type proxied struct {
	// target has the addresses.
	target *Target

	// random chooses proxies.
	random *rand.Rand

	// region is the caller's.
	region string

	// token is the session's token, or "".
	token string

	// conn is nil while the session is not connected.
	conn *pgconn.PgConn
}

func (p *proxied) Run(ctx context.Context, a Ask) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if p.conn == nil {
		if err := p.connect(ctx); err != nil {
			return Answer{}, notRun(err)
		}
	}
	answer, err := exec(ctx, p.conn, fmt.Sprintf("%s /*kind='%s',group='%s'*/", a.Query, a.Kind, a.Group))
	if token := p.conn.ParameterStatus("egretlane.token"); token != "" {
		p.token = token
	}
	answer.Member = p.conn.ParameterStatus("egretlane.member")
	if p.conn.IsClosed() {
		p.Close()
	}
	return answer, err
}

func (p *proxied) Roam(withToken bool) {
	p.Close()
	if !withToken {
		p.token = ""
	}
}

func (p *proxied) Close() {
	if p.conn == nil {
		return
	}
	closeConn(p.conn)
	p.conn = nil
}

// connect opens the session at a proxy of the caller's region, or now and then at any.
func (p *proxied) connect(ctx context.Context) error {
	parameters := map[string]string{}
	if p.token != "" {
		parameters["egretlane.token"] = p.token
	}
	c, err := connect(ctx, p.target.proxyFor(p.region, p.random), p.target.Set.Deployment.Database, parameters)
	p.conn = c
	return err
}

// connect opens a connection.
func connect(ctx context.Context, a netip.AddrPort, database string, parameters map[string]string) (*pgconn.PgConn, error) {
	c, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%d user=workshop dbname=%s sslmode=disable",
		a.Addr(), a.Port(), database))
	if err != nil {
		return nil, errors.Trace(err)
	}
	for name, value := range parameters {
		c.RuntimeParams[name] = value
	}
	conn, err := pgconn.ConnectConfig(ctx, c)
	return conn, errors.Trace(err)
}

// closeConn ends a connection without waiting for the other side.
func closeConn(c *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	// The connection is given up in any case.
	_ = c.Close(ctx)
}

// exec runs a simple query.
func exec(ctx context.Context, c *pgconn.PgConn, query string) (Answer, error) {
	results, err := c.Exec(ctx, query).ReadAll()
	if err != nil {
		return Answer{}, failureOf(err)
	}
	a := Answer{}
	for _, r := range results {
		if len(r.Rows) > 0 {
			a.Value = string(r.Rows[0][0])
		}
	}
	return a, nil
}

// failureOf classes an error as the callers' page does.
func failureOf(err error) *egret.Failure {
	f := &egret.Failure{
		Outcome: egret.Unknown,
		Code:    egret.CodeUnknown,
		Message: err.Error(),
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return f
	}
	f.Code = e.Code
	f.Message = e.Message
	switch {
	case e.Code == egret.CodeUnknown:
	case isNotRun(e.Code):
		f.Outcome = egret.NotRun
	default:
		f.Outcome = egret.Rejected
	}
	return f
}

func isNotRun(code string) bool {
	switch code {
	case egret.CodeNotRun, "57P01", egret.CodeTooLarge, egret.CodeUnsupported, egret.CodeNoRoute:
		return true
	default:
		return strings.HasPrefix(code, "28")
	}
}

func notRun(err error) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.NotRun,
		Code:    egret.CodeNotRun,
		Message: err.Error(),
	}
}
