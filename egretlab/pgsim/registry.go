package pgsim

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/sess"
)

// codeTooManyConnections is the SQLSTATE too_many_connections.
const codeTooManyConnections = "53300"

// registry tracks the open client connections. Replication connections are not in it.
type registry struct {
	// limit is the maximum number of open connections.
	limit int

	// mu guards the fields below.
	mu sync.Mutex

	// clients holds at most limit connections.
	clients []*client

	// lastProcess is the process number assigned last. Numbers are not reused.
	lastProcess uint32

	// peak is the highest number of connections open at the same time.
	peak int

	// refused counts connections rejected because of the limit.
	refused uint64
}

// client is one open client connection.
type client struct {
	// key identifies the connection in a CancelRequest.
	key cancelKey

	// session runs the client's statements.
	session *sess.Session

	// terminate ends the session with a cause that the client is told.
	terminate context.CancelCauseFunc
}

// add registers a connection and assigns its process number. It fails when the limit is reached.
func (r *registry) add(s *sess.Session, terminate context.CancelCauseFunc) (cancelKey, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.clients) >= r.limit {
		r.refused++
		return cancelKey{}, &core.Error{
			Code:    codeTooManyConnections,
			Message: "sorry, too many clients already",
		}
	}
	r.lastProcess++
	k := cancelKey{
		process: r.lastProcess,
		secret:  rand.Uint32(),
	}
	r.clients = append(r.clients, &client{
		key:       k,
		session:   s,
		terminate: terminate,
	})
	r.peak = max(r.peak, len(r.clients))
	return k, nil
}

func (r *registry) remove(process uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, c := range r.clients {
		if c.key.process == process {
			r.clients = append(r.clients[:i], r.clients[i+1:]...)
			return
		}
	}
}

// cancelStatement cancels the running statement of a connection if the secret matches.
func (r *registry) cancelStatement(process uint32, secret []byte) {
	c := r.find(process)
	if c == nil || len(secret) != 4 || binary.BigEndian.Uint32(secret) != c.key.secret {
		return
	}
	c.session.Cancel()
}

// ConnectionCount implements plat.Registry.
func (r *registry) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.clients)
}

// Terminate implements plat.Registry.
func (r *registry) Terminate(process uint32) bool {
	c := r.find(process)
	if c == nil {
		return false
	}
	c.terminate(sess.ErrTerminated)
	return true
}

func (r *registry) find(process uint32) *client {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		if c.key.process == process {
			return c
		}
	}
	return nil
}

// usage returns the number of open connections, its peak, and how many connections were refused.
func (r *registry) usage() (open int, peak int, refused uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.clients), r.peak, r.refused
}
