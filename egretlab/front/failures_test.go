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

// TestOperatorsSeeFailures causes failures one after the other and looks for what the operators' page
// says of each: counters, lines of the log, and the status.
func TestOperatorsSeeFailures(t *testing.T) {
	s := startSet(t, setup{})
	idle := s.connect(1, "").PgConn()
	s.order("before")

	s.signal(s.serving[0], syscall.SIGKILL)
	s.await("promotion", `egretlane_promo_promotions_total{cause="silent"} 1`, 0, 1)
	s.await("member not reached", `egretlane_lane_reached{group="catalogo-1",member="member-1"} 0`, 0, 1)
	s.awaitLog("promoted", 0, 1)
	s.order("after the promotion")
	if out, _ := s.ctl("status", "--all", "--proxy", s.proxies[0].peers.String()); !regexp.MustCompile(`catalogo-1 +2 +member-[23]`).MatchString(out) {
		t.Errorf("the status lacks the new primary:\n%s", out)
	}

	s.signal(s.storing, syscall.SIGKILL)
	s.awaitLog(`the store doesn\u0027t answer: the tables in force stay`, 0, 1)
	s.await("store away", `egretlane_store_calls_total{kind="watch",result="failed"}`, 0, 1)
	s.order("without the store")

	s.signal(s.proxies[1].process, syscall.SIGSTOP)
	s.await("proxy dead", "egretlane_peer_deaths_total 1", 0)
	s.awaitLog("proxy is dead", 0)
	s.order("with one proxy")
	s.signal(s.proxies[1].process, syscall.SIGCONT)
	s.awaitLog("this process was paused", 1)
	s.await("proxy back", "egretlane_peer_live_nodes 2", 0, 1)

	s.signal(s.proxies[1].process, syscall.SIGTERM)
	ctx := limited(t)
	var e *pgconn.PgError
	if err := idle.WaitForNotification(ctx); !errors.As(err, &e) || e.Code != "57P01" {
		t.Errorf("an idle caller of the leaving proxy: %v, want 57P01", err)
	}
	s.awaitLog("leaving", 1)
	s.awaitLog("stopped", 1)
	s.order("after a proxy has left")
}

// order places an order through the first proxy, trying until it is placed.
func (s *set) order(id string) {
	s.t.Helper()
	until(s.t, "the order "+id, func() error {
		conn, err := pgconn.ConnectConfig(context.Background(), &s.config(0, "").Config)
		if err != nil {
			return err
		}
		defer conn.Close(context.Background())
		_, err = conn.Exec(limited(s.t), "INSERT INTO orders (id, item) VALUES ('"+id+"', 'a') /*kind='order'*/").ReadAll()
		var e *pgconn.PgError
		if errors.As(err, &e) && e.Code == "23505" {
			// An earlier try with an unknown outcome was placed.
			return nil
		}
		return err
	})
}

func (s *set) signal(p *process, n syscall.Signal) {
	s.t.Helper()
	if err := p.cmd.Process.Signal(n); err != nil {
		s.t.Fatal(err)
	}
}

// await waits until the metrics of one of the proxies have the text.
func (s *set) await(what string, text string, proxies ...int) {
	s.t.Helper()
	until(s.t, what, func() error {
		for _, i := range proxies {
			if _, metrics, err := s.get(i, "/metrics"); err == nil && strings.Contains(metrics, text) {
				return nil
			}
		}
		return fmt.Errorf("no %s", text)
	})
}

// awaitLog waits until the log of one of the proxies has a line with the message.
func (s *set) awaitLog(message string, proxies ...int) {
	s.t.Helper()
	until(s.t, "the log", func() error {
		for _, i := range proxies {
			if strings.Contains(s.proxies[i].logged(), `"message":"`+message+`"`) {
				return nil
			}
		}
		return fmt.Errorf("no line %q", message)
	})
}
