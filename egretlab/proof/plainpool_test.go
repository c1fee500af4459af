package proof

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// fifoPool is a connection pool that lends its connections first come, first served, as those of most services do.
type fifoPool struct {
	cluster *cluster
	idle    chan *pgconn.PgConn
}

// newFIFOPool opens size connections to the first member, bypassing the proxies.
func newFIFOPool(c *cluster, size int) *fifoPool {
	p := &fifoPool{
		cluster: c,
		idle:    make(chan *pgconn.PgConn, size),
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	for range size {
		conn, err := c.dialMember(ctx, 0, "")
		if err != nil {
			c.t.Fatal(err)
		}
		p.idle <- conn
	}
	return p
}

func (p *fifoPool) close() {
	close(p.idle)
	for conn := range p.idle {
		_ = conn.Close(context.Background())
	}
}

// runCallers runs the two callers of TestFairSharing over the pool.
func (p *fifoPool) runCallers() (big callerStats, small callerStats) {
	var done sync.WaitGroup
	end := time.Now().Add(fairDuration / 2)
	for _, w := range []struct {
		into        *callerStats
		caller      string
		connections int
	}{
		{&big, bigCaller, bigConnections},
		{&small, smallCaller, smallConnections},
	} {
		done.Go(func() {
			*w.into = p.measureCaller(w.caller, w.connections, end)
		})
	}
	done.Wait()
	return big, small
}

// measureCaller runs one caller's statements from as many goroutines as it has connections until the time end.
func (p *fifoPool) measureCaller(caller string, connections int, end time.Time) callerStats {
	var mu sync.Mutex
	var durations []time.Duration
	var done sync.WaitGroup
	for range connections {
		done.Go(func() {
			for time.Now().Before(end) {
				called := time.Now()
				conn := <-p.idle
				_, err := execSQL(context.Background(), conn, fairStatement)
				p.idle <- conn
				if err != nil {
					p.cluster.t.Errorf("%s: %v", caller, err)
					return
				}
				mu.Lock()
				durations = append(durations, time.Since(called))
				mu.Unlock()
			}
		})
	}
	done.Wait()
	return callerStatsOf(caller, durations)
}
