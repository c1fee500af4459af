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
	// ID is the key.
	ID string

	// Item is the value.
	Item string
}

// Slot is a place among the statements that run. A statement that waits for a row's lock gives its
// place up, since the transaction that holds the lock may need it.
type Slot interface {
	// Release gives the place up.
	Release()

	// Acquire waits for a place.
	Acquire(ctx context.Context) error
}

// Transaction reads committed rows and its own changes. Its changes are committed all at once.
//
// A Transaction belongs to one goroutine. It ends in Commit or Rollback.
type Transaction struct {
	// ReadOnly refuses writes.
	ReadOnly bool

	// Slot is released while the transaction waits for a lock. It may be nil.
	Slot Slot

	// member is where the transaction runs.
	member *Member

	// origin goes into the entry.
	origin walog.Origin

	// term is the term of the first write, or zero.
	term uint64

	// changes holds the writes in order.
	changes []walog.Change

	// own holds the last change of each row that the transaction has written.
	own map[string]walog.Change

	// locked holds the rows whose lock the transaction has.
	locked []string

	// done is closed when the locks are released.
	done chan struct{}
}

// Begin opens a transaction for the origin.
func (m *Member) Begin(o walog.Origin) *Transaction {
	o.Member = m.Name
	return &Transaction{
		member: m,
		origin: o,
		own:    make(map[string]walog.Change),
		done:   make(chan struct{}),
	}
}

// Select returns the row with the id, or all rows in the order of ids if id is nil.
func (t *Transaction) Select(id *string) []Order {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != nil {
		item, found := t.get(*id)
		if !found {
			return nil
		}
		return []Order{{
			ID:   *id,
			Item: item,
		}}
	}
	return t.all()
}

// Count returns how many rows there are.
func (t *Transaction) Count() int {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.rows)
	for id, c := range t.own {
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

// Insert adds a row.
func (t *Transaction) Insert(ctx context.Context, o Order) error {
	if err := t.lock(ctx, "INSERT", o.ID); err != nil {
		return err
	}
	if _, found := t.read(o.ID); found {
		return Refuse(CodeDuplicate, "duplicate key value violates unique constraint \"orders_pkey\": id %q exists", o.ID)
	}
	t.note(walog.Change{
		Operation: walog.Insert,
		ID:        o.ID,
		Item:      o.Item,
	})
	return nil
}

// Update sets the item of the row with the id, or of all rows if id is nil. It returns the rows.
func (t *Transaction) Update(ctx context.Context, id *string, item string) ([]Order, error) {
	return t.write(ctx, "UPDATE", id, func(o Order) Order {
		t.note(walog.Change{
			Operation: walog.Update,
			ID:        o.ID,
			Item:      item,
		})
		o.Item = item
		return o
	})
}

// Delete removes the row with the id, or all rows if id is nil. It returns what was removed.
func (t *Transaction) Delete(ctx context.Context, id *string) ([]Order, error) {
	return t.write(ctx, "DELETE", id, func(o Order) Order {
		t.note(walog.Change{
			Operation: walog.Delete,
			ID:        o.ID,
		})
		return o
	})
}

// Commit appends the changes to the log, all or none. It fails if the member has granted another
// term since the first write. The transaction is over in any case.
func (t *Transaction) Commit() error {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	defer t.release()
	if len(t.changes) == 0 {
		return nil
	}
	if m.grant.Role != egret.RolePrimary || m.grant.Term != t.term {
		return Refuse(CodeRolledBack, "transaction of term %d rolled back: member %s has granted term %d",
			t.term, m.Name, m.grant.Term)
	}
	err := m.append(walog.Entry{
		Kind:    walog.KindCommit,
		Changes: t.changes,
		Origin:  t.origin,
	})
	if err != nil {
		return Refuse(CodeStorage, "%s", err)
	}
	return nil
}

// Rollback drops the changes.
func (t *Transaction) Rollback() {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	t.release()
}

// write locks each matching row and changes it if it is still there.
func (t *Transaction) write(ctx context.Context, command string, id *string, change func(o Order) Order) ([]Order, error) {
	// A write that matches no row is refused on a replica all the same.
	if err := t.writable(command); err != nil {
		return nil, err
	}
	var changed []Order
	for _, o := range t.Select(id) {
		if err := t.lock(ctx, command, o.ID); err != nil {
			return nil, err
		}
		item, found := t.read(o.ID)
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

func (t *Transaction) writable(command string) error {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	return t.mayWrite(command)
}

// mayWrite checks that the transaction may write now. The member's mutex is held.
func (t *Transaction) mayWrite(command string) error {
	m := t.member
	if t.ReadOnly {
		return Refuse(CodeReadOnly, "cannot execute %s in a read-only transaction", command)
	}
	if m.grant.Role != egret.RolePrimary {
		return Refuse(CodeReadOnly, "cannot execute %s: member %s is %s", command, m.Name, m.grant.Role)
	}
	if t.term == 0 {
		t.term = m.grant.Term
	}
	return nil
}

// lock takes the lock of a row, or waits for it.
func (t *Transaction) lock(ctx context.Context, command string, id string) error {
	holder, err := t.tryLock(command, id)
	if holder == nil || err != nil {
		return err
	}
	if t.Slot != nil {
		t.Slot.Release()
	}
	err = t.waitLock(ctx, command, id, holder)
	if t.Slot == nil {
		return err
	}
	if e := t.Slot.Acquire(ctx); err == nil {
		err = e
	}
	return err
}

func (t *Transaction) waitLock(ctx context.Context, command string, id string, holder *Transaction) error {
	limit := time.NewTimer(t.member.LockWait)
	defer limit.Stop()
	for holder != nil {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-limit.C:
			return Refuse(CodeLockWait, "no lock on id %q in %s", id, t.member.LockWait)
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

// tryLock takes the lock of a row and returns nil, or returns the transaction that holds it.
func (t *Transaction) tryLock(command string, id string) (*Transaction, error) {
	m := t.member
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := t.mayWrite(command); err != nil {
		return nil, err
	}
	holder := m.locks[id]
	if holder == t {
		return nil, nil
	}
	if holder != nil {
		return holder, nil
	}
	m.locks[id] = t
	t.locked = append(t.locked, id)
	return nil, nil
}

// release frees the locks. The member's mutex is held.
func (t *Transaction) release() {
	select {
	case <-t.done:
		return
	default:
	}
	for _, id := range t.locked {
		delete(t.member.locks, id)
	}
	close(t.done)
}

func (t *Transaction) note(c walog.Change) {
	t.changes = append(t.changes, c)
	t.own[c.ID] = c
}

func (t *Transaction) read(id string) (string, bool) {
	t.member.mu.Lock()
	defer t.member.mu.Unlock()
	return t.get(id)
}

// get returns the item of a row as the transaction sees it. The member's mutex is held.
func (t *Transaction) get(id string) (string, bool) {
	if c, found := t.own[id]; found {
		return c.Item, c.Operation != walog.Delete
	}
	item, found := t.member.rows[id]
	return item, found
}

// all returns all rows as the transaction sees them. The member's mutex is held.
func (t *Transaction) all() []Order {
	var orders []Order
	for id, item := range t.member.rows {
		if _, changed := t.own[id]; !changed {
			orders = append(orders, Order{
				ID:   id,
				Item: item,
			})
		}
	}
	for id, c := range t.own {
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
