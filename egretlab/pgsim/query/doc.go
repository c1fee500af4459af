// Package query reads the statements that a database member of the laboratory understands.
//
// The language is a small part of PostgreSQL's: one table, transactions, settings and a few
// functions. What doesn't belong to it is refused with an Error that carries the SQLSTATE.
//
//	statements, err := query.Parse("BEGIN READ ONLY; SELECT item FROM orders WHERE id = $1")
//
// Comments are skipped wherever they stand, and kept in the text of the statement that follows.
package query
