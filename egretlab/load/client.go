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

// statementTimeout limits a statement. It is longer than every route's budget.
const statementTimeout = 8 * time.Second

// Statement is one statement of a session.
type Statement struct {
	// Kind is the kind of request, which the proxy routes by.
	Kind string

	// Group is the name of the database group.
	Group string

	// Query is the SQL text without the comment that has the kind and the group.
	Query string

	// Write is true if the statement writes.
	Write bool
}

// Answer is the complete answer to a statement.
type Answer struct {
	// Value is the first column of the first row, or "".
	Value string

	// Member is the member that ran the statement, or "" if the client doesn't know it.
	Member string
}

// Client runs a session's statements under a policy. An error is a *egret.Failure.
type Client interface {
	// Run runs a statement.
	Run(ctx context.Context, s Statement) (Answer, error)

	// SwitchProxy makes the next statement open the session anew, at a proxy that is picked again. The session keeps
	// its token or drops it. A client without proxies does nothing.
	SwitchProxy(keepToken bool)

	// Close ends the session.
	Close()
}

// proxyClient is a session that connects to one proxy at a time.
type proxyClient struct {
	// target has the addresses.
	target *Target

	// random picks the proxies.
	random *rand.Rand

	// region is the caller's region.
	region string

	// token is the session's token, or "".
	token string

	// conn is nil while the session is not connected.
	conn *pgconn.PgConn
}

func (p *proxyClient) Run(ctx context.Context, s Statement) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	if p.conn == nil {
		if err := p.connect(ctx); err != nil {
			return Answer{}, notRunFailure(err)
		}
	}
	answer, err := exec(ctx, p.conn, fmt.Sprintf("%s /*kind='%s',group='%s'*/", s.Query, s.Kind, s.Group))
	if token := p.conn.ParameterStatus("egretlane.token"); token != "" {
		p.token = token
	}
	answer.Member = p.conn.ParameterStatus("egretlane.member")
	if p.conn.IsClosed() {
		p.Close()
	}
	return answer, err
}

func (p *proxyClient) SwitchProxy(keepToken bool) {
	p.Close()
	if !keepToken {
		p.token = ""
	}
}

func (p *proxyClient) Close() {
	if p.conn == nil {
		return
	}
	closeConn(p.conn)
	p.conn = nil
}

// connect opens the session at a proxy that pickProxy returns.
func (p *proxyClient) connect(ctx context.Context) error {
	parameters := map[string]string{}
	if p.token != "" {
		parameters["egretlane.token"] = p.token
	}
	c, err := connect(ctx, p.target.pickProxy(p.region, p.random), p.target.Set.Deployment.Database, parameters)
	p.conn = c
	return err
}

// connect opens a connection with these startup parameters.
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

// closeConn closes a connection. It waits at most 50 ms for the other side.
func closeConn(c *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	// The connection is abandoned, even if the other side was not told in time.
	_ = c.Close(ctx)
}

// exec runs a query by the simple query protocol. An error is a *egret.Failure.
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

// failureOf classifies an error by the rules that are documented for callers. Without an SQLSTATE the outcome is
// unknown.
func failureOf(err error) *egret.Failure {
	f := &egret.Failure{
		Outcome: egret.OutcomeUnknown,
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
	case isNotRunCode(e.Code):
		f.Outcome = egret.OutcomeNotRun
	default:
		f.Outcome = egret.OutcomeRejected
	}
	return f
}

// isNotRunCode returns true if the SQLSTATE means that the statement did not run.
func isNotRunCode(code string) bool {
	switch code {
	case egret.CodeNotRun, "57P01", egret.CodeTooLarge, egret.CodeUnsupported, egret.CodeNoRoute:
		return true
	default:
		return strings.HasPrefix(code, "28")
	}
}

// notRunFailure returns the failure of a statement that was not sent.
func notRunFailure(err error) *egret.Failure {
	return &egret.Failure{
		Outcome: egret.OutcomeNotRun,
		Code:    egret.CodeNotRun,
		Message: err.Error(),
	}
}
