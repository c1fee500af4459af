// Package alloc applies the decisions of package budget to connections: it makes readers wait for memory and closes the
// connections of callers that are slow and large.
//
//	a := &alloc.Allocator{Budget: budget.Budget{Total: 32 << 20, Reserve: 4 << 20}}
//	c := a.NewAccount(closeConnection)
//	if err := c.Take(64 << 10); err != nil {
//		return err
//	}
//	defer c.Release(64 << 10)
package alloc

import (
	"sync"
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/budget"
	"egretlane.example/egret/clock"
)

const (
	// waitTimeout limits the wait for memory. A message that gets none by then is refused.
	waitTimeout = 10 * time.Second

	// admitTimeout limits the wait of a statement while answers hold more than there is.
	admitTimeout = 2 * time.Second

	// pollInterval is the interval at which waits look for a connection to close.
	pollInterval = 20 * time.Millisecond
)

// Allocator hands out memory to the accounts of connections. Its exported fields must be set before it is used.
type Allocator struct {
	// Budget is the memory. It is guarded by mu.
	Budget budget.Budget

	// OnClose is called for each connection that is closed for others, if it isn't nil. It must not block.
	OnClose func(held int64)

	mu       sync.Mutex
	accounts map[*budget.Holding]*Account

	// overdrawn is Budget.Overdrawn, readable without mu.
	overdrawn atomic.Bool
}

const (
	// minTotal is the least memory for messages: a few of 1 MiB must fit.
	minTotal = 8 << 20

	// totalDivisor is the part of the runtime's memory limit that is for messages; the rest is for the process itself,
	// small messages, and garbage that the collector hasn't freed.
	totalDivisor = 4

	// reserveDivisor is the part of the memory for messages that is kept for connections that hold little.
	reserveDivisor = 8
)

// New returns an allocator of total bytes, or if that is zero, of the part for messages of a process whose runtime has the
// memory limit, also in bytes. It returns nil if both are zero.
func New(total, memoryLimit int64) *Allocator {
	if total == 0 && memoryLimit == 0 {
		return nil
	}
	if total == 0 {
		total = max(minTotal, memoryLimit/totalDivisor)
	}
	return &Allocator{
		Budget: budget.Budget{
			Total:   total,
			Reserve: total / reserveDivisor,
		},
	}
}

// Account is the memory of a connection. A nil Account takes any amount.
type Account struct {
	allocator  *Allocator
	holding    budget.Holding
	disconnect func()

	// granted has a value when the bytes that the account waits for were granted.
	granted chan struct{}

	// closed is set once the connection was closed for others.
	closed atomic.Bool
}

// NewAccount returns the account of a connection. disconnect makes its reads and writes fail; it may be called more than once
// and must not block. A nil Allocator returns a nil Account.
func (a *Allocator) NewAccount(disconnect func()) *Account {
	if a == nil {
		return nil
	}
	return &Account{
		allocator:  a,
		disconnect: disconnect,
		granted:    make(chan struct{}, 1),
	}
}

// Usage returns the memory that is held, in bytes, and the number of connections that wait.
func (a *Allocator) Usage() (held int64, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Budget.Held(), a.Budget.Waiting()
}

// Closed reports whether the connection was closed for others.
func (c *Account) Closed() bool {
	return c != nil && c.closed.Load()
}

// Take takes n bytes and waits for them if they aren't free. The error is egret.ErrNoMemory.
func (c *Account) Take(n int64) error {
	if c == nil {
		return nil
	}
	a := c.allocator
	a.mu.Lock()
	if !a.Budget.Possible(c.holding.Held() + n) {
		a.mu.Unlock()
		return egret.ErrNoMemory
	}
	taken := a.Budget.Take(&c.holding, n, clock.Now())
	a.register(c)
	a.mu.Unlock()
	if taken {
		return nil
	}
	return c.await()
}

// await waits until the account is granted what it waits for.
func (c *Account) await() error {
	a := c.allocator
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for began := clock.Now(); clock.Since(began) < waitTimeout && !c.closed.Load(); {
		select {
		case <-c.granted:
			return nil
		case <-tick.C:
			a.closeVictim()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-c.granted:
		return nil
	default:
	}
	a.Budget.Cancel(&c.holding)
	a.update(c)
	return egret.ErrNoMemory
}

// TryTake takes n bytes, or returns false if they aren't free.
func (c *Account) TryTake(n int64) bool {
	if c == nil {
		return true
	}
	a := c.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.Budget.TryTake(&c.holding, n, clock.Now())
	a.register(c)
	return taken
}

// Force takes n bytes for what is in memory already, and closes connections if there is too much.
func (c *Account) Force(n int64) {
	if c == nil {
		return
	}
	a := c.allocator
	a.mu.Lock()
	a.Budget.Force(&c.holding, n, clock.Now())
	a.register(c)
	over := a.Budget.Overdrawn()
	a.overdrawn.Store(over)
	a.mu.Unlock()
	if over {
		a.closeVictim()
	}
}

// Admit waits, for a limited time, until no more memory is held than there is. It is called before a statement is run, as its
// answer may be large.
func (c *Account) Admit() {
	if c == nil || !c.allocator.overdrawn.Load() {
		return
	}
	for began := clock.Now(); c.allocator.overdrawn.Load() && !c.closed.Load() && clock.Since(began) < admitTimeout; {
		c.allocator.closeVictim()
		time.Sleep(pollInterval)
	}
}

// SetRunning records whether a statement of the connection runs. The connection isn't closed for others then.
func (c *Account) SetRunning(running bool) {
	if c == nil {
		return
	}
	c.allocator.mu.Lock()
	defer c.allocator.mu.Unlock()
	c.holding.SetRunning(running)
}

// Overdrawn reports whether more memory is held than there is.
func (a *Allocator) Overdrawn() bool {
	return a != nil && a.overdrawn.Load()
}

// Release returns n bytes.
func (c *Account) Release(n int64) {
	if c == nil || n <= 0 {
		return
	}
	a := c.allocator
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.Budget.Release(&c.holding, n, clock.Now()) {
		a.accounts[h].granted <- struct{}{}
	}
	a.overdrawn.Store(a.Budget.Overdrawn())
	a.update(c)
}

// Close returns all that the account has.
func (c *Account) Close() {
	if c != nil {
		c.Release(c.Held())
	}
}

// Held returns what the account has.
func (c *Account) Held() int64 {
	if c == nil {
		return 0
	}
	c.allocator.mu.Lock()
	defer c.allocator.mu.Unlock()
	return c.holding.Held()
}

// register makes an account that holds or waits known. The caller holds mu.
func (a *Allocator) register(c *Account) {
	if a.accounts == nil {
		a.accounts = map[*budget.Holding]*Account{}
	}
	a.accounts[&c.holding] = c
	a.update(c)
}

// update forgets an account that neither holds nor waits. The caller holds mu.
func (a *Allocator) update(c *Account) {
	if c.holding.Held() == 0 && !c.holding.Waits() {
		delete(a.accounts, &c.holding)
	}
}

// closeVictim closes a connection if others need its memory.
func (a *Allocator) closeVictim() {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.Budget.Victim(clock.Now())
	if h == nil {
		return
	}
	c := a.accounts[h]
	if !c.closed.Swap(true) && a.OnClose != nil {
		a.OnClose(h.Held())
	}
	c.disconnect()
}
