// Package parse reads the text of statements.
//
//	statements, err := parse.Statements("SELECT item FROM orders WHERE id = $1; COMMIT")
//
// It is a parser by recursive descent over the tokens of package scan: a method for each part of a
// statement, which takes the tokens of that part. Comments stay in the text of the statement that
// follows them.
package parse
