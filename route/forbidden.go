package route

import (
	"slices"
	"strings"
)

// platformSchema is the schema of the functions that control a group. Callers may not use them.
const platformSchema = "PLATFORM"

// forbiddenFunctions act on other connections, or leave a lock on a connection that callers share one after the other.
var forbiddenFunctions = []string{
	"PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED",
	"PG_ADVISORY_UNLOCK", "PG_ADVISORY_UNLOCK_SHARED", "PG_ADVISORY_UNLOCK_ALL",
	"PG_TERMINATE_BACKEND", "PG_CANCEL_BACKEND",
}

// nameChecker looks for names that callers may not use. It reads names as the database does, but doesn't look into
// strings that a function of the database would execute. Privileges in the database have to prevent these.
type nameChecker struct {
	// forbidden is the first such name, or "".
	forbidden string

	// lastName is the last name in upper case. Operators and punctuation clear it. White space, comments,
	// semicolons, and text in single or dollar quotes don't.
	lastName string
}

// readName checks a name in upper case, which may be qualified. The parts of a qualified name may come in several
// calls.
func (c *nameChecker) readName(name string) {
	if strings.HasPrefix(name, ".") || strings.HasSuffix(c.lastName, ".") {
		name = c.lastName + name
	}
	function := name[strings.LastIndexByte(name, '.')+1:]
	if strings.HasPrefix(name, platformSchema+".") || slices.Contains(forbiddenFunctions, function) {
		c.report(strings.ToLower(name))
	}
	c.lastName = name
}

// readOther handles a character that is neither white space nor part of a name. It recognizes the prefix U& of names
// with Unicode escapes.
func (c *nameChecker) readOther(char byte) {
	if char == '&' && c.lastName == "U" {
		c.lastName = "U&"
		return
	}
	c.lastName = ""
}

// readQuoted checks a quoted name. Names with Unicode escapes are not decoded but all forbidden.
func (c *nameChecker) readQuoted(name string) {
	if c.lastName == "U&" {
		c.report("u&\"" + name + "\"")
	}
	c.readName(strings.ToUpper(name))
}

// report records a forbidden name if it is the first.
func (c *nameChecker) report(name string) {
	if c.forbidden == "" {
		c.forbidden = name
	}
}
