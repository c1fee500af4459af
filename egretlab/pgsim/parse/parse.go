package parse

import (
	"fmt"
	"strconv"
	"strings"

	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/scan"
)

// maxParameter is the highest number of a parameter in the protocol.
const maxParameter = 65535

// Statements reads all statements of a text. It returns none for a text without statements. An error
// is a *query.Error.
func Statements(source string) ([]query.Statement, error) {
	tokens, err := scan.Tokens(source)
	if err != nil {
		return nil, err
	}
	p := parser{
		tokens: tokens,
	}
	var all []query.Statement
	start := 0
	for p.peek().Shape != scan.End {
		if p.takeSymbol(";") {
			start = p.tokens[p.at-1].End
			continue
		}
		p.parameters = nil
		n, err := p.statement()
		if err != nil {
			return nil, err
		}
		end := p.peek()
		if end.Shape != scan.End && !p.isSymbol(";") {
			return nil, p.unexpected()
		}
		all = append(all, query.Statement{
			Text:       strings.TrimSpace(source[start:end.Start]),
			Node:       n,
			Parameters: p.parameters,
		})
	}
	return all, nil
}

// parser reads tokens in order.
type parser struct {
	// tokens ends in one of shape scan.End.
	tokens []scan.Token

	// at is the next token. It never passes the last.
	at int

	// parameters holds the types of the statement's parameters so far.
	parameters []query.Type
}

func (p *parser) statement() (query.Node, error) {
	switch {
	case p.takeWord("begin"):
		p.takeAny("work", "transaction")
		a, err := p.modes()
		return &query.Begin{
			Access: a,
		}, err
	case p.takeWord("start"):
		return p.start()
	case p.takeWord("commit"), p.takeWord("end"):
		p.takeAny("work", "transaction")
		return &query.End{
			Commit: true,
		}, nil
	case p.takeWord("rollback"), p.takeWord("abort"):
		p.takeAny("work", "transaction")
		return &query.End{}, nil
	case p.takeWord("set"):
		return p.set()
	case p.takeWord("reset"):
		return p.reset()
	case p.takeWord("show"):
		return p.show()
	case p.takeWord("deallocate"):
		return p.deallocate()
	case p.takeWord("discard"):
		return &query.Discard{}, p.expectWord("all")
	default:
		return p.data()
	}
}

func (p *parser) data() (query.Node, error) {
	switch {
	case p.takeWord("insert"):
		return p.insert()
	case p.takeWord("update"):
		return p.update()
	case p.takeWord("delete"):
		return p.delete()
	case p.takeWord("select"):
		return p.selection()
	case p.isWord("savepoint"), p.isWord("release"), p.isWord("prepare"), p.isWord("lock"), p.isWord("copy"):
		t := p.peek()
		return nil, &query.Error{
			Code:     query.CodeUnsupported,
			Message:  fmt.Sprintf("%s is not supported by this member", strings.ToUpper(t.Text)),
			Position: t.Start + 1,
		}
	default:
		return nil, p.unexpected()
	}
}

func (p *parser) peek() scan.Token {
	return p.tokens[p.at]
}

func (p *parser) take() scan.Token {
	t := p.tokens[p.at]
	if t.Shape != scan.End {
		p.at++
	}
	return t
}

func (p *parser) isWord(w string) bool {
	t := p.peek()
	return t.Shape == scan.Word && t.Text == w
}

func (p *parser) isSymbol(s string) bool {
	t := p.peek()
	return t.Shape == scan.Symbol && t.Text == s
}

func (p *parser) takeWord(w string) bool {
	if !p.isWord(w) {
		return false
	}
	p.at++
	return true
}

// takeAny takes one of the words, if it is there.
func (p *parser) takeAny(words ...string) {
	for _, w := range words {
		if p.takeWord(w) {
			return
		}
	}
}

func (p *parser) takeSymbol(s string) bool {
	if !p.isSymbol(s) {
		return false
	}
	p.at++
	return true
}

func (p *parser) expectWord(w string) error {
	if !p.takeWord(w) {
		return p.unexpected()
	}
	return nil
}

func (p *parser) expectSymbol(s string) error {
	if !p.takeSymbol(s) {
		return p.unexpected()
	}
	return nil
}

// name takes an identifier, with its schema if it has one.
func (p *parser) name() (string, error) {
	t := p.peek()
	if t.Shape != scan.Word && t.Shape != scan.Quoted {
		return "", p.unexpected()
	}
	p.at++
	if !p.takeSymbol(".") {
		return t.Text, nil
	}
	rest, err := p.name()
	return t.Text + "." + rest, err
}

// value takes a literal or a parameter, which is then of the given type.
func (p *parser) value(wanted query.Type) (query.Value, error) {
	t := p.take()
	v := query.Value{
		Text: t.Text,
	}
	switch {
	case t.Shape == scan.Parameter:
		n, err := strconv.Atoi(t.Text)
		if err != nil || n == 0 || n > maxParameter {
			return query.Value{}, query.Syntax(t.Start, "there is no parameter $"+t.Text)
		}
		v.Parameter = n
	case t.Shape == scan.String, t.Shape == scan.Number:
	case t.Shape == scan.Word && t.Text == "null":
		v.Null = true
	case t.Shape == scan.Word && (t.Text == "true" || t.Text == "false"):
	default:
		p.back(t)
		return query.Value{}, p.unexpected()
	}
	for p.takeSymbol("::") {
		if _, err := p.name(); err != nil {
			return query.Value{}, err
		}
	}
	p.infer(v.Parameter, wanted)
	return v, nil
}

// infer notes the type of a parameter. The first place that uses it decides.
func (p *parser) infer(number int, wanted query.Type) {
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

func (p *parser) back(t scan.Token) {
	if t.Shape != scan.End {
		p.at--
	}
}

func (p *parser) unexpected() error {
	t := p.peek()
	if t.Shape == scan.End {
		return query.Syntax(t.Start, "syntax error at end of input")
	}
	return query.Syntax(t.Start, fmt.Sprintf("syntax error at or near %q", t.Text))
}
