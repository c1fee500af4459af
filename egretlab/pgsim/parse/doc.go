// Package parse parses SQL text into statements.
//
//	statements, err := parse.Statements("SELECT item FROM orders WHERE id = $1; COMMIT")
//
// It is a recursive-descent parser over the tokens of package scan, with one method for each grammar
// rule. A comment is part of the text of the statement that follows it.
package parse
