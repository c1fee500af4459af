package load

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"egretlane.example/egret/egretlab/sites"
)

// stockInterval is the time between two updates of a group's stock.
const stockInterval = 100 * time.Millisecond

// stockChange is a count of the stock and the time when its update was acknowledged.
type stockChange struct {
	count int
	at    time.Time
}

// stock is a row of a group that is updated at a fixed interval, so that the count that a read returns tells its age.
type stock struct {
	// id is the row's key.
	id string

	// group is the name of the row's group.
	group string

	mu sync.Mutex

	// changes has the acknowledged updates in order.
	changes []stockChange
}

// insert inserts the row with the count 0.
func (s *stock) insert(ctx context.Context, c Client) error {
	_, err := c.Run(ctx, Statement{
		Kind:  sites.KindStock,
		Group: s.group,
		Query: fmt.Sprintf("INSERT INTO orders (id, item) VALUES ('%s', '0')", s.id),
		Write: true,
	})
	return err
}

// run updates the row until the context ends.
func (s *stock) run(ctx context.Context, c Client) {
	ticker := time.NewTicker(stockInterval)
	defer ticker.Stop()
	for count := 1; ; count++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		_, err := c.Run(ctx, Statement{
			Kind:  sites.KindStock,
			Group: s.group,
			Query: fmt.Sprintf("UPDATE orders SET item = '%d' WHERE id = '%s'", count, s.id),
			Write: true,
		})
		if err == nil {
			s.record(count)
		}
	}
}

func (s *stock) record(count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, stockChange{
		count: count,
		at:    time.Now(),
	})
}

// minCount returns the lowest count that a read may return if it must see all updates acknowledged before t.
func (s *stock) minCount(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.changes) - 1; i >= 0; i-- {
		if s.changes[i].at.Before(t) {
			return s.changes[i].count
		}
	}
	return 0
}

// parseCount parses a count. It returns -1, which is below all counts, for a text that isn't one.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}
