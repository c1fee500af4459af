// Package entry serves the sessions of callers: it routes each batch, keeps the session's floor and
// tries again what may be tried again.
//
// A Desk is the handler of a caller.Server. For each batch that opens a transaction it finds the
// route, the group and the member, and opens a transaction through the lanes. Reads go to the replica
// with the lowest predicted time that reaches the session's floor; a read that no replica can serve
// in time goes to the primary:
//
//	d := &entry.Desk{
//		Peers:     mesh,
//		Lanes:     lanes,
//		Positions: lanes,
//		Sealer:    sealer,
//	}
package entry

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"egretlane.example/egret"
	"egretlane.example/egret/caller"
	"egretlane.example/egret/place"
	"egretlane.example/egret/retry"
	"egretlane.example/egret/route"
	"egretlane.example/egret/token"
)

// Desk serves sessions. It is safe for concurrent use.
type Desk struct {
	// Peers gives the tables, the primaries and this proxy.
	Peers egret.Peers

	// Lanes opens transactions.
	Lanes egret.Lanes

	// Positions gives a floor to sessions that bring no token.
	Positions egret.Positions

	// Sealer makes and opens tokens.
	Sealer *token.Sealer

	// Backoff is the wait between the tries of a request.
	Backoff retry.Backoff

	// Ratio limits tries again over all requests.
	Ratio *retry.Ratio

	// ReplicaWait is how long a replica may take to reach a session's floor.
	ReplicaWait time.Duration

	// TransactionIdle is how long a caller may leave a transaction open without a request.
	TransactionIdle time.Duration

	// CancelAt hands a cancel request to the proxy of the session. It may be nil.
	CancelAt func(ctx context.Context, k caller.CancelKey)

	// Metrics counts requests. It must be set.
	Metrics *Metrics

	// loads has what the lanes last said of their members.
	loads loads

	mu sync.Mutex

	// sessions has the open sessions by the number in their key.
	sessions map[uint32]*session

	// last is the number of the newest session.
	last uint16

	// open counts the sessions.
	open atomic.Int64
}

// Admit checks that some route serves the caller on the database, and opens its token.
func (d *Desk) Admit(s *caller.Startup) error {
	t := d.Peers.TablesNow()
	if t == nil {
		return &egret.Failure{
			Outcome: egret.NotRun,
			Code:    egret.CodeNotRun,
			Message: "the proxy has no routes yet",
		}
	}
	if _, err := route.Match(t, s.User, s.Database, ""); err != nil {
		return err
	}
	if s.Token == "" {
		return nil
	}
	if _, err := d.Sealer.Open(s.User, s.Database, s.Token); err != nil {
		return &egret.Failure{
			Outcome: egret.NotRun,
			Code:    egret.CodeToken,
			Message: err.Error(),
		}
	}
	return nil
}

// Serve runs a session.
func (d *Desk) Serve(ctx context.Context, c *caller.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		desk:     d,
		conn:     c,
		raised:   make(map[string]time.Time),
		settled:  make(map[string]struct{}),
		readOnly: c.Start.ReadOnly,
	}
	if c.Start.Token != "" {
		// Admit has opened this token before.
		s.floor, _ = d.Sealer.Open(c.Start.User, c.Start.Database, c.Start.Token)
	}
	d.add(s)
	defer d.remove(s)
	s.run(ctx)
}

// Cancel cancels the running request of a session here, or hands the key to its proxy.
func (d *Desk) Cancel(ctx context.Context, k caller.CancelKey) {
	if d.CancelHere(k) || d.CancelAt == nil {
		return
	}
	d.CancelAt(ctx, k)
}

// CancelHere cancels the running request of a session of this proxy. It returns false if there is no
// session with the key.
func (d *Desk) CancelHere(k caller.CancelKey) bool {
	d.mu.Lock()
	s := d.sessions[k.Process]
	d.mu.Unlock()
	if s == nil || subtle.ConstantTimeCompare(s.conn.Key.Secret[:], k.Secret[:]) != 1 {
		return false
	}
	s.cancel()
	return true
}

// Key returns an unused key for a session of this proxy.
func (d *Desk) Key() caller.CancelKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := caller.CancelKey{}
	// Read never fails: the library ends the process if the system has no random numbers.
	_, _ = rand.Read(k.Secret[:])
	node := place.ShortHash(d.Peers.Self().ID)
	for range math.MaxUint16 {
		d.last++
		k.Process = uint32(node)<<16 | uint32(d.last)
		if _, taken := d.sessions[k.Process]; !taken {
			break
		}
	}
	return k
}

// Sessions returns the number of open sessions.
func (d *Desk) Sessions() int {
	return int(d.open.Load())
}

func (d *Desk) add(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions == nil {
		d.sessions = make(map[uint32]*session)
	}
	d.sessions[s.conn.Key.Process] = s
	d.open.Add(1)
}

func (d *Desk) remove(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// After 65,536 sessions at once a number may stand for a newer session.
	if d.sessions[s.conn.Key.Process] == s {
		delete(d.sessions, s.conn.Key.Process)
	}
	d.open.Add(-1)
}
