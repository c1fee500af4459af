// Package walog keeps the log of a database member and the terms that it granted.
//
// A Log is a list of entries whose terms never fall and whose offsets rise by one. Two logs that
// hold an entry with the same term and offset are equal up to it, because one term has one writer.
// That makes the last common entry of two logs a matter of comparing where their terms end:
//
//	common := log.Common(peer.Spans())
//	err := log.Truncate(common.Offset)
//
// With a folder, the entries are lines of JSON in one file that only grows, and the grant is a small
// file that is replaced as a whole. Both survive the end of the process at any point. They are not
// flushed to the disk, so they needn't survive the end of the machine.
package walog
