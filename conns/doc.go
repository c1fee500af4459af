// Package conns decides which connections of a member the statements of each workspace use. A connection belongs to one
// workspace for its lifetime, opening one takes time and a slot of the member, and there are fewer connections than
// workspaces. The package does no I/O, starts no goroutines and reads no clock.
//
//	p := conns.Pool[*conn]{
//		Limit:    53,
//		Attempts: 2,
//	}
//	if p.Available(workspace) == conns.None {
//		return // The statement waits.
//	}
//	p.Assign(now, workspace)
//	...
//	c := p.Acquire(now, workspace, nil)
//	if c.Closes {
//		c.Close.close()
//	}
//	if c.Found {
//		return c.Conn
//	}
//	conn := open()
//	p.Opened(workspace)
//	...
//	p.Put(workspace, conn)
//
// A pool that knows no named workspace sets no limits but its size.
package conns
