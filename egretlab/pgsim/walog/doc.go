// Package walog stores the log of a database member and the term that the member has granted.
//
// A Log is a list of entries whose terms never decrease and whose offsets increase by one. Two logs that
// have an entry with the same term and offset are equal up to that entry, because each term has only one
// writer. So the last common entry of two logs follows from the offsets at which their terms end:
//
//	common := log.CommonPosition(peer.Spans())
//	err := log.Truncate(common.Offset)
//
// With a folder, the entries are lines of JSON appended to one file, and the grant is a small file that
// is replaced atomically. Both survive a crash of the process at any point. They are not synced to the
// disk, so they may not survive a crash of the machine.
package walog
