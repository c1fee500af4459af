package load

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/sites"
)

// stockInterval is the time between two changes of a group's stock.
const stockInterval = 100 * time.Millisecond

// change is a count of the stock and when it was acknowledged.
type change struct {
	count int
	at    time.Time
}

// stock is a row of a group that changes all the time, so that the age of reads can be told.
type stock struct {
	// id is the row's key.
	id string

	// group is the row's group.
	group string

	mu sync.Mutex

	// changes has the acknowledged changes in order.
	changes []change
}

// open writes the first count.
func (s *stock) open(ctx context.Context, c Client) error {
	_, err := c.Run(ctx, Ask{
		Kind:  sites.KindStock,
		Group: s.group,
		Query: fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', '0')", s.id),
		Write: true,
	})
	return err
}

// run changes the row until the context ends.
func (s *stock) run(ctx context.Context, c Client) {
	ticker := time.NewTicker(stockInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		_, err := c.Run(ctx, Ask{
			Kind:  sites.KindStock,
			Group: s.group,
			Query: fmt.Sprintf("UPDATE orders SET item = '%d' WHERE id = '%s'", count, s.id),
			Write: true,
		})
		if err == nil {
			s.note(count)
		}
	}
}

func (s *stock) note(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{
		count: count,
		at:    time.Now(),
	})
}

// least returns the lowest count that a read may have that sees all changes acknowledged before t.
func (s *stock) least(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.changes) - 1; i >= 0; i-- {
		if s.changes[i].at.Before(t) {
			return s.changes[i].count
		}
	}
	return 0
}

// parseCount reads a count. What isn't one is older than all.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}
