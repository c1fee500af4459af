// Package scan cuts the text of statements into tokens.
//
//	tokens, err := scan.Tokens("SELECT 1 -- a comment")
//
// Comments and white space stand between tokens and are passed over.
package scan

import (
	"strings"
	"unicode/utf8"

	"egretlane.example/egret/egretlab/pgsim/query"
)

// Shape is what a token looks like.
type Shape int

// The shapes of tokens.
const (
	// End follows the last token.
	End Shape = iota

	// Word is a keyword or a name, in lower case.
	Word

	// Quoted is a name in double quotes, without them.
	Quoted

	// String is a string, without its quotes.
	String

	// Number is a number.
	Number

	// Parameter is the digits of a parameter.
	Parameter

	// Symbol is any other character, or a double colon.
	Symbol
)

// Token is a piece of the text.
type Token struct {
	// Shape says how to read Text.
	Shape Shape

	// Text is what the token stands for.
	Text string

	// Start and End are the bytes of the source that the token takes.
	Start, End int
}

// Tokens returns the tokens of a source, with one of shape End last. An error is a *query.Error.
func Tokens(source string) ([]Token, error) {
	l := lexer{
		source: source,
	}
	return l.tokens()
}

// lexer cuts a source into tokens.
type lexer struct {
	// source is the whole text.
	source string

	// at is the next byte to read.
	at int
}

func (l *lexer) tokens() ([]Token, error) {
	var all []Token
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		all = append(all, t)
		if t.Shape == End {
			return all, nil
		}
	}
}

func (l *lexer) next() (Token, error) {
	if err := l.skip(); err != nil {
		return Token{}, err
	}
	start := l.at
	if start == len(l.source) {
		return l.token(End, "", start), nil
	}
	c := l.source[start]
	switch {
	case c == '\'':
		return l.quoted(String, '\'')
	case c == '"':
		return l.quoted(Quoted, '"')
	case isDigit(c), (c == '-' || c == '.') && l.digitFollows():
		return l.number(), nil
	case c == '$' && l.digitFollows():
		l.at++
		l.take(isDigit)
		return l.token(Parameter, l.source[start+1:l.at], start), nil
	case isWordStart(c):
		l.take(isWordPart)
		return l.token(Word, strings.ToLower(l.source[start:l.at]), start), nil
	case strings.HasPrefix(l.source[start:], "::"):
		l.at += 2
		return l.token(Symbol, "::", start), nil
	default:
		_, size := utf8.DecodeRuneInString(l.source[start:])
		l.at += size
		return l.token(Symbol, l.source[start:l.at], start), nil
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
	return query.Syntax(start, "unterminated /* comment")
}

// quoted reads up to the closing quote. A doubled quote stands for one.
func (l *lexer) quoted(s Shape, quote byte) (Token, error) {
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
	return Token{}, query.Syntax(start, "unterminated quoted string")
}

func (l *lexer) number() Token {
	start := l.at
	l.at++
	l.take(func(c byte) bool { return isDigit(c) || c == '.' })
	return l.token(Number, l.source[start:l.at], start)
}

func (l *lexer) token(s Shape, text string, start int) Token {
	return Token{
		Shape: s,
		Text:  text,
		Start: start,
		End:   l.at,
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
