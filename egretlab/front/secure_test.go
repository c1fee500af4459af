package front

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// TestEncryptionAndProof checks a set that encrypts all connections and authenticates both sides of each.
func TestEncryptionAndProof(t *testing.T) {
	s := startSet(t, options{
		Secure: true,
	})
	ctx := stepContext(t)
	conn := s.connect(0, "")
	if _, err := conn.Exec(ctx, "INSERT INTO orders (id, item) VALUES ('secure', 'sieve 2mm') /*kind='order'*/"); err != nil {
		t.Fatal(err)
	}
	item := ""
	if err := s.connect(1, "").QueryRow(ctx, "SELECT item FROM orders WHERE id = $1", "secure").Scan(&item); err != nil || item != "sieve 2mm" {
		t.Errorf("read %q, %v", item, err)
	}
	token := conn.PgConn().ParameterStatus("egretlane.token")
	s.checkCallers()
	s.checkPeers()
	s.checkSecrets(token)
}

// checkCallers checks which callers are accepted and with which SQLSTATEs others are refused.
func (s *set) checkCallers() {
	s.t.Helper()
	own := s.config(0, "sslcert="+s.path(user+".crt")+" sslkey="+s.path(user+".key"))
	own.Password = ""
	s.connectConfig(own)
	other := s.config(0, "sslcert="+s.path("club.crt")+" sslkey="+s.path("club.key"))
	other.Password = ""
	s.wantRefused("another caller's certificate", other, "28P01")
	foreign := s.config(0, "sslcert="+s.path("intruder.crt")+" sslkey="+s.path("intruder.key"))
	foreign.Password = ""
	s.wantRefused("a foreign authority's certificate", foreign, "")
	wrong := s.config(0, "")
	wrong.Password = "wrong"
	s.wantRefused("a wrong password", wrong, "28P01")
	unknown := s.config(0, "")
	unknown.User = "stranger"
	s.wantRefused("an unknown caller", unknown, "28P01")
	plain := s.config(0, "")
	plain.TLSConfig = nil
	s.wantRefused("plain text", plain, "28000")
}

// checkPeers checks that proxies refuse peers without a certificate of their own authority.
func (s *set) checkPeers() {
	s.t.Helper()
	status := []string{"status", "--proxy", s.proxies[0].peerAddress.String()}
	if out, exit := s.egretctl(append(status, s.peerFlags("proxy", "authority")...)...); exit != 0 || !strings.Contains(out, "member-1") {
		s.t.Errorf("status with a certificate: exit status %d\n%s", exit, out)
	}
	if out, exit := s.egretctl(status...); exit != 1 {
		s.t.Errorf("status without a certificate: exit status %d, want 1\n%s", exit, out)
	}
	if out, exit := s.egretctl(append(status, s.peerFlags("intruder", "authority")...)...); exit != 1 {
		s.t.Errorf("status with a foreign certificate: exit status %d, want 1\n%s", exit, out)
	}
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", s.proxies[0].peerAddress.String(), &tls.Config{
		InsecureSkipVerify: true,
	})
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	// In TLS 1.3 the server's refusal arrives with the first read, after the handshake.
	if _, err := c.Read(make([]byte, 1)); err == nil || !strings.Contains(err.Error(), "certificate required") {
		s.t.Errorf("a peer without a certificate: %v, want that one is required", err)
	}
}

// checkSecrets checks that no secret is visible in logs, command lines, environments and the operators' ports.
func (s *set) checkSecrets(token string) {
	s.t.Helper()
	credentials, err := os.ReadFile(s.path("credentials"))
	if err != nil {
		s.t.Fatal(err)
	}
	_, verifier, _ := strings.Cut(strings.TrimSpace(string(credentials)), ":")
	secrets := []string{callerPassword, memberPassword, tokenKey, verifier, token, "PRIVATE KEY"}
	for i, p := range s.proxies {
		texts := map[string]string{
			"the log":          p.logText(),
			"the command line": readFile(s.t, fmt.Sprintf("/proc/%d/cmdline", p.cmd.Process.Pid)),
			"the environment":  readFile(s.t, fmt.Sprintf("/proc/%d/environ", p.cmd.Process.Pid)),
		}
		for _, path := range []string{"/status", "/metrics", "/ready"} {
			code, body, err := s.getHTTP(i, path)
			if err != nil || code != http.StatusOK {
				s.t.Errorf("%s: %d, %v", path, code, err)
			}
			texts[path] = body
		}
		for place, text := range texts {
			for _, secret := range secrets {
				if secret == "" || strings.Contains(text, secret) {
					s.t.Errorf("%s: %s contains the secret %q", p.name, place, secret)
				}
			}
		}
	}
}

func readFile(t testing.TB, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
