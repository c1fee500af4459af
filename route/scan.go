package route

import (
	"net/url"
	"strings"
	"unicode"
)

// maxWords is how many leading words of a statement are kept.
const maxWords = 12

// ScannedQuery is the result of scanning the text of a query.
type ScannedQuery struct {
	// Statements holds the statements of the text in order, without empty ones.
	Statements []Statement

	// Tags holds the tags of all comments, in order.
	Tags []Tag

	// ForbiddenName is the first name in the text that callers may not use, or "". It is in lower case, unless it
	// has Unicode escapes.
	ForbiddenName string
}

// Statement holds the leading words of a statement.
type Statement struct {
	// Words are up to maxWords first words in upper case. They include neither comments nor quoted text.
	Words []string
}

// Tag is a key and a value from a comment in the format of sqlcommenter.
type Tag struct {
	// Key is the tag's name.
	Key string

	// Value is the tag's value, decoded.
	Value string
}

// Scan splits a text into statements at its semicolons and reads the tags of its comments. Semicolons in quoted text,
// dollar-quoted text and comments don't count.
func Scan(query string) ScannedQuery {
	s := scanner{
		rest: query,
	}
	for s.rest != "" {
		s.step()
	}
	s.endStatement()
	s.text.ForbiddenName = s.names.forbidden
	return s.text
}

// scanner holds the state of Scan. Each step consumes a part of rest.
type scanner struct {
	// rest is the part of the text that has not been read yet.
	rest string

	// text is the result so far.
	text ScannedQuery

	// words are the first words of the current statement.
	words []string

	// nonEmpty says that the current statement has more than white space and comments.
	nonEmpty bool

	// names checks for names that callers may not use.
	names nameChecker
}

// step consumes the next token.
func (s *scanner) step() {
	switch {
	case strings.HasPrefix(s.rest, "--"):
		s.skipLine()
	case strings.HasPrefix(s.rest, "/*"):
		s.skipComment()
	case s.rest[0] == '\'':
		s.skipQuoted('\'', false)
	case s.rest[0] == '"':
		s.readQuotedName()
	case (s.rest[0] == 'e' || s.rest[0] == 'E') && len(s.rest) > 1 && s.rest[1] == '\'':
		s.rest = s.rest[1:]
		s.skipQuoted('\'', true)
	case s.rest[0] == '$':
		s.skipDollar()
	case s.rest[0] == ';':
		s.rest = s.rest[1:]
		s.endStatement()
	case isWordByte(s.rest[0]):
		s.readWord()
	default:
		s.readOther(s.rest[0])
		s.rest = s.rest[1:]
	}
}

// readOther handles a single character that starts no longer token.
func (s *scanner) readOther(c byte) {
	if unicode.IsSpace(rune(c)) {
		return
	}
	s.nonEmpty = true
	s.names.readOther(c)
}

// readQuotedName reads a quoted name. It doesn't count as a word.
func (s *scanner) readQuotedName() {
	before := s.rest
	s.skipQuoted('"', false)
	name := strings.TrimSuffix(before[1:len(before)-len(s.rest)], `"`)
	s.names.readQuoted(name)
}

func (s *scanner) endStatement() {
	if s.nonEmpty {
		s.text.Statements = append(s.text.Statements, Statement{
			Words: s.words,
		})
	}
	s.words = nil
	s.nonEmpty = false
}

func (s *scanner) skipLine() {
	_, after, _ := strings.Cut(s.rest, "\n")
	s.rest = after
}

// skipComment skips a block comment, which may contain others, and reads its tags.
func (s *scanner) skipComment() {
	depth := 0
	for i := 0; i+1 < len(s.rest); {
		switch s.rest[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
		default:
			i++
		}
		if depth == 0 {
			s.text.Tags = append(s.text.Tags, parseTags(s.rest[2:i-2])...)
			s.rest = s.rest[i:]
			return
		}
	}
	s.rest = ""
}

// skipQuoted skips quoted text. If escapes is set, a backslash escapes the next character. A doubled quote is read as
// the end of one quoted text and the start of the next.
func (s *scanner) skipQuoted(quote byte, escapes bool) {
	s.nonEmpty = true
	for i := 1; i < len(s.rest); i++ {
		if escapes && s.rest[i] == '\\' {
			i++
			continue
		}
		if s.rest[i] == quote {
			s.rest = s.rest[i+1:]
			return
		}
	}
	s.rest = ""
}

// skipDollar skips a dollar-quoted text or a numbered parameter.
func (s *scanner) skipDollar() {
	s.nonEmpty = true
	end := 1
	for end < len(s.rest) && isWordByte(s.rest[end]) {
		end++
	}
	isParameter := end > 1 && s.rest[1] >= '0' && s.rest[1] <= '9'
	if isParameter || end == len(s.rest) || s.rest[end] != '$' {
		s.rest = s.rest[end:]
		return
	}
	delimiter := s.rest[:end+1]
	_, after, _ := strings.Cut(s.rest[end+1:], delimiter)
	s.rest = after
}

func (s *scanner) readWord() {
	s.nonEmpty = true
	end := 0
	for end < len(s.rest) && isWordByte(s.rest[end]) {
		end++
	}
	word := strings.ToUpper(s.rest[:end])
	if len(s.words) < maxWords {
		s.words = append(s.words, word)
	}
	s.names.readName(word)
	s.rest = s.rest[end:]
}

func isWordByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '_', c == '.', c >= 0x80:
		return true
	default:
		return false
	}
}

// parseTags returns the tags of a comment: key='value' pairs, separated by commas. Parts in any other form are ignored.
func parseTags(comment string) []Tag {
	var tags []Tag
	for pair := range strings.SplitSeq(comment, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || len(value) < 2 || value[0] != '\'' || value[len(value)-1] != '\'' {
			continue
		}
		decoded, err := url.QueryUnescape(value[1 : len(value)-1])
		if err != nil {
			continue
		}
		tags = append(tags, Tag{
			Key:   strings.TrimSpace(key),
			Value: decoded,
		})
	}
	return tags
}
