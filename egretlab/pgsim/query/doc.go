// Package query has the statements that a database member of the laboratory understands.
//
// The language is a small part of PostgreSQL's: one table, transactions, settings and a few
// functions. Package parse reads a text into Statements:
//
//	statements, err := parse.Statements("BEGIN READ ONLY; SELECT item FROM orders WHERE id = $1")
//	access := statements[0].Node.(*query.Begin).Access
//
// What doesn't belong to the language is an Error that carries the SQLSTATE.
package query
