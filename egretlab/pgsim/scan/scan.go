// Package scan splits SQL text into tokens.
//
//	tokens, err := scan.Tokens("SELECT 1 -- a comment")
//
// Comments and white space separate tokens and are skipped.
package scan

import (
	"strings"
	"unicode/utf8"

	"egretlane.example/egret/egretlab/pgsim/query"
)

// Kind is the lexical kind of a token.
type Kind int

// The kinds of tokens.
const (
	// EOF marks the end of the source, and is the kind of the last token.
	EOF Kind = iota

	// Word is a keyword or an unquoted identifier, in lower case.
	Word

	// QuotedIdentifier is an identifier in double quotes. Its text is without the quotes.
	QuotedIdentifier

	// String is a string literal. Its text is without the quotes.
	String

	// Number is a numeric literal, with its minus sign if it has one.
	Number

	// Parameter is a parameter such as $1. Its text is the digits.
	Parameter

	// Symbol is any other single character, or a double colon.
	Symbol
)

// Token is a lexical token of the source.
type Token struct {
	// Kind determines the form of Text.
	Kind Kind

	// Text is the text of the token, without quotes and without the $ of a parameter.
	Text string

	// Start and End delimit the token in the source, as byte offsets from zero. End is exclusive.
	Start, End int
}

// Tokens returns the tokens of a source text. The last one is of kind EOF. Errors are of type *query.Error.
func Tokens(source string) ([]Token, error) {
	l := lexer{
		source: source,
	}
	return l.tokens()
}

// lexer splits a source text into tokens.
type lexer struct {
	// source is the complete text.
	source string

	// offset is the byte offset of the next byte to read.
	offset int
}

func (l *lexer) tokens() ([]Token, error) {
	var tokens []Token
	for {
		t, err := l.next()
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		if t.Kind == EOF {
			return tokens, nil
		}
	}
}

func (l *lexer) next() (Token, error) {
	if err := l.skipSpaceAndComments(); err != nil {
		return Token{}, err
	}
	start := l.offset
	if start == len(l.source) {
		return l.newToken(EOF, "", start), nil
	}
	c := l.source[start]
	switch {
	case c == '\'':
		return l.scanQuoted(String, '\'')
	case c == '"':
		return l.scanQuoted(QuotedIdentifier, '"')
	case isDigit(c), (c == '-' || c == '.') && l.digitFollows():
		return l.scanNumber(), nil
	case c == '$' && l.digitFollows():
		l.offset++
		l.advanceWhile(isDigit)
		return l.newToken(Parameter, l.source[start+1:l.offset], start), nil
	case isWordStart(c):
		l.advanceWhile(isWordPart)
		return l.newToken(Word, strings.ToLower(l.source[start:l.offset]), start), nil
	case strings.HasPrefix(l.source[start:], "::"):
		l.offset += 2
		return l.newToken(Symbol, "::", start), nil
	default:
		_, size := utf8.DecodeRuneInString(l.source[start:])
		l.offset += size
		return l.newToken(Symbol, l.source[start:l.offset], start), nil
	}
}

// skipSpaceAndComments advances past white space and comments. Block comments nest.
func (l *lexer) skipSpaceAndComments() error {
	for l.offset < len(l.source) {
		rest := l.source[l.offset:]
		switch {
		case isSpace(rest[0]):
			l.offset++
		case strings.HasPrefix(rest, "--"):
			l.advanceWhile(func(c byte) bool { return c != '\n' })
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
	start := l.offset
	depth := 0
	for l.offset < len(l.source) {
		rest := l.source[l.offset:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.offset += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.offset += 2
		default:
			l.offset++
		}
		if depth == 0 {
			return nil
		}
	}
	return query.NewSyntaxError(start, "unterminated /* comment")
}

// scanQuoted scans up to the closing quote. Two adjacent quotes are an escaped quote.
func (l *lexer) scanQuoted(kind Kind, quote byte) (Token, error) {
	start := l.offset
	var text strings.Builder
	for l.offset++; l.offset < len(l.source); l.offset++ {
		if l.source[l.offset] != quote {
			text.WriteByte(l.source[l.offset])
			continue
		}
		l.offset++
		if l.offset == len(l.source) || l.source[l.offset] != quote {
			return l.newToken(kind, text.String(), start), nil
		}
		text.WriteByte(quote)
	}
	return Token{}, query.NewSyntaxError(start, "unterminated quoted string")
}

func (l *lexer) scanNumber() Token {
	start := l.offset
	l.offset++
	l.advanceWhile(func(c byte) bool { return isDigit(c) || c == '.' })
	return l.newToken(Number, l.source[start:l.offset], start)
}

func (l *lexer) newToken(kind Kind, text string, start int) Token {
	return Token{
		Kind:  kind,
		Text:  text,
		Start: start,
		End:   l.offset,
	}
}

func (l *lexer) advanceWhile(keep func(c byte) bool) {
	for l.offset < len(l.source) && keep(l.source[l.offset]) {
		l.offset++
	}
}

func (l *lexer) digitFollows() bool {
	return l.offset+1 < len(l.source) && isDigit(l.source[l.offset+1])
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
