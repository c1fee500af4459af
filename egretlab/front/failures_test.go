package front

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
)

// TestOperatorsSeeFailures causes failures one after another and checks that each shows in the way that is documented
// for operators: in metrics, in the log, and in the status.
func TestOperatorsSeeFailures(t *testing.T) {
	s := startSet(t, options{})
	idle := s.connect(1, "").PgConn()
	s.placeOrder("before")

	s.signal(s.memberProcesses[0], syscall.SIGKILL)
	s.awaitMetric("a promotion", `egretlane_promo_promotions_total{cause="silent"} 1`, 0, 1)
	s.awaitMetric("a member that isn't reached", `egretlane_lane_reached{group="catalogo-1",member="member-1"} 0`, 0, 1)
	s.awaitLog("promoted", 0, 1)
	s.placeOrder("after the promotion")
	if out, _ := s.egretctl("status", "--all", "--proxy", s.proxies[0].peerAddress.String()); !regexp.MustCompile(`catalogo-1 +2 +member-[23]`).MatchString(out) {
		t.Errorf("the status lacks the new primary:\n%s", out)
	}

	s.signal(s.storeProcess, syscall.SIGKILL)
	s.awaitLog(`the store doesn\u0027t answer: the tables in force stay`, 0, 1)
	s.awaitMetric("a failed watch of the store", `egretlane_store_calls_total{kind="watch",result="failed"}`, 0, 1)
	s.placeOrder("without the store")

	s.signal(s.proxies[1].process, syscall.SIGSTOP)
	s.awaitMetric("a dead proxy", "egretlane_peer_deaths_total 1", 0)
	s.awaitLog("proxy is dead", 0)
	s.placeOrder("with one proxy")
	s.signal(s.proxies[1].process, syscall.SIGCONT)
	s.awaitLog("this process was paused", 1)
	s.awaitMetric("the return of the proxy", "egretlane_peer_live_nodes 2", 0, 1)

	s.signal(s.proxies[1].process, syscall.SIGTERM)
	ctx := stepContext(t)
	var e *pgconn.PgError
	if err := idle.WaitForNotification(ctx); !errors.As(err, &e) || e.Code != "57P01" {
		t.Errorf("an idle caller of the leaving proxy: error %v, want SQLSTATE 57P01", err)
	}
	s.awaitLog("leaving", 1)
	s.awaitLog("stopped", 1)
	s.placeOrder("after a proxy has left")
}

// placeOrder places an order through the first proxy. It tries again until the order is placed.
func (s *set) placeOrder(id string) {
	s.t.Helper()
	eventually(s.t, "the order "+id, func() error {
		conn, err := pgconn.ConnectConfig(context.Background(), &s.config(0, "").Config)
		if err != nil {
			return err
		}
		defer conn.Close(context.Background())
		_, err = conn.Exec(stepContext(s.t), "INSERT INTO orders (id, item) VALUES ('"+id+"', 'a') /*kind='order'*/").ReadAll()
		var e *pgconn.PgError
		if errors.As(err, &e) && e.Code == "23505" {
			// An earlier attempt with an unknown outcome did place it.
			return nil
		}
		return err
	})
}

func (s *set) signal(p *process, sig syscall.Signal) {
	s.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// awaitMetric waits until the metrics of at least one of the proxies contain the text.
func (s *set) awaitMetric(what string, text string, proxies ...int) {
	s.t.Helper()
	eventually(s.t, what, func() error {
		for _, i := range proxies {
			if _, metrics, err := s.getHTTP(i, "/metrics"); err == nil && strings.Contains(metrics, text) {
				return nil
			}
		}
		return fmt.Errorf("no metric %s", text)
	})
}

// awaitLog waits until the log of at least one of the proxies has a line with the message.
func (s *set) awaitLog(message string, proxies ...int) {
	s.t.Helper()
	eventually(s.t, "a line in the log", func() error {
		for _, i := range proxies {
			if strings.Contains(s.proxies[i].logText(), `"message":"`+message+`"`) {
				return nil
			}
		}
		return fmt.Errorf("no line with the message %q", message)
	})
}
