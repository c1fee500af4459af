package route

import (
	"net/url"
	"strings"
	"unicode"
)

// maxWords is how many words at the front of a statement are kept.
const maxWords = 12

// Text is what is known of a query's text without parsing it.
type Text struct {
	// Statements has the statements of the text in order, empty ones left out.
	Statements []Statement

	// Tags has the tags of all comments, in order.
	Tags []Tag

	// Forbidden is the first name that callers may not use, in small letters, or "".
	Forbidden string
}

// Statement is the front of a statement.
type Statement struct {
	// Words are the first words, in capitals, without comments.
	Words []string
}

// Tag is a key and a value from a comment in the sqlcommenter manner.
type Tag struct {
	// Key is the tag's name.
	Key string

	// Value is the tag's value, decoded.
	Value string
}

// Scan splits a text at its semicolons and reads the tags of its comments. Quoted text, comments
// and dollar quotes are passed over.
func Scan(query string) Text {
	s := scanner{
		rest: query,
	}
	for s.rest != "" {
		s.step()
	}
	s.endStatement()
	s.text.Forbidden = s.guard.found
	return s.text
}

// scanner walks over a text. Each step shortens rest.
type scanner struct {
	// rest is what has not been read yet.
	rest string

	// text is what has been found.
	text Text

	// words are those of the statement being read.
	words []string

	// filled says that the statement being read is not empty.
	filled bool

	// guard looks for names that callers may not use.
	guard guard
}

func (s *scanner) step() {
	switch {
	case strings.HasPrefix(s.rest, "--"):
		s.skipLine()
	case strings.HasPrefix(s.rest, "/*"):
		s.comment()
	case s.rest[0] == '\'':
		s.quoted('\'', false)
	case s.rest[0] == '"':
		s.quotedName()
	case (s.rest[0] == 'e' || s.rest[0] == 'E') && len(s.rest) > 1 && s.rest[1] == '\'':
		s.rest = s.rest[1:]
		s.quoted('\'', true)
	case s.rest[0] == '$':
		s.dollar()
	case s.rest[0] == ';':
		s.rest = s.rest[1:]
		s.endStatement()
	case isWordByte(s.rest[0]):
		s.word()
	default:
		s.other(s.rest[0])
		s.rest = s.rest[1:]
	}
}

// other takes a character that is part of nothing longer.
func (s *scanner) other(c byte) {
	if unicode.IsSpace(rune(c)) {
		return
	}
	s.filled = true
	s.guard.other(c)
}

// quotedName skips a name in quotes.
func (s *scanner) quotedName() {
	whole := s.rest
	s.quoted('"', false)
	name := strings.TrimSuffix(whole[1:len(whole)-len(s.rest)], `"`)
	s.guard.quoted(name)
}

func (s *scanner) endStatement() {
	if s.filled {
		s.text.Statements = append(s.text.Statements, Statement{
			Words: s.words,
		})
	}
	s.words = nil
	s.filled = false
}

func (s *scanner) skipLine() {
	_, after, _ := strings.Cut(s.rest, "\n")
	s.rest = after
}

// comment skips a comment, which may hold others, and reads its tags.
func (s *scanner) comment() {
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

// quoted skips quoted text. A doubled quote reads as the end of one text and the start of the next.
func (s *scanner) quoted(quote byte, escapes bool) {
	s.filled = true
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

// dollar skips a dollar-quoted text, or the dollar sign of a parameter.
func (s *scanner) dollar() {
	s.filled = true
	end := 1
	for end < len(s.rest) && isWordByte(s.rest[end]) {
		end++
	}
	isParameter := end > 1 && s.rest[1] >= '0' && s.rest[1] <= '9'
	if isParameter || end == len(s.rest) || s.rest[end] != '$' {
		s.rest = s.rest[end:]
		return
	}
	mark := s.rest[:end+1]
	_, after, _ := strings.Cut(s.rest[end+1:], mark)
	s.rest = after
}

func (s *scanner) word() {
	s.filled = true
	end := 0
	for end < len(s.rest) && isWordByte(s.rest[end]) {
		end++
	}
	word := strings.ToUpper(s.rest[:end])
	if len(s.words) < maxWords {
		s.words = append(s.words, word)
	}
	s.guard.name(word)
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

// parseTags reads key='value' pairs, separated by commas. What has another form is no tag.
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
