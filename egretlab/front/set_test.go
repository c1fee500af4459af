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

// The caller, its database, and secrets that must not be visible anywhere.
const (
	user           = "workshop"
	database       = "catalogo-db"
	callerPassword = "caller-secret-4711"
	memberPassword = "member-secret-0815"
	tokenKey       = "token-secret-9f3c6a51b24e97a0"
)

// statementLimit is the proxies' size limit of a statement or batch, in bytes.
const statementLimit = 1 << 16

// tablesFormat is a format string for tables with the routes and the pool. Its verbs take the members' addresses.
const tablesFormat = `routes:
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

// options configure a set.
type options struct {
	// Secure turns on encryption and authentication of both sides for all connections.
	Secure bool

	// Flags are additional flags of the proxies.
	Flags []string
}

// proxy is a running proxy and its addresses.
type proxy struct {
	*process
	callerAddress, peerAddress, operatorAddress netip.AddrPort
}

// set is a running store, three members and two proxies.
type set struct {
	t               testing.TB
	dir             string
	options         options
	storeAddress    netip.AddrPort
	storeProcess    *process
	memberAddresses []netip.AddrPort
	memberProcesses []*process
	proxies         []*proxy
}

// startSet starts a set and waits until both proxies are ready.
func startSet(t testing.TB, o options) *set {
	t.Helper()
	s := &set{
		t:            t,
		dir:          t.TempDir(),
		options:      o,
		storeAddress: freeAddress(t),
	}
	s.writeFile("token-keys", tokenKey+"\n")
	if o.Secure {
		s.writeCredentials()
	}
	s.startStore()
	for i := range 3 {
		s.startMember(i)
	}
	s.writeFile("tables.yaml", fmt.Sprintf(tablesFormat, s.memberAddresses[0], s.memberAddresses[1], s.memberAddresses[2]))
	eventually(t, "the tables to be applied", func() error {
		if out, status := s.egretctl("apply", s.path("tables.yaml")); status != 0 {
			return errors.New(out)
		}
		return nil
	})
	for range 2 {
		s.proxies = append(s.proxies, &proxy{
			callerAddress:   freeAddress(t),
			peerAddress:     freeAddress(t),
			operatorAddress: freeAddress(t),
		})
	}
	for i := range s.proxies {
		s.startProxy(i)
	}
	for i := range s.proxies {
		s.awaitReady(i)
	}
	return s
}

func (s *set) path(name string) string {
	return filepath.Join(s.dir, name)
}

func (s *set) writeFile(name string, text string) {
	s.t.Helper()
	if err := os.WriteFile(s.path(name), []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// writeCredentials writes certificates, passwords and the SCRAM verifier of the caller's password.
func (s *set) writeCredentials() {
	s.t.Helper()
	a := newAuthority(s.t, s.dir, "authority")
	for _, name := range []string{"proxy", "member", user, "club"} {
		a.issue(name)
	}
	newAuthority(s.t, s.dir, "stranger").issue("intruder")
	s.writeFile("member-password", memberPassword+"\n")
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
	s.writeFile("credentials", fmt.Sprintf("%s:SCRAM-SHA-256$%d:%s$%s:%s\n", user, v.Iters, encode([]byte(v.Salt)), encode(v.StoredKey), encode(v.ServerKey)))
}

// startStore starts an empty store.
func (s *set) startStore() {
	s.t.Helper()
	s.storeProcess = startProcess(s.t, s.dir, "store", "egretlab", "store", "--listen", s.storeAddress.String(), "--operator-listen", freeAddress(s.t).String())
}

func (s *set) startMember(i int) {
	s.t.Helper()
	name := fmt.Sprintf("member-%d", i+1)
	s.memberAddresses = append(s.memberAddresses, freeAddress(s.t))
	args := []string{
		"egretlab", "member", "--name", name, "--listen", s.memberAddresses[i].String(),
		"--operator-listen", freeAddress(s.t).String(), "--data", s.path(name),
	}
	if i == 0 {
		args = append(args, "--primary")
	} else {
		args = append(args, "--upstream", s.memberAddresses[0].String())
	}
	if s.options.Secure {
		args = append(args, "--tls-cert", s.path("member.crt"), "--tls-key", s.path("member.key"),
			"--password-file", s.path("member-password"))
	}
	s.memberProcesses = append(s.memberProcesses, startProcess(s.t, s.dir, name, args...))
	eventually(s.t, name, func() error {
		c, err := net.Dial("tcp", s.memberAddresses[i].String())
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
		"--caller-listen", p.callerAddress.String(), "--peer-listen", p.peerAddress.String(), "--operator-listen", p.operatorAddress.String(),
		"--store", s.storeAddress.String(), "--seed-peer", s.proxies[1-i].peerAddress.String(),
		"--token-key-file", s.path("token-keys"), "--statement-limit", fmt.Sprint(statementLimit),
	}
	if s.options.Secure {
		args = append(args, "--caller-tls-cert", s.path("proxy.crt"), "--caller-tls-key", s.path("proxy.key"),
			"--caller-tls-ca", s.path("authority.crt"), "--require-caller-tls", "--caller-credentials-file", s.path("credentials"),
			"--member-tls-ca", s.path("authority.crt"), "--member-password-file", s.path("member-password"))
		args = append(args, s.peerFlags("proxy", "authority")...)
	}
	p.process = startProcess(s.t, s.dir, name, append(args, s.options.Flags...)...)
}

// peerFlags returns the flags of a process that connects to proxies with the certificate and trusts the authority.
func (s *set) peerFlags(certificate string, authority string) []string {
	return []string{
		"--peer-tls-cert", s.path(certificate + ".crt"), "--peer-tls-key", s.path(certificate + ".key"),
		"--peer-tls-ca", s.path(authority + ".crt"),
	}
}

// awaitReady waits until a proxy is ready and knows the other proxy.
func (s *set) awaitReady(i int) {
	s.t.Helper()
	eventually(s.t, "a ready proxy", func() error {
		status, body, err := s.getHTTP(i, "/ready")
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.New(body)
		}
		_, metrics, err := s.getHTTP(i, "/metrics")
		if err == nil && !strings.Contains(metrics, "egretlane_peer_live_nodes 2\n") {
			return errors.New("the proxy doesn't know the other one")
		}
		return err
	})
}

// getHTTP sends a GET request to the operators' port of a proxy. It returns the status, the body and an error.
func (s *set) getHTTP(i int, path string) (int, string, error) {
	r, err := http.Get("http://" + s.proxies[i].operatorAddress.String() + path)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r.StatusCode, string(body), err
}

// egretctl runs egretctl and returns its output and its exit status.
func (s *set) egretctl(args ...string) (string, int) {
	s.t.Helper()
	return runProgram(s.t, append([]string{"egretctl", "--store", s.storeAddress.String()}, args...)...)
}

// runningStatements returns the number of statements that are running, summed over all members.
func (s *set) runningStatements() float64 {
	s.t.Helper()
	sum := 0.0
	for i := range s.proxies {
		_, metrics, err := s.getHTTP(i, "/metrics")
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

// config returns the driver's configuration for a proxy. The parameters are added to the connection string.
func (s *set) config(i int, parameters string) *pgx.ConnConfig {
	s.t.Helper()
	mode := "sslmode=disable"
	if s.options.Secure {
		mode = "sslmode=verify-full sslrootcert=" + s.path("authority.crt") + " password=" + callerPassword
	}
	c, err := pgx.ParseConfig(fmt.Sprintf("host=127.0.0.1 port=%d user=%s dbname=%s connect_timeout=5 %s %s",
		s.proxies[i].callerAddress.Port(), user, database, mode, parameters))
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// connect opens a session at a proxy.
func (s *set) connect(i int, parameters string) *pgx.Conn {
	s.t.Helper()
	return s.connectConfig(s.config(i, parameters))
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

// wantRefused checks that a connection is refused with the SQLSTATE. An empty code accepts any error.
func (s *set) wantRefused(what string, c *pgx.ConnConfig, code string) {
	s.t.Helper()
	conn, err := pgx.ConnectConfig(context.Background(), c)
	if err == nil {
		conn.Close(context.Background())
		s.t.Errorf("%s: connected, want a refusal", what)
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

// stepContext returns a context that limits a step of a test to 20 s.
func stepContext(t testing.TB) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// sendCancel sends a cancel request and waits until the proxy closes the connection, but not longer than 2 s.
func sendCancel(address string, processID uint32, secretKey []byte) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	m := pgproto3.CancelRequest{
		ProcessID: processID,
		SecretKey: secretKey,
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
