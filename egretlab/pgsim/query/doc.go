// Package query defines the statements that a database member of the test bench supports.
//
// They are a small subset of PostgreSQL's SQL: one table, transactions, settings and a few
// functions. Package parse parses a text into Statements:
//
//	statements, err := parse.Statements("BEGIN READ ONLY; SELECT item FROM orders WHERE id = $1")
//	access := statements[0].Node.(*query.Begin).Access
//
// Text outside of this subset gives an Error, which has the SQLSTATE to answer with.
package query
