package pgsim

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"

	"egretlane.example/egret/egretlab/pgsim/core"
	"egretlane.example/egret/egretlab/pgsim/sess"
)

// codeTooMany refuses a connection beyond the limit.
const codeTooMany = "53300"

// directory knows the connections of clients. Those of replicas aren't in it.
type directory struct {
	// limit is how many connections there may be.
	limit int

	// mu guards the fields below.
	mu sync.Mutex

	// clients holds at most limit connections.
	clients []*client

	// last is the last process number that was given. Numbers aren't used twice.
	last uint32

	// highest is how many connections there ever were at once.
	highest int

	// refused counts connections beyond the limit.
	refused uint64
}

// client is a connection.
type client struct {
	// key is what the client cancels with.
	key key

	// session is the client's session.
	session *sess.Session

	// end ends the session.
	end context.CancelCauseFunc
}

// add lets a connection in, or fails if there are too many.
func (d *directory) add(s *sess.Session, end context.CancelCauseFunc) (key, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.clients) >= d.limit {
		d.refused++
		return key{}, &core.Error{
			Code:    codeTooMany,
			Message: "sorry, too many clients already",
		}
	}
	d.last++
	k := key{
		process: d.last,
		secret:  rand.Uint32(),
	}
	d.clients = append(d.clients, &client{
		key:     k,
		session: s,
		end:     end,
	})
	d.highest = max(d.highest, len(d.clients))
	return k, nil
}

func (d *directory) remove(process uint32) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, c := range d.clients {
		if c.key.process == process {
			d.clients = append(d.clients[:i], d.clients[i+1:]...)
			return
		}
	}
}

// cancel ends the statement of a connection, if the secret is right.
func (d *directory) cancel(process uint32, secret []byte) {
	c := d.find(process)
	if c == nil || len(secret) != 4 || binary.BigEndian.Uint32(secret) != c.key.secret {
		return
	}
	c.session.Cancel()
}

// Connections implements plat.Directory.
func (d *directory) Connections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.clients)
}

// Terminate implements plat.Directory.
func (d *directory) Terminate(process uint32) bool {
	c := d.find(process)
	if c == nil {
		return false
	}
	c.end(sess.ErrTerminated)
	return true
}

func (d *directory) find(process uint32) *client {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.clients {
		if c.key.process == process {
			return c
		}
	}
	return nil
}

// usage returns the number of connections, the highest there was, and how many were refused.
func (d *directory) usage() (now int, highest int, refused uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.clients), d.highest, d.refused
}
