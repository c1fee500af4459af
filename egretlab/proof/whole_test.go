package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Size of the large answer.
const (
	largeRows     = 3000
	largeRowBytes = 200
)

// lateTestBudget is the budget of all requests in TestWholeAnswers, short enough to delay answers beyond it.
const lateTestBudget = 800 * time.Millisecond

// maxSilentOutage is the time within which a proxy must detect and replace its silent connections, both those that run
// the statement and those used to have a second member confirm it.
const maxSilentOutage = 3 * time.Second

// TestWholeAnswers checks that no caller gets a truncated answer, or that of another caller, as a success when
// connections to members break, are slow or go silent.
func TestWholeAnswers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterSettings{
		Tables: func(s *tableSettings) {
			s.OrderBudget = lateTestBudget
			s.ReadBudget = lateTestBudget
			s.ConfirmTimeout = lateTestBudget / 2
		},
	})
	insertLargeRows(t, c)
	t.Run("large", func(t *testing.T) {
		for i := range c.proxies {
			rows, err := c.countLargeRows(i)
			if err != nil || rows != largeRows {
				t.Errorf("proxy %d: %d rows of %d, %v", i+1, rows, largeRows, err)
			}
		}
	})
	t.Run("cut-in-the-middle", func(t *testing.T) {
		testCutInAnswer(t, c)
	})
	t.Run("late", func(t *testing.T) {
		testLateAnswers(t, c)
	})
	t.Run("silent", func(t *testing.T) {
		testSilentConnections(t, c)
	})
	t.Run("baseline", func(t *testing.T) {
		testReusedConnection(t, c)
	})
}

// insertLargeRows inserts the rows of the large answer.
func insertLargeRows(t *testing.T, c *cluster) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := c.dialMember(ctx, 0, "")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	item := strings.Repeat("x", largeRowBytes)
	const step = 500
	for i := 0; i < largeRows; i += step {
		var rows []string
		for n := i; n < i+step; n++ {
			rows = append(rows, fmt.Sprintf("('large-%05d', '%s')", n, item))
		}
		if _, err := execSQL(ctx, conn, "INSERT INTO orders (id, item) VALUES "+strings.Join(rows, ", ")); err != nil {
			t.Fatal(err)
		}
	}
	c.waitEqualLogs()
}

// countLargeRows reads all orders and returns how many rows of the large answer were received.
func (c *cluster) countLargeRows(proxy int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	conn, err := c.dialProxy(ctx, proxy, "")
	if err != nil {
		return 0, err
	}
	defer conn.Close(ctx)
	rows, err := execSQL(ctx, conn, "SELECT id, item FROM orders")
	n := 0
	for _, id := range rows {
		if strings.HasPrefix(id, "large-") {
			n++
		}
	}
	return n, err
}

// testCutInAnswer closes the connections to members in the middle of the large answer. The read must fail.
func testCutInAnswer(t *testing.T, c *cluster) {
	for _, size := range []int{5000, 50000, 300000} {
		for _, p := range c.proxies {
			for _, m := range c.members {
				c.link(p.name, m.name).closeAfter(size)
			}
		}
		for i := range c.proxies {
			rows, err := c.countLargeRows(i)
			if err == nil && rows != largeRows {
				t.Errorf("connection closed after %d bytes, proxy %d: success with %d of %d rows", size, i+1, rows, largeRows)
			}
			if err == nil {
				t.Errorf("connection closed after %d bytes, proxy %d: the read did not fail", size, i+1)
			}
		}
		c.healMemberLinks()
	}
	c.waitServing()
}

// healMemberLinks heals all links from proxies to members.
func (c *cluster) healMemberLinks() {
	for _, p := range c.proxies {
		for _, m := range c.members {
			c.link(p.name, m.name).heal()
		}
	}
}

// testLateAnswers delays the answers to one proxy beyond the budget for a while, twice. Each caller reads its own order,
// so that an answer meant for another caller is detected.
func testLateAnswers(t *testing.T, c *cluster) {
	const callers = 8
	s := c.newSession("late")
	defer s.close()
	for i := range callers {
		s.placeOrder(0, fmt.Sprintf("own-%d", i), fmt.Sprintf("item-own-%d", i))
	}
	wantAcknowledged(t, s.recorder, callers)
	stop := make(chan struct{})
	recorder := newRecorder()
	var done sync.WaitGroup
	for i := range callers {
		done.Go(func() {
			x := c.newSession(fmt.Sprintf("late-%d", i))
			x.recorder = recorder
			defer x.close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				x.readItem(i%len(c.proxies), fmt.Sprintf("own-%d", i))
				time.Sleep(time.Millisecond)
			}
		})
	}
	for range 2 {
		for _, m := range c.members {
			c.link("proxy-1", m.name).addLatency(lateTestBudget)
		}
		time.Sleep(lateTestBudget)
		c.healMemberLinks()
		time.Sleep(lateTestBudget)
	}
	close(stop)
	done.Wait()
	failed := 0
	for _, e := range recorder.snapshot() {
		if e.outcome != acknowledged {
			failed++
			continue
		}
		if e.item != "item-"+e.id {
			t.Errorf("the read of %s returned %q", e.id, e.item)
		}
		if took := e.repliedAt - e.calledAt; took > 2*lateTestBudget {
			t.Errorf("the read of %s took %s, beyond its budget", e.id, took)
		}
	}
	if failed == 0 {
		t.Error("no read failed, so no answer was beyond the budget")
	}
	t.Logf("%d reads, %d failed", len(recorder.snapshot()), failed)
}

// testSilentConnections silences all open connections from proxies to members. Each proxy must place orders again within
// maxSilentOutage.
func testSilentConnections(t *testing.T, c *cluster) {
	c.waitServing()
	for _, p := range c.proxies {
		for _, m := range c.members {
			c.link(p.name, m.name).silence()
		}
	}
	for i := range c.proxies {
		s := c.newSession(fmt.Sprintf("silent-%d", i))
		took := waitUntil(t, 5*maxSilentOutage, "order after the connections went silent", func() error {
			e := s.placeOrder(i, fmt.Sprintf("silent-%d-%d", i, time.Now().UnixNano()), "sieve 2mm")
			if e.err != nil {
				t.Logf("proxy %d after %s: %v", i+1, (e.repliedAt - e.calledAt).Round(time.Millisecond), e.err)
			}
			return e.err
		})
		s.close()
		t.Logf("proxy %d places orders again after %s", i+1, took.Round(time.Millisecond))
		if took > maxSilentOutage {
			t.Errorf("proxy %d placed no order for %s, want at most %s", i+1, took, maxSilentOutage)
		}
	}
	c.healMemberLinks()
}

// testReusedConnection sends the reads of two callers on one connection without receiving the first answer. The second
// caller would get the first one's answer, which the check must detect.
func testReusedConnection(t *testing.T, c *cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	primary, _ := c.primary()
	conn, err := dialAs(ctx, primary.address.String(), userName, "")
	if err != nil {
		t.Fatal(err)
	}
	h, err := conn.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	defer h.Conn.Close()
	for _, id := range []string{"own-0", "own-1"} {
		h.Frontend.Send(&pgproto3.Query{
			String: fmt.Sprintf("SELECT item FROM orders WHERE id = '%s'", id),
		})
	}
	if err := h.Frontend.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		m, err := h.Frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if d, ok := m.(*pgproto3.DataRow); ok {
			if string(d.Values[0]) == "item-own-1" {
				t.Error("the second caller got its own answer first")
			}
			return
		}
	}
}
