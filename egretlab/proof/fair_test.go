package proof

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// Callers and durations of TestFairSharing.
const (
	bigCaller        = "university"
	smallCaller      = "village"
	bigConnections   = 200
	smallConnections = 2
	fairStatement    = "SELECT pg_sleep(0.01) /*kind='report'*/"
	fairWarmUp       = time.Second
	fairDuration     = 4 * time.Second
)

// minShare is the smallest fraction of the statements that a caller with half of the total weight must get. It is
// one fifth below a half, because a caller with few connections has no statement queued during its round trips.
const minShare = 0.4

// callerStats holds the number of statements of one caller and how long they took.
type callerStats struct {
	caller string
	count  int
	median time.Duration
	worst  time.Duration
}

func (s callerStats) String() string {
	return fmt.Sprintf("%-10s %6d statements, duration p50 %s, max %s", s.caller, s.count,
		s.median.Round(time.Millisecond), s.worst.Round(time.Millisecond))
}

// TestFairSharing runs a caller with 200 connections and one with 2 against members with 2 slots. A caller with many
// connections must not crowd out one with few: with equal weights, both get about the same number of statements.
func TestFairSharing(t *testing.T) {
	c := startCluster(t, clusterSettings{
		Tables: func(s *tableSettings) {
			s.Queue = 1000
			s.ReadBudget = 10 * time.Second
			s.OrderBudget = 10 * time.Second
		},
	})
	t.Run("egretlane", func(t *testing.T) {
		big, small, orders := runCallers(t, func(ctx context.Context, i int, user string) (*pgconn.PgConn, error) {
			return dialAs(ctx, c.proxies[i%len(c.proxies)].address.String(), user, "")
		})
		t.Logf("with egretlane\n%s\n%s\n%s", big, small, orders)
		if fraction := float64(small.count) / float64(small.count+big.count); fraction < minShare {
			t.Errorf("%s got %.3f of the statements, want %.2f", smallCaller, fraction, minShare)
		}
		if orders.count == 0 {
			t.Error("no order was placed while the readers ran")
		}
		c.wantWithinLimits(t)
	})
	t.Run("baseline", func(t *testing.T) {
		pool := newFIFOPool(c, c.settings.Slots)
		defer pool.close()
		big, small := pool.runCallers()
		t.Logf("with a FIFO pool\n%s\n%s", big, small)
		if fraction := float64(small.count) / float64(small.count+big.count); fraction >= minShare {
			t.Errorf("the check does not detect that %s got only %.3f of the statements", smallCaller, fraction)
		}
	})
}

// fairDialer opens the user's connection with the index i.
type fairDialer func(ctx context.Context, i int, user string) (*pgconn.PgConn, error)

// runCallers runs the big and the small caller, and one that places orders, at the same time.
func runCallers(t *testing.T, dial fairDialer) (big callerStats, small callerStats, orders callerStats) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var done sync.WaitGroup
	begin := time.Now().Add(fairWarmUp + time.Second)
	end := begin.Add(fairDuration)
	work := func(s *callerStats, caller string, connections int, statement func(i int, n int) string) {
		done.Go(func() {
			*s = measureCaller(ctx, t, dial, caller, connections, begin, end, statement)
		})
	}
	sleep := func(int, int) string {
		return fairStatement
	}
	work(&big, bigCaller, bigConnections, sleep)
	work(&small, smallCaller, smallConnections, sleep)
	work(&orders, "workshop", 1, func(i int, n int) string {
		return fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('fair-%d-%d', 'sieve') /*kind='order'*/", i, n)
	})
	done.Wait()
	return big, small, orders
}

// measureCaller runs statements on all connections of one caller until the time end, and counts those that were sent
// after the time begin.
func measureCaller(ctx context.Context, t *testing.T, dial fairDialer, caller string, connections int,
	begin time.Time, end time.Time, statement func(i int, n int) string) callerStats {
	var mu sync.Mutex
	var durations []time.Duration
	var done sync.WaitGroup
	for i := range connections {
		done.Go(func() {
			conn, err := dial(ctx, i, caller)
			if err != nil {
				t.Errorf("%s: %v", caller, err)
				return
			}
			defer conn.Close(ctx)
			for n := 0; time.Now().Before(end); n++ {
				called := time.Now()
				_, err := execSQL(ctx, conn, statement(i, n))
				if err != nil {
					t.Errorf("%s: %v", caller, err)
					return
				}
				if called.After(begin) {
					mu.Lock()
					durations = append(durations, time.Since(called))
					mu.Unlock()
				}
			}
		})
	}
	done.Wait()
	return callerStatsOf(caller, durations)
}

// callerStatsOf summarizes the durations of a caller's statements.
func callerStatsOf(caller string, durations []time.Duration) callerStats {
	s := callerStats{
		caller: caller,
		count:  len(durations),
	}
	if len(durations) > 0 {
		slices.Sort(durations)
		s.median = durations[len(durations)/2]
		s.worst = durations[len(durations)-1]
	}
	return s
}
