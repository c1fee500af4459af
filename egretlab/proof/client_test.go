package proof

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

// tokenParameter is the connection parameter that carries the session's token, and with it the oldest position that
// its reads may see.
const tokenParameter = "egretlane.token"

// requestTimeout bounds a request on the caller's side.
const requestTimeout = 15 * time.Second

// reconnectDelay is how long a caller waits after it could not open a connection.
const reconnectDelay = 20 * time.Millisecond

// outcome is the result of a request as its caller knows it.
type outcome int

const (
	// acknowledged: the request succeeded with a complete answer.
	acknowledged outcome = iota

	// notRun: SQLSTATE 57P03, or no connection could be opened.
	notRun

	// rejected: the database answered with any other error.
	rejected

	// unknown: an error of SQLSTATE class 08 (such as 08007) or 57 (except 57P03), or the connection was lost. The
	// request may have run.
	unknown
)

// action is what a request does.
type action int

const (
	read action = iota
	insert
	update
)

// record is one request of a session.
type record struct {
	session string
	action  action
	id      string

	// item is the value written, or read. It is empty if no row was read.
	item string

	// proxy is the index of the proxy.
	proxy   int
	outcome outcome
	err     error

	// calledAt and repliedAt are the times before the request and after its answer, since the recorder's start.
	calledAt  time.Duration
	repliedAt time.Duration
}

// recorder collects the records of one or more sessions.
type recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	records   []record
}

func newRecorder() *recorder {
	return &recorder{
		startedAt: time.Now(),
	}
}

func (r *recorder) add(e record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, e)
}

// snapshot returns a copy of the records so far.
func (r *recorder) snapshot() []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]record(nil), r.records...)
}

// summary returns the number of records by outcome as a text.
func (r *recorder) summary() string {
	counts := [4]int{}
	for _, e := range r.snapshot() {
		counts[e.outcome]++
	}
	return fmt.Sprintf("%d acknowledged, %d not run, %d rejected, %d unknown",
		counts[acknowledged], counts[notRun], counts[rejected], counts[unknown])
}

// dialer opens a connection for a session through the proxy with the index.
type dialer func(ctx context.Context, proxy int, token string) (*pgconn.PgConn, error)

// session is one caller's sequence of requests, which may use a different proxy for each. It is not safe for
// concurrent use.
type session struct {
	name     string
	dial     dialer
	recorder *recorder

	// sendsToken makes the session send its token when it connects to another proxy.
	sendsToken bool

	// timeout bounds a request on the caller's side. Zero means requestTimeout.
	timeout time.Duration

	// sendsIdempotencyKey adds an idempotency key to orders.
	sendsIdempotencyKey bool

	// token is the latest token from a proxy. Tests may set an older one.
	token string

	conn  *pgconn.PgConn
	proxy int
}

// newSession returns a session through the proxies with its own recorder.
func (c *cluster) newSession(name string) *session {
	return &session{
		name:       name,
		dial:       c.dialProxy,
		recorder:   newRecorder(),
		sendsToken: true,
	}
}

func (c *cluster) dialProxy(ctx context.Context, proxy int, token string) (*pgconn.PgConn, error) {
	return dialAs(ctx, c.proxies[proxy].address.String(), userName, token)
}

// dialMember opens a connection directly to a member, bypassing the proxies.
func (c *cluster) dialMember(ctx context.Context, member int, _ string) (*pgconn.PgConn, error) {
	return dialAs(ctx, c.members[member].address.String(), userName, "")
}

// dialAs opens a connection for a user.
func dialAs(ctx context.Context, address string, user string, token string) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf(
		"host=%s port=%s user=%s dbname=%s sslmode=disable connect_timeout=5", host, port, user, databaseName))
	if err != nil {
		return nil, err
	}
	if token != "" {
		cfg.RuntimeParams[tokenParameter] = token
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

// placeOrder inserts an order through a proxy and records the request.
func (s *session) placeOrder(proxy int, id string, item string) record {
	tags := "kind='order'"
	if s.sendsIdempotencyKey {
		tags += fmt.Sprintf(",idempotency-key='%s'", id)
	}
	return s.execute(proxy, insert, id, item, fmt.Sprintf(
		"INSERT INTO orders (id, item) VALUES ('%s', '%s') /*%s*/", id, item, tags))
}

// changeItem updates an order's item.
func (s *session) changeItem(proxy int, id string, item string) record {
	return s.execute(proxy, update, id, item, fmt.Sprintf(
		"UPDATE orders SET item = '%s' WHERE id = '%s' /*kind='order'*/", item, id))
}

// readItem reads an order's item.
func (s *session) readItem(proxy int, id string) record {
	return s.execute(proxy, read, id, "", fmt.Sprintf(
		"SELECT item FROM orders WHERE id = '%s' /*kind='stock'*/", id))
}

// execute runs one statement through the proxy and records it. It reconnects first if the session has no open
// connection to this proxy.
func (s *session) execute(proxy int, a action, id string, item string, sql string) record {
	e := record{
		session:  s.name,
		action:   a,
		id:       id,
		item:     item,
		proxy:    proxy,
		calledAt: time.Since(s.recorder.startedAt),
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(s.timeout, requestTimeout))
	defer cancel()
	if e.err = s.connect(ctx, proxy); e.err != nil {
		e.outcome = notRun
		time.Sleep(reconnectDelay)
	} else {
		rows, err := s.query(ctx, sql)
		e.err = err
		e.outcome = outcomeOf(err)
		if a == read && len(rows) > 0 {
			e.item = rows[0]
		}
	}
	e.repliedAt = time.Since(s.recorder.startedAt)
	s.recorder.add(e)
	return e
}

// connect connects the session to the proxy unless it is connected to it already.
func (s *session) connect(ctx context.Context, proxy int) error {
	if s.conn != nil && !s.conn.IsClosed() && s.proxy == proxy {
		return nil
	}
	s.close()
	token := ""
	if s.sendsToken {
		token = s.token
	}
	conn, err := s.dial(ctx, proxy, token)
	if err != nil {
		return err
	}
	s.conn = conn
	s.proxy = proxy
	return nil
}

// query runs one statement, stores the new token if there is one, and returns the first column of the rows.
func (s *session) query(ctx context.Context, sql string) ([]string, error) {
	rows, err := execSQL(ctx, s.conn, sql)
	if t := s.conn.ParameterStatus(tokenParameter); t != "" {
		s.token = t
	}
	return rows, err
}

// execSQL runs one statement on the connection and returns the first column of the rows.
func execSQL(ctx context.Context, conn *pgconn.PgConn, sql string) ([]string, error) {
	results, err := conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var rows []string
	for _, r := range results {
		if r.Err != nil {
			return nil, r.Err
		}
		for _, row := range r.Rows {
			rows = append(rows, string(row[0]))
		}
	}
	return rows, nil
}

// close ends the session's connection.
func (s *session) close() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
	s.conn = nil
}

// outcomeOf returns the outcome of a request that ended with the error.
func outcomeOf(err error) outcome {
	if err == nil {
		return acknowledged
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return unknown
	}
	switch {
	case e.Code == "57P03":
		return notRun
	case e.Code[:2] == "08" || e.Code[:2] == "57":
		return unknown
	default:
		return rejected
	}
}

// sqlState returns the SQLSTATE of an error, or "".
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// sendCancel sends a cancel request for the connection's running statement to the address.
func sendCancel(address string, conn *pgconn.PgConn) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	m := pgproto3.CancelRequest{
		ProcessID: conn.PID(),
		SecretKey: conn.SecretKey(),
	}
	data, err := m.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.Write(data); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(io.Discard, c)
	return nil
}
