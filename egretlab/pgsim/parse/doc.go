// Package parse parses SQL text into statements.
//
//	statements, err := parse.Statements("SELECT item FROM orders WHERE id = $1; COMMIT")
//
// It is a recursive-descent parser over the tokens of package scan, with one method for each grammar
// rule. The text of a statement includes all comments since the preceding semicolon.
package parse
