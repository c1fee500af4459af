package query

import (
	"strings"
	"unicode/utf8"
)

// shape is what a token looks like.
type shape int

const (
	shapeEnd shape = iota
	shapeWord
	shapeQuoted
	shapeString
	shapeNumber
	shapeParameter
	shapeSymbol
)

// token is a piece of the text.
type token struct {
	// shape says how to read text.
	shape shape

	// text is the word in lower case, the string without its quotes, the number, the digits of a
	// parameter, or the symbol.
	text string

	// start and end are where the token stands in the source.
	start int
	end   int
}

// lexer cuts a source into tokens.
type lexer struct {
	// source is the whole text.
	source string

	// at is the next byte to read.
	at int
}

// tokens returns all tokens, with one of shapeEnd last.
func (l *lexer) tokens() ([]token, error) {
	var all []token
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		all = append(all, t)
		if t.shape == shapeEnd {
			return all, nil
		}
	}
}

func (l *lexer) next() (token, error) {
	if err := l.skip(); err != nil {
		return token{}, err
	}
	start := l.at
	if start == len(l.source) {
		return l.token(shapeEnd, "", start), nil
	}
	c := l.source[start]
	switch {
	case c == '\'':
		return l.quoted(shapeString, '\'')
	case c == '"':
		return l.quoted(shapeQuoted, '"')
	case isDigit(c), (c == '-' || c == '.') && l.digitFollows():
		return l.number(), nil
	case c == '$' && l.digitFollows():
		l.at++
		l.take(isDigit)
		return l.token(shapeParameter, l.source[start+1:l.at], start), nil
	case isWordStart(c):
		l.take(isWordPart)
		return l.token(shapeWord, strings.ToLower(l.source[start:l.at]), start), nil
	case strings.HasPrefix(l.source[start:], "::"):
		l.at += 2
		return l.token(shapeSymbol, "::", start), nil
	default:
		_, size := utf8.DecodeRuneInString(l.source[start:])
		l.at += size
		return l.token(shapeSymbol, l.source[start:l.at], start), nil
	}
}

// skip passes over white space and comments. Comments between slashes nest.
func (l *lexer) skip() error {
	for l.at < len(l.source) {
		rest := l.source[l.at:]
		switch {
		case isSpace(rest[0]):
			l.at++
		case strings.HasPrefix(rest, "--"):
			l.take(func(c byte) bool { return c != '\n' })
		case strings.HasPrefix(rest, "/*"):
			if err := l.skipComment(); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

func (l *lexer) skipComment() error {
	start := l.at
	depth := 0
	for l.at < len(l.source) {
		rest := l.source[l.at:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
		default:
			l.at++
		}
		if depth == 0 {
			return nil
		}
	}
	return syntaxError(start, "unterminated /* comment")
}

// quoted reads up to the closing quote. A doubled quote stands for one.
func (l *lexer) quoted(s shape, quote byte) (token, error) {
	start := l.at
	var text strings.Builder
	for l.at++; l.at < len(l.source); l.at++ {
		if l.source[l.at] != quote {
			text.WriteByte(l.source[l.at])
			continue
		}
		l.at++
		if l.at == len(l.source) || l.source[l.at] != quote {
			return l.token(s, text.String(), start), nil
		}
		text.WriteByte(quote)
	}
	return token{}, syntaxError(start, "unterminated quoted string")
}

func (l *lexer) number() token {
	start := l.at
	l.at++
	l.take(func(c byte) bool { return isDigit(c) || c == '.' })
	return l.token(shapeNumber, l.source[start:l.at], start)
}

func (l *lexer) token(s shape, text string, start int) token {
	return token{
		shape: s,
		text:  text,
		start: start,
		end:   l.at,
	}
}

func (l *lexer) take(keep func(c byte) bool) {
	for l.at < len(l.source) && keep(l.source[l.at]) {
		l.at++
	}
}

func (l *lexer) digitFollows() bool {
	return l.at+1 < len(l.source) && isDigit(l.source[l.at+1])
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= utf8.RuneSelf
}

func isWordPart(c byte) bool {
	return isWordStart(c) || isDigit(c) || c == '$'
}
