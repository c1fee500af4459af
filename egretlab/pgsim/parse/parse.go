package parse

import (
	"fmt"
	"strconv"
	"strings"

	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/scan"
)

// maxParameter is the highest parameter number that the PostgreSQL protocol allows.
const maxParameter = 65535

// Statements parses all statements of a source text. The result is empty if the text has only white
// space, comments and semicolons. Errors are of type *query.Error.
func Statements(source string) ([]query.Statement, error) {
	tokens, err := scan.Tokens(source)
	if err != nil {
		return nil, err
	}
	p := parser{
		tokens: tokens,
	}
	var statements []query.Statement
	start := 0
	for p.peek().Kind != scan.EOF {
		if p.acceptSymbol(";") {
			start = p.tokens[p.index-1].End
			continue
		}
		p.parameters = nil
		n, err := p.parseStatement()
		if err != nil {
			return nil, err
		}
		end := p.peek()
		if end.Kind != scan.EOF && !p.isSymbol(";") {
			return nil, p.syntaxError()
		}
		statements = append(statements, query.Statement{
			Text:       strings.TrimSpace(source[start:end.Start]),
			Node:       n,
			Parameters: p.parameters,
		})
	}
	return statements, nil
}

// parser parses the tokens of one source text. Its accept methods consume the next token if it matches. Its
// expect methods return a syntax error if it doesn't.
type parser struct {
	// tokens ends with a token of kind scan.EOF.
	tokens []scan.Token

	// index is the index of the next token. It never goes past the last one.
	index int

	// parameters holds the parameter types of the current statement, as far as they are inferred.
	parameters []query.Type
}

func (p *parser) parseStatement() (query.Node, error) {
	switch {
	case p.acceptWord("begin"):
		p.acceptAny("work", "transaction")
		a, err := p.parseTransactionModes()
		return &query.Begin{
			Access: a,
		}, err
	case p.acceptWord("start"):
		return p.parseStartTransaction()
	case p.acceptWord("commit"), p.acceptWord("end"):
		p.acceptAny("work", "transaction")
		return &query.End{
			Commit: true,
		}, nil
	case p.acceptWord("rollback"), p.acceptWord("abort"):
		p.acceptAny("work", "transaction")
		return &query.End{}, nil
	case p.acceptWord("set"):
		return p.parseSet()
	case p.acceptWord("reset"):
		return p.parseReset()
	case p.acceptWord("show"):
		return p.parseShow()
	case p.acceptWord("deallocate"):
		return p.parseDeallocate()
	case p.acceptWord("discard"):
		return &query.Discard{}, p.expectWord("all")
	default:
		return p.parseDataStatement()
	}
}

func (p *parser) parseDataStatement() (query.Node, error) {
	switch {
	case p.acceptWord("insert"):
		return p.parseInsert()
	case p.acceptWord("update"):
		return p.parseUpdate()
	case p.acceptWord("delete"):
		return p.parseDelete()
	case p.acceptWord("select"):
		return p.parseSelect()
	case p.isWord("savepoint"), p.isWord("release"), p.isWord("prepare"), p.isWord("lock"), p.isWord("copy"):
		t := p.peek()
		return nil, &query.Error{
			Code:     query.CodeFeatureNotSupported,
			Message:  fmt.Sprintf("%s is not supported by this member", strings.ToUpper(t.Text)),
			Position: t.Start + 1,
		}
	default:
		return nil, p.syntaxError()
	}
}

func (p *parser) peek() scan.Token {
	return p.tokens[p.index]
}

func (p *parser) next() scan.Token {
	t := p.tokens[p.index]
	if t.Kind != scan.EOF {
		p.index++
	}
	return t
}

func (p *parser) isWord(w string) bool {
	t := p.peek()
	return t.Kind == scan.Word && t.Text == w
}

func (p *parser) isSymbol(s string) bool {
	t := p.peek()
	return t.Kind == scan.Symbol && t.Text == s
}

func (p *parser) acceptWord(w string) bool {
	if !p.isWord(w) {
		return false
	}
	p.index++
	return true
}

// acceptAny consumes the next token if it is one of the words.
func (p *parser) acceptAny(words ...string) {
	for _, w := range words {
		if p.acceptWord(w) {
			return
		}
	}
}

func (p *parser) acceptSymbol(s string) bool {
	if !p.isSymbol(s) {
		return false
	}
	p.index++
	return true
}

func (p *parser) expectWord(w string) error {
	if !p.acceptWord(w) {
		return p.syntaxError()
	}
	return nil
}

func (p *parser) expectSymbol(s string) error {
	if !p.acceptSymbol(s) {
		return p.syntaxError()
	}
	return nil
}

// parseName parses an identifier, which may be qualified with a schema.
func (p *parser) parseName() (string, error) {
	t := p.peek()
	if t.Kind != scan.Word && t.Kind != scan.QuotedIdentifier {
		return "", p.syntaxError()
	}
	p.index++
	if !p.acceptSymbol(".") {
		return t.Text, nil
	}
	rest, err := p.parseName()
	return t.Text + "." + rest, err
}

// parseValue parses a literal or a parameter, and ignores casts that follow it. The wanted type is inferred for a
// parameter, unless an earlier use of it has determined another one.
func (p *parser) parseValue(wanted query.Type) (query.Value, error) {
	t := p.next()
	v := query.Value{
		Text: t.Text,
	}
	switch {
	case t.Kind == scan.Parameter:
		n, err := strconv.Atoi(t.Text)
		if err != nil || n == 0 || n > maxParameter {
			return query.Value{}, query.NewSyntaxError(t.Start, "there is no parameter $"+t.Text)
		}
		v.Parameter = n
	case t.Kind == scan.String, t.Kind == scan.Number:
	case t.Kind == scan.Word && t.Text == "null":
		v.Null = true
	case t.Kind == scan.Word && (t.Text == "true" || t.Text == "false"):
	default:
		p.unread(t)
		return query.Value{}, p.syntaxError()
	}
	for p.acceptSymbol("::") {
		if _, err := p.parseName(); err != nil {
			return query.Value{}, err
		}
	}
	p.inferType(v.Parameter, wanted)
	return v, nil
}

// inferType records the type of a parameter. The first use of the parameter determines its type. The
// number is zero for a literal, which has no type to record.
func (p *parser) inferType(number int, wanted query.Type) {
	if number == 0 {
		return
	}
	for len(p.parameters) < number {
		p.parameters = append(p.parameters, query.TypeUnknown)
	}
	if p.parameters[number-1] == query.TypeUnknown {
		p.parameters[number-1] = wanted
	}
}

func (p *parser) unread(t scan.Token) {
	if t.Kind != scan.EOF {
		p.index--
	}
}

func (p *parser) syntaxError() error {
	t := p.peek()
	if t.Kind == scan.EOF {
		return query.NewSyntaxError(t.Start, "syntax error at end of input")
	}
	return query.NewSyntaxError(t.Start, fmt.Sprintf("syntax error at or near %q", t.Text))
}
