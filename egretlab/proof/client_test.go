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

// tokenName is the parameter that carries the session's floor.
const tokenName = "egretlane.token"

// callLimit bounds a request as the caller sees it.
const callLimit = 15 * time.Second

// connectPause is how long a caller waits after a connection that failed.
const connectPause = 20 * time.Millisecond

// outcome is what a caller was told of a request.
type outcome int

const (
	// acknowledged: the answer was whole.
	acknowledged outcome = iota

	// notRun: SQLSTATE 57P03, or no connection could be opened.
	notRun

	// rejected: the database refused.
	rejected

	// unknown: SQLSTATE 08007, or the connection was lost.
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

	// call and reply are times since the recorder's start.
	call  time.Duration
	reply time.Duration
}

// recorder collects the records of all sessions.
type recorder struct {
	mu      sync.Mutex
	began   time.Time
	records []record
}

func newRecorder() *recorder {
	return &recorder{
		began: time.Now(),
	}
}

func (r *recorder) add(e record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, e)
}

// all returns a copy of the records.
func (r *recorder) all() []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]record(nil), r.records...)
}

// tally counts the records by outcome.
func (r *recorder) tally() string {
	counts := [4]int{}
	for _, e := range r.all() {
		counts[e.outcome]++
	}
	return fmt.Sprintf("%d acknowledged, %d not run, %d rejected, %d unknown",
		counts[acknowledged], counts[notRun], counts[rejected], counts[unknown])
}

// dialer opens connections for a session. The index is that of a proxy.
type dialer func(ctx context.Context, proxy int, token string) (*pgconn.PgConn, error)

// session is one caller's sequence of requests. It moves between proxies and is for one goroutine.
type session struct {
	name     string
	dial     dialer
	recorder *recorder

	// roam makes the session hand its token back when it moves.
	roam bool

	// limit bounds a request as the caller sees it. Zero means callLimit.
	limit time.Duration

	// key makes orders carry an idempotency key.
	key bool

	// token is the newest token. An old one may be put here.
	token string

	conn  *pgconn.PgConn
	proxy int
}

// session returns a new session through the proxies, with a recorder of its own.
func (c *cluster) session(name string) *session {
	return &session{
		name:     name,
		dial:     c.dialProxy,
		recorder: newRecorder(),
		roam:     true,
	}
}

func (c *cluster) dialProxy(ctx context.Context, proxy int, token string) (*pgconn.PgConn, error) {
	return dialAs(ctx, c.proxies[proxy].address.String(), userName, token)
}

// dialMember opens a connection that goes round the proxies.
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
		cfg.RuntimeParams[tokenName] = token
	}
	return pgconn.ConnectConfig(ctx, cfg)
}

// order places an order through a proxy and records it.
func (s *session) order(proxy int, id string, item string) record {
	tags := "kind='order'"
	if s.key {
		tags += fmt.Sprintf(",idempotency-key='%s'", id)
	}
	return s.do(proxy, insert, id, item, fmt.Sprintf(
		"INSERT INTO orders (id, item) VALUES ('%s', '%s') /*%s*/", id, item, tags))
}

// change sets an order's item.
func (s *session) change(proxy int, id string, item string) record {
	return s.do(proxy, update, id, item, fmt.Sprintf(
		"UPDATE orders SET item = '%s' WHERE id = '%s' /*kind='order'*/", item, id))
}

// stock reads an order's item.
func (s *session) stock(proxy int, id string) record {
	return s.do(proxy, read, id, "", fmt.Sprintf(
		"SELECT item FROM orders WHERE id = '%s' /*kind='stock'*/", id))
}

// do runs one statement and records it, reconnecting first if the session is elsewhere.
func (s *session) do(proxy int, a action, id string, item string, sql string) record {
	e := record{
		session: s.name,
		action:  a,
		id:      id,
		item:    item,
		proxy:   proxy,
		call:    time.Since(s.recorder.began),
	}
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(s.limit, callLimit))
	defer cancel()
	if e.err = s.connect(ctx, proxy); e.err != nil {
		e.outcome = notRun
		time.Sleep(connectPause)
	} else {
		rows, err := s.exec(ctx, sql)
		e.err = err
		e.outcome = judge(err)
		if a == read && len(rows) > 0 {
			e.item = rows[0]
		}
	}
	e.reply = time.Since(s.recorder.began)
	s.recorder.add(e)
	return e
}

// connect moves the session to the proxy.
func (s *session) connect(ctx context.Context, proxy int) error {
	if s.conn != nil && !s.conn.IsClosed() && s.proxy == proxy {
		return nil
	}
	s.close()
	token := ""
	if s.roam {
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

// exec runs one statement and returns the first column of its rows.
func (s *session) exec(ctx context.Context, sql string) ([]string, error) {
	rows, err := run(ctx, s.conn, sql)
	if t := s.conn.ParameterStatus(tokenName); t != "" {
		s.token = t
	}
	return rows, err
}

func run(ctx context.Context, conn *pgconn.PgConn, sql string) ([]string, error) {
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

// judge sorts an error by what it says of the request.
func judge(err error) outcome {
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

// codeOf returns the SQLSTATE of an error, or "".
func codeOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

// sendCancel asks at an address to cancel what the connection runs.
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
