package proof

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// plainPool is what most services have: connections that are lent first come, first served.
type plainPool struct {
	c    *cluster
	idle chan *pgconn.PgConn
}

func newPlainPool(c *cluster, size int) *plainPool {
	p := &plainPool{
		c:    c,
		idle: make(chan *pgconn.PgConn, size),
	}
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
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

func (p *plainPool) close() {
	close(p.idle)
	for conn := range p.idle {
		_ = conn.Close(context.Background())
	}
}

// compete runs the two callers of the proof of fair sharing over the pool.
func (p *plainPool) compete() (big share, small share) {
	var done sync.WaitGroup
	end := time.Now().Add(fairTime / 2)
	for _, w := range []struct {
		into        *share
		caller      string
		connections int
	}{
		{&big, bigCaller, bigConnections},
		{&small, smallCaller, smallConnections},
	} {
		done.Go(func() {
			*w.into = p.callers(w.caller, w.connections, end)
		})
	}
	done.Wait()
	return big, small
}

func (p *plainPool) callers(caller string, connections int, end time.Time) share {
	var mu sync.Mutex
	var waits []time.Duration
	var done sync.WaitGroup
	for range connections {
		done.Go(func() {
			for time.Now().Before(end) {
				called := time.Now()
				conn := <-p.idle
				_, err := run(context.Background(), conn, fairStatement)
				p.idle <- conn
				if err != nil {
					p.c.t.Errorf("%s: %v", caller, err)
					return
				}
				mu.Lock()
				waits = append(waits, time.Since(called))
				mu.Unlock()
			}
		})
	}
	done.Wait()
	return shareOf(caller, waits)
}
