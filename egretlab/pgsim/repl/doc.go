// Package repl carries the log from a primary to its replicas.
//
// A replica connects to the primary's PostgreSQL port with the start-up parameter replication=true
// and sends one Query, START_REPLICATION followed by a Request. The primary answers with
// CopyBothResponse and then with frames in CopyData messages. The first frame says how much of the
// two logs is common; the replica cuts its own there. Frames with entries follow, and heartbeats
// when there are none. The replica answers each frame.
//
//	f := repl.Follower{
//		Member: m,
//	}
//	f.Run(ctx)
//
// Either side ends the stream as soon as its member has granted another term.
package repl
