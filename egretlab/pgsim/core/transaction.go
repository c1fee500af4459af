package core

import (
	"cmp"
	"context"
	"slices"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/egretlab/pgsim/walog"
)

// Order is a row of the table.
type Order struct {
	// ID is the primary key.
	ID string

	// Item is the ordered item.
	Item string
}

// Slot is one unit of the limit on running statements. A statement releases its slot while it waits for a
// row lock, because the transaction that holds the lock may need a slot to finish.
type Slot interface {
	// Release gives the slot back.
	Release()

	// Acquire waits for a free slot.
	Acquire(ctx context.Context) error
}

// Transaction reads committed rows and its own changes. Its changes are committed atomically.
//
// A Transaction must be used by one goroutine only. It ends with Commit or Rollback.
type Transaction struct {
	// ReadOnly makes writes fail.
	ReadOnly bool

	// Slot is released while the transaction waits for a row lock. It may be nil.
	Slot Slot

	// member is the member that the transaction runs on.
	member *Member

	// origin identifies the connection in the log entry.
	origin walog.Origin

	// term is the member's term at the first write, or zero before it.
	term uint64

	// changes holds the changes in the order of the writes.
	changes []walog.Change

	// lastChanges holds the last change of each row that the transaction has written, by id.
	lastChanges map[string]walog.Change

	// lockedIDs holds the ids of the rows that the transaction has locked.
	lockedIDs []string

	// done is closed when the row locks are released.
	done chan struct{}
}

// Begin starts a transaction. Its log entry will name the origin and the member.
func (m *Member) Begin(o walog.Origin) *Transaction {
	o.Member = m.Name
	return &Transaction{
		member:      m,
		origin:      o,
		lastChanges: make(map[string]walog.Change),
		done:        make(chan struct{}),
	}
}

// Select returns the row with the id, or all rows ordered by id if id is nil.
func (t *Transaction) Select(id *string) []Order {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != nil {
		item, found := t.lookupLocked(*id)
		if !found {
			return nil
		}
		return []Order{{
			ID:   *id,
			Item: item,
		}}
	}
	return t.allLocked()
}

// Count returns the number of rows that the transaction sees.
func (t *Transaction) Count() int {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.rows)
	for id, c := range t.lastChanges {
		_, committed := m.rows[id]
		switch {
		case committed && c.Operation == walog.Delete:
			n--
		case !committed && c.Operation != walog.Delete:
			n++
		}
	}
	return n
}

// Insert adds a row. It fails if the id exists.
func (t *Transaction) Insert(ctx context.Context, o Order) error {
	if err := t.lock(ctx, "INSERT", o.ID); err != nil {
		return err
	}
	if _, found := t.lookup(o.ID); found {
		return Errorf(CodeUniqueViolation, "duplicate key value violates unique constraint \"orders_pkey\": id %q exists", o.ID)
	}
	t.addChange(walog.Change{
		Operation: walog.Insert,
		ID:        o.ID,
		Item:      o.Item,
	})
	return nil
}

// Update sets the item of the row with the id, or of all rows if id is nil. It returns the updated rows.
func (t *Transaction) Update(ctx context.Context, id *string, item string) ([]Order, error) {
	return t.modifyRows(ctx, "UPDATE", id, func(o Order) Order {
		t.addChange(walog.Change{
			Operation: walog.Update,
			ID:        o.ID,
			Item:      item,
		})
		o.Item = item
		return o
	})
}

// Delete removes the row with the id, or all rows if id is nil. It returns the removed rows.
func (t *Transaction) Delete(ctx context.Context, id *string) ([]Order, error) {
	return t.modifyRows(ctx, "DELETE", id, func(o Order) Order {
		t.addChange(walog.Change{
			Operation: walog.Delete,
			ID:        o.ID,
		})
		return o
	})
}

// Commit appends the changes to the log as one entry. It fails if the member has granted another term since
// the first write. The transaction ends in any case.
func (t *Transaction) Commit() error {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	defer t.releaseLocks()
	if len(t.changes) == 0 {
		return nil
	}
	if m.grant.Role != egret.RolePrimary || m.grant.Term != t.term {
		return Errorf(CodeRolledBack, "transaction of term %d rolled back: member %s has granted term %d",
			t.term, m.Name, m.grant.Term)
	}
	err := m.appendEntry(walog.Entry{
		Kind:    walog.KindCommit,
		Changes: t.changes,
		Origin:  t.origin,
	})
	if err != nil {
		return Errorf(CodeIOError, "%s", err)
	}
	return nil
}

// Rollback discards the changes and releases the row locks.
func (t *Transaction) Rollback() {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	t.releaseLocks()
}

// modifyRows locks each matching row and changes it if it still exists.
func (t *Transaction) modifyRows(ctx context.Context, command string, id *string, change func(o Order) Order) ([]Order, error) {
	// On a replica, a write fails even if it matches no row.
	if err := t.checkWrite(command); err != nil {
		return nil, err
	}
	var changed []Order
	for _, o := range t.Select(id) {
		if err := t.lock(ctx, command, o.ID); err != nil {
			return nil, err
		}
		item, found := t.lookup(o.ID)
		if !found {
			continue
		}
		changed = append(changed, change(Order{
			ID:   o.ID,
			Item: item,
		}))
	}
	return changed, nil
}

// checkWrite fails unless the transaction may write now.
func (t *Transaction) checkWrite(command string) error {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	return t.checkWriteLocked(command)
}

// checkWriteLocked is checkWrite with the member's mutex held. It records the term of the first write.
func (t *Transaction) checkWriteLocked(command string) error {
	m := t.member
	if t.ReadOnly {
		return Errorf(CodeReadOnly, "cannot execute %s in a read-only transaction", command)
	}
	if m.grant.Role != egret.RolePrimary {
		return Errorf(CodeReadOnly, "cannot execute %s: member %s is %s", command, m.Name, m.grant.Role)
	}
	if t.term == 0 {
		t.term = m.grant.Term
	}
	return nil
}

// lock locks a row. If another transaction has the lock, it releases the slot and waits.
func (t *Transaction) lock(ctx context.Context, command string, id string) error {
	holder, err := t.tryLock(command, id)
	if holder == nil || err != nil {
		return err
	}
	if t.Slot != nil {
		t.Slot.Release()
	}
	err = t.waitForLock(ctx, command, id, holder)
	if t.Slot == nil {
		return err
	}
	if e := t.Slot.Acquire(ctx); err == nil {
		err = e
	}
	return err
}

// waitForLock locks a row that the holder has locked. It fails after the lock timeout.
func (t *Transaction) waitForLock(ctx context.Context, command string, id string, holder *Transaction) error {
	timeout := time.NewTimer(t.member.LockTimeout)
	defer timeout.Stop()
	for holder != nil {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timeout.C:
			return Errorf(CodeLockTimeout, "no lock on id %q in %s", id, t.member.LockTimeout)
		case <-holder.done:
		}
		var err error
		holder, err = t.tryLock(command, id)
		if err != nil {
			return err
		}
	}
	return nil
}

// tryLock locks a row and returns nil, or returns the other transaction that has locked it.
func (t *Transaction) tryLock(command string, id string) (*Transaction, error) {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := t.checkWriteLocked(command); err != nil {
		return nil, err
	}
	holder := m.rowLocks[id]
	if holder == t {
		return nil, nil
	}
	if holder != nil {
		return holder, nil
	}
	m.rowLocks[id] = t
	t.lockedIDs = append(t.lockedIDs, id)
	return nil, nil
}

// releaseLocks releases the row locks and closes done. The member's mutex must be held.
func (t *Transaction) releaseLocks() {
	select {
	case <-t.done:
		return
	default:
	}
	for _, id := range t.lockedIDs {
		delete(t.member.rowLocks, id)
	}
	close(t.done)
}

func (t *Transaction) addChange(c walog.Change) {
	t.changes = append(t.changes, c)
	t.lastChanges[c.ID] = c
}

// lookup returns the item of a row as the transaction sees it.
func (t *Transaction) lookup(id string) (string, bool) {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	return t.lookupLocked(id)
}

// lookupLocked is lookup with the member's mutex held.
func (t *Transaction) lookupLocked(id string) (string, bool) {
	if c, found := t.lastChanges[id]; found {
		return c.Item, c.Operation != walog.Delete
	}
	item, found := t.member.rows[id]
	return item, found
}

// allLocked returns all rows as the transaction sees them. The member's mutex must be held.
func (t *Transaction) allLocked() []Order {
	var orders []Order
	for id, item := range t.member.rows {
		if _, changed := t.lastChanges[id]; !changed {
			orders = append(orders, Order{
				ID:   id,
				Item: item,
			})
		}
	}
	for id, c := range t.lastChanges {
		if c.Operation != walog.Delete {
			orders = append(orders, Order{
				ID:   id,
				Item: c.Item,
			})
		}
	}
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return orders
}
