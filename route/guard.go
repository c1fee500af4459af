package route

import (
	"slices"
	"strings"
)

// platformSchema has the functions by which groups are driven. They are no callers' business.
const platformSchema = "PLATFORM"

// sharedFunctions act on other connections, or leave a lock on a connection that callers share.
var sharedFunctions = []string{
	"PG_ADVISORY_LOCK", "PG_ADVISORY_LOCK_SHARED", "PG_TRY_ADVISORY_LOCK", "PG_TRY_ADVISORY_LOCK_SHARED",
	"PG_ADVISORY_UNLOCK", "PG_ADVISORY_UNLOCK_SHARED", "PG_ADVISORY_UNLOCK_ALL",
	"PG_TERMINATE_BACKEND", "PG_CANCEL_BACKEND",
}

// guard looks for names that callers may not use. It reads names as the database does, but no text
// that a function of the database would run: rights in the database have to see to that.
type guard struct {
	// found is the first such name, or "".
	found string

	// last is the name that was read last, in capitals, if nothing but blanks and comments followed.
	last string
}

// name takes a name, or several with dots.
func (g *guard) name(name string) {
	if strings.HasPrefix(name, ".") || strings.HasSuffix(g.last, ".") {
		name = g.last + name
	}
	function := name[strings.LastIndexByte(name, '.')+1:]
	if strings.HasPrefix(name, platformSchema+".") || slices.Contains(sharedFunctions, function) {
		g.find(strings.ToLower(name))
	}
	g.last = name
}

// other takes a character that is neither blank nor part of a name. A name that is spelled with escapes
// is not read.
func (g *guard) other(c byte) {
	if c == '&' && g.last == "U" {
		g.last = "U&"
		return
	}
	g.last = ""
}

// quoted takes a name in quotes.
func (g *guard) quoted(name string) {
	if g.last == "U&" {
		g.find("u&\"" + name + "\"")
	}
	g.name(strings.ToUpper(name))
}

func (g *guard) find(name string) {
	if g.found == "" {
		g.found = name
	}
}
