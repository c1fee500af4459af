// Package entry serves the sessions of callers: it routes each batch, maintains the session's floor, which
// is the log position per group that the session's reads must see, and retries what may be retried.
//
// A Handler implements caller.Handler for a caller.Server. For each batch that opens a transaction it selects
// the route, the group and the member, and begins the transaction on the member's lane. A read goes to the
// replica with the lowest predicted response time among those that reach the session's floor in time, or to
// the primary if there is none:
//
//	h := &entry.Handler{
//		Peers:     mesh,
//		Lanes:     lanes,
//		Positions: lanes,
//		Signer:    signer,
//		Throttle:  throttle,
//		Metrics:   entry.NewMetrics(registry),
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

// Handler serves the sessions of callers. It implements caller.Handler and is safe for concurrent use.
type Handler struct {
	// Peers provides the tables, the primary of each group and the identity of this proxy.
	Peers egret.Peers

	// Lanes begins transactions on members.
	Lanes egret.Lanes

	// Positions looks up a group's confirmed position, which becomes the floor of sessions without a token.
	Positions egret.Positions

	// Signer signs and verifies session tokens.
	Signer *token.Signer

	// Backoff determines the delay between the attempts of a request.
	Backoff retry.Backoff

	// Throttle limits retries to a fraction of all requests.
	Throttle *retry.Throttle

	// ReplicaWaitTimeout is the longest time that a replica may take to reach a session's floor.
	ReplicaWaitTimeout time.Duration

	// TransactionIdleTimeout is the longest time that a caller may leave a transaction open without a request.
	TransactionIdleTimeout time.Duration

	// ForwardCancel forwards a cancel request to the proxy that serves the session. It may be nil.
	ForwardCancel func(ctx context.Context, k caller.CancelKey)

	// Metrics counts requests. It must be set.
	Metrics *Metrics

	// loads caches the loads that lanes have reported for their members.
	loads loadCache

	mu sync.Mutex

	// sessions has the open sessions by the process number of their cancel key.
	sessions map[uint32]*session

	// lastNumber is the number that NewCancelKey used last, the lower half of a process number.
	lastNumber uint16

	// sessionCount is the number of open sessions.
	sessionCount atomic.Int64
}

// Admit checks that a route matches the caller and its database, and that its token, if any, is valid.
func (h *Handler) Admit(s *caller.Startup) error {
	t := h.Peers.TablesInForce()
	if t == nil {
		return &egret.Failure{
			Outcome: egret.OutcomeNotRun,
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
	if _, err := h.Signer.Verify(s.User, s.Database, s.Token); err != nil {
		return &egret.Failure{
			Outcome: egret.OutcomeNotRun,
			Code:    egret.CodeInvalidToken,
			Message: err.Error(),
		}
	}
	return nil
}

// Serve runs the session of a connection.
func (h *Handler) Serve(ctx context.Context, c *caller.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		handler:       h,
		conn:          c,
		raisedAt:      make(map[string]time.Time),
		floorLookedUp: make(map[string]struct{}),
		readOnly:      c.Startup.ReadOnly,
	}
	if c.Startup.Token != "" {
		// Admit has validated the token.
		s.floor, _ = h.Signer.Verify(c.Startup.User, c.Startup.Database, c.Startup.Token)
	}
	h.add(s)
	defer h.remove(s)
	s.run(ctx)
}

// Cancel cancels the running request of a session of this proxy, or forwards the key to the session's proxy.
func (h *Handler) Cancel(ctx context.Context, k caller.CancelKey) {
	if h.CancelLocal(k) || h.ForwardCancel == nil {
		return
	}
	h.ForwardCancel(ctx, k)
}

// CancelLocal cancels the running request of a session of this proxy. It returns false if this proxy has no
// session with the key.
func (h *Handler) CancelLocal(k caller.CancelKey) bool {
	h.mu.Lock()
	s := h.sessions[k.ProcessID]
	h.mu.Unlock()
	if s == nil || subtle.ConstantTimeCompare(s.conn.CancelKey.Secret[:], k.Secret[:]) != 1 {
		return false
	}
	s.cancel()
	return true
}

// NewCancelKey returns a cancel key for a new session of this proxy. The upper half of its process number identifies
// the proxy, the lower half is a number that no open session of the proxy has, unless all numbers are taken.
func (h *Handler) NewCancelKey() caller.CancelKey {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := caller.CancelKey{}
	// Read never returns an error: crypto/rand ends the process if the system provides no random numbers.
	_, _ = rand.Read(k.Secret[:])
	node := place.ShortHash(h.Peers.Self().ID)
	for range math.MaxUint16 {
		h.lastNumber++
		k.ProcessID = uint32(node)<<16 | uint32(h.lastNumber)
		if _, taken := h.sessions[k.ProcessID]; !taken {
			break
		}
	}
	return k
}

// SessionCount returns the number of open sessions.
func (h *Handler) SessionCount() int {
	return int(h.sessionCount.Load())
}

func (h *Handler) add(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sessions == nil {
		h.sessions = make(map[uint32]*session)
	}
	h.sessions[s.conn.CancelKey.ProcessID] = s
	h.sessionCount.Add(1)
}

func (h *Handler) remove(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// With 65,536 open sessions the numbers run out, and a newer session may have taken over the number of this one.
	if h.sessions[s.conn.CancelKey.ProcessID] == s {
		delete(h.sessions, s.conn.CancelKey.ProcessID)
	}
	h.sessionCount.Add(-1)
}
