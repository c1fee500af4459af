// Package repl replicates the log from a primary to its replicas.
//
// A replica connects to the primary's PostgreSQL port with the start-up parameter replication=true
// and sends one Query, START_REPLICATION followed by a Request in JSON. The primary answers with
// CopyBothResponse and then sends frames in CopyData messages. The first frame has the last offset that the
// two logs have in common; the replica truncates its log there. Frames with entries follow, and empty
// frames as heartbeats when there are no entries. The replica answers each frame with a Reply.
//
//	f := repl.Follower{
//		Member: m,
//	}
//	f.Run(ctx)
//
// Either side ends the stream as soon as its member has granted another term. It also ends the stream if
// the other side is silent for longer than the peer timeout.
package repl
