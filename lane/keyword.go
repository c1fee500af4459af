package lane

import "strings"

// keyword returns the first word of a statement in upper case. Leading blanks, semicolons,
// parentheses and comments are skipped.
func keyword(query string) string {
	query = skipComments(query)
	end := strings.IndexFunc(query, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(query)
	}
	return strings.ToUpper(query[:end])
}

func skipComments(query string) string {
	for {
		query = strings.TrimLeft(query, " \t\r\n;(")
		switch {
		case strings.HasPrefix(query, "--"):
			_, query, _ = strings.Cut(query, "\n")
		case strings.HasPrefix(query, "/*"):
			_, query, _ = strings.Cut(query, "*/")
		default:
			return query
		}
	}
}

// opensTransaction reports whether a statement with the given first keyword opens a transaction.
func opensTransaction(keyword string) bool {
	return keyword == "BEGIN" || keyword == "START"
}

// endsTransaction reports whether a statement with the given first keyword may end a transaction.
func endsTransaction(keyword string) bool {
	return keyword == "COMMIT" || keyword == "END" || keyword == "ROLLBACK" || keyword == "ABORT"
}

// writesTag reports whether a command tag may stand for a write that is committed with the command.
// In doubt it counts as a write: a SELECT may call a function that writes. Inside a transaction
// block, its writes are committed by the COMMIT.
func writesTag(tag string, readOnly bool, inBlock bool) bool {
	switch keyword(tag) {
	case "SHOW", "ROLLBACK", "BEGIN", "START", "SET", "RESET", "FETCH", "MOVE", "DECLARE", "CLOSE", "SAVEPOINT",
		"RELEASE":
		return false
	case "SELECT", "EXPLAIN":
		return !readOnly && !inBlock
	case "COMMIT":
		return !readOnly
	default:
		return true
	}
}

// hasEffect reports whether a command tag stands for more than the start of a transaction.
func hasEffect(tag string) bool {
	return !opensTransaction(keyword(tag))
}
