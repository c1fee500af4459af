package front

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

// Who the callers are, and secrets that must not show anywhere.
const (
	user           = "workshop"
	database       = "catalogo-db"
	callerPassword = "caller-secret-4711"
	memberPassword = "member-secret-0815"
	tokenKey       = "token-secret-9f3c6a51b24e97a0"
)

// statementLimit is the size of the largest batch in these tests.
const statementLimit = 1 << 16

// tablesText has the routes and the pool. The verbs are the members' addresses.
const tablesText = `routes:
  - {name: orders, caller: workshop, database: catalogo-db, kinds: [order], pool: catalogo, class: order, budget: 10s}
  - {name: brief, caller: workshop, database: catalogo-db, kinds: [brief], pool: catalogo, budget: 2s, replicas: false}
  - {name: rest, caller: workshop, database: catalogo-db, kinds: [read, write, slow], pool: catalogo, budget: 10s}
pools:
  - name: catalogo
    database: catalogo-db
    slots: 2
    connections: 16
    groups:
      - name: catalogo-1
        members:
          - {name: member-1, address: "%s", region: lombardia, failure-domain: lecco-a}
          - {name: member-2, address: "%s", region: lombardia, failure-domain: lecco-b}
          - {name: member-3, address: "%s", region: veneto, failure-domain: padova-a}
`

// setup says what a set has.
type setup struct {
	// Secure encrypts all connections and makes each side prove who it is.
	Secure bool

	// Flags are further flags of the proxies.
	Flags []string
}

// proxy is a running proxy and its addresses.
type proxy struct {
	*process
	callers, peers, operators netip.AddrPort
}

// set is a store, three members and two proxies.
type set struct {
	t       testing.TB
	dir     string
	setup   setup
	store   netip.AddrPort
	storing *process
	members []netip.AddrPort
	serving []*process
	proxies []*proxy
}

// startSet starts a set and waits until both proxies are ready.
func startSet(t testing.TB, u setup) *set {
	t.Helper()
	s := &set{
		t:     t,
		dir:   t.TempDir(),
		setup: u,
		store: freeAddress(t),
	}
	s.write("token-keys", tokenKey+"\n")
	if u.Secure {
		s.writeSecrets()
	}
	s.startStore()
	for i := range 3 {
		s.startMember(i)
	}
	s.write("tables.yaml", fmt.Sprintf(tablesText, s.members[0], s.members[1], s.members[2]))
	until(t, "the tables", func() error {
		if out, status := s.ctl("apply", s.path("tables.yaml")); status != 0 {
			return errors.New(out)
		}
		return nil
	})
	for range 2 {
		s.proxies = append(s.proxies, &proxy{
			callers:   freeAddress(t),
			peers:     freeAddress(t),
			operators: freeAddress(t),
		})
	}
	for i := range s.proxies {
		s.startProxy(i)
	}
	for i := range s.proxies {
		s.waitReady(i)
	}
	return s
}

func (s *set) path(name string) string {
	return filepath.Join(s.dir, name)
}

func (s *set) write(name string, text string) {
	s.t.Helper()
	if err := os.WriteFile(s.path(name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// writeSecrets makes certificates, passwords and the callers' verifiers.
func (s *set) writeSecrets() {
	s.t.Helper()
	a := newAuthority(s.t, s.dir, "authority")
	for _, name := range []string{"proxy", "member", user, "club"} {
		a.sign(name)
	}
	newAuthority(s.t, s.dir, "stranger").sign("intruder")
	s.write("member-password", memberPassword+"\n")
	client, err := scram.SHA256.NewClient("", callerPassword, "")
	if err != nil {
		s.t.Fatal(err)
	}
	v, err := client.GetStoredCredentialsWithError(scram.KeyFactors{
		Salt:  "0123456789abcdef",
		Iters: 4096,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	encode := base64.StdEncoding.EncodeToString
	s.write("credentials", fmt.Sprintf("%s:SCRAM-SHA-256$%d:%s$%s:%s\n", user, v.Iters, encode([]byte(v.Salt)), encode(v.StoredKey), encode(v.ServerKey)))
}

// startStore starts an empty store.
func (s *set) startStore() {
	s.t.Helper()
	s.storing = start(s.t, s.dir, "store", "egretlab", "store", "--listen", s.store.String(), "--operator-listen", freeAddress(s.t).String())
}

func (s *set) startMember(i int) {
	s.t.Helper()
	name := fmt.Sprintf("member-%d", i+1)
	s.members = append(s.members, freeAddress(s.t))
	args := []string{
		"egretlab", "member", "--name", name, "--listen", s.members[i].String(),
		"--operator-listen", freeAddress(s.t).String(), "--data", s.path(name),
	}
	if i == 0 {
		args = append(args, "--primary")
	} else {
		args = append(args, "--upstream", s.members[0].String())
	}
	if s.setup.Secure {
		args = append(args, "--tls-cert", s.path("member.crt"), "--tls-key", s.path("member.key"),
			"--password-file", s.path("member-password"))
	}
	s.serving = append(s.serving, start(s.t, s.dir, name, args...))
	until(s.t, name, func() error {
		c, err := net.Dial("tcp", s.members[i].String())
		if err == nil {
			c.Close()
		}
		return err
	})
}

func (s *set) startProxy(i int) {
	s.t.Helper()
	p := s.proxies[i]
	name := fmt.Sprintf("proxy-%d", i+1)
	args := []string{
		"egretlane", "--node-id", name, "--region", "lombardia", "--failure-domain", []string{"lecco-a", "lecco-b"}[i],
		"--caller-listen", p.callers.String(), "--peer-listen", p.peers.String(), "--operator-listen", p.operators.String(),
		"--store", s.store.String(), "--seed-peer", s.proxies[1-i].peers.String(),
		"--token-key-file", s.path("token-keys"), "--statement-limit", fmt.Sprint(statementLimit),
	}
	if s.setup.Secure {
		args = append(args, "--caller-tls-cert", s.path("proxy.crt"), "--caller-tls-key", s.path("proxy.key"),
			"--caller-tls-ca", s.path("authority.crt"), "--require-caller-tls", "--caller-credentials-file", s.path("credentials"),
			"--member-tls-ca", s.path("authority.crt"), "--member-password-file", s.path("member-password"))
		args = append(args, s.peerFlags("proxy", "authority")...)
	}
	p.process = start(s.t, s.dir, name, append(args, s.setup.Flags...)...)
}

// peerFlags are the flags of a process that shows the certificate to proxies.
func (s *set) peerFlags(certificate string, authority string) []string {
	return []string{
		"--peer-tls-cert", s.path(certificate + ".crt"), "--peer-tls-key", s.path(certificate + ".key"),
		"--peer-tls-ca", s.path(authority + ".crt"),
	}
}

// waitReady waits until a proxy is ready and its peer is known to it.
func (s *set) waitReady(i int) {
	s.t.Helper()
	until(s.t, "a ready proxy", func() error {
		status, body, err := s.get(i, "/ready")
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.New(body)
		}
		_, metrics, err := s.get(i, "/metrics")
		if err == nil && !strings.Contains(metrics, "egretlane_peer_live_nodes 2\n") {
			return errors.New("the other proxy isn't known")
		}
		return err
	})
}

// get asks the operators' port of a proxy.
func (s *set) get(i int, path string) (int, string, error) {
	r, err := http.Get("http://" + s.proxies[i].operators.String() + path)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, string(body), err
}

// ctl runs the operators' command and returns its output and its exit status.
func (s *set) ctl(args ...string) (string, int) {
	s.t.Helper()
	return run(s.t, append([]string{"egretctl", "--store", s.store.String()}, args...)...)
}

// running returns the number of statements that run on all members.
func (s *set) running() float64 {
	s.t.Helper()
	sum := 0.0
	for i := range s.proxies {
		_, metrics, err := s.get(i, "/metrics")
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range strings.Lines(metrics) {
			if strings.HasPrefix(line, "egretlane_lane_running{") {
				_, value, _ := strings.Cut(strings.TrimSpace(line), "} ")
				n, err := strconv.ParseFloat(value, 64)
				if err != nil {
					s.t.Fatal(err)
				}
				sum += n
			}
		}
	}
	return sum
}

// config returns a driver's settings for a proxy. Words are added to the connection string.
func (s *set) config(i int, words string) *pgx.ConnConfig {
	s.t.Helper()
	mode := "sslmode=disable"
	if s.setup.Secure {
		mode = "sslmode=verify-full sslrootcert=" + s.path("authority.crt") + " password=" + callerPassword
	}
	c, err := pgx.ParseConfig(fmt.Sprintf("host=127.0.0.1 port=%d user=%s dbname=%s connect_timeout=5 %s %s",
		s.proxies[i].callers.Port(), user, database, mode, words))
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// connect opens a session at a proxy.
func (s *set) connect(i int, words string) *pgx.Conn {
	s.t.Helper()
	return s.connectConfig(s.config(i, words))
}

func (s *set) connectConfig(c *pgx.ConnConfig) *pgx.Conn {
	s.t.Helper()
	conn, err := pgx.ConnectConfig(context.Background(), c)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		conn.Close(context.Background())
	})
	return conn
}

// refuse checks that a driver isn't connected, and with which SQLSTATE. An empty code takes any error.
func (s *set) refuse(what string, c *pgx.ConnConfig, code string) {
	s.t.Helper()
	conn, err := pgx.ConnectConfig(context.Background(), c)
	if err == nil {
		conn.Close(context.Background())
		s.t.Errorf("%s: connected", what)
		return
	}
	if code != "" {
		wantCode(s.t, what, err, code)
	}
}

// wantCode checks the SQLSTATE of an error.
func wantCode(t testing.TB, what string, err error, code string) {
	t.Helper()
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		t.Errorf("%s: error %v, want SQLSTATE %s", what, err, code)
	}
}

// limited returns a context that bounds a step of a test.
func limited(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// cancel sends a cancel request and waits until the proxy has taken it.
func cancel(address string, process uint32, secret []byte) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	m := pgproto3.CancelRequest{
		ProcessID: process,
		SecretKey: secret,
	}
	data, err := m.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.Write(data); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err = io.ReadAll(c)
	return err
}
