package query

import (
	"fmt"
	"strconv"
	"strings"
)

// maxParameter is the highest number of a parameter in the protocol.
const maxParameter = 65535

// Parse reads all statements of a text. It returns none for a text without statements. An error is
// an *Error.
func Parse(source string) ([]Statement, error) {
	l := lexer{
		source: source,
	}
	tokens, err := l.tokens()
	if err != nil {
		return nil, err
	}
	p := parser{
		tokens: tokens,
	}
	var all []Statement
	start := 0
	for p.peek().shape != shapeEnd {
		if p.takeSymbol(";") {
			start = p.tokens[p.at-1].end
			continue
		}
		p.parameters = nil
		n, err := p.statement()
		if err != nil {
			return nil, err
		}
		end := p.peek()
		if end.shape != shapeEnd && !p.isSymbol(";") {
			return nil, p.unexpected()
		}
		all = append(all, Statement{
			Text:       strings.TrimSpace(source[start:end.start]),
			Node:       n,
			Parameters: p.parameters,
		})
	}
	return all, nil
}

// parser reads tokens in order.
type parser struct {
	// tokens ends in one of shapeEnd.
	tokens []token

	// at is the next token. It never passes the last.
	at int

	// parameters holds the types of the statement's parameters so far.
	parameters []Type
}

func (p *parser) statement() (Node, error) {
	switch {
	case p.takeWord("begin"):
		p.takeAny("work", "transaction")
		a, err := p.modes()
		return &Begin{
			Access: a,
		}, err
	case p.takeWord("start"):
		return p.start()
	case p.takeWord("commit"), p.takeWord("end"):
		p.takeAny("work", "transaction")
		return &End{
			Commit: true,
		}, nil
	case p.takeWord("rollback"), p.takeWord("abort"):
		p.takeAny("work", "transaction")
		return &End{}, nil
	case p.takeWord("set"):
		return p.set()
	case p.takeWord("reset"):
		return p.reset()
	case p.takeWord("show"):
		return p.show()
	case p.takeWord("deallocate"):
		return p.deallocate()
	case p.takeWord("discard"):
		return &Discard{}, p.expectWord("all")
	default:
		return p.data()
	}
}

func (p *parser) data() (Node, error) {
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
		return nil, &Error{
			Code:     CodeUnsupported,
			Message:  fmt.Sprintf("%s is not supported by this member", strings.ToUpper(t.text)),
			Position: t.start + 1,
		}
	default:
		return nil, p.unexpected()
	}
}

func (p *parser) peek() token {
	return p.tokens[p.at]
}

func (p *parser) take() token {
	t := p.tokens[p.at]
	if t.shape != shapeEnd {
		p.at++
	}
	return t
}

func (p *parser) isWord(w string) bool {
	t := p.peek()
	return t.shape == shapeWord && t.text == w
}

func (p *parser) isSymbol(s string) bool {
	t := p.peek()
	return t.shape == shapeSymbol && t.text == s
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
	if t.shape != shapeWord && t.shape != shapeQuoted {
		return "", p.unexpected()
	}
	p.at++
	if !p.takeSymbol(".") {
		return t.text, nil
	}
	rest, err := p.name()
	return t.text + "." + rest, err
}

// value takes a literal or a parameter, which is then of the given type.
func (p *parser) value(wanted Type) (Value, error) {
	t := p.take()
	v := Value{
		Text: t.text,
	}
	switch {
	case t.shape == shapeParameter:
		n, err := strconv.Atoi(t.text)
		if err != nil || n == 0 || n > maxParameter {
			return Value{}, syntaxError(t.start, "there is no parameter $"+t.text)
		}
		v.Parameter = n
	case t.shape == shapeString, t.shape == shapeNumber:
	case t.shape == shapeWord && t.text == "null":
		v.Null = true
	case t.shape == shapeWord && (t.text == "true" || t.text == "false"):
	default:
		p.back(t)
		return Value{}, p.unexpected()
	}
	for p.takeSymbol("::") {
		if _, err := p.name(); err != nil {
			return Value{}, err
		}
	}
	p.infer(v.Parameter, wanted)
	return v, nil
}

// infer notes the type of a parameter. The first place that uses it decides.
func (p *parser) infer(number int, wanted Type) {
	if number == 0 {
		return
	}
	for len(p.parameters) < number {
		p.parameters = append(p.parameters, TypeUnknown)
	}
	if p.parameters[number-1] == TypeUnknown {
		p.parameters[number-1] = wanted
	}
}

func (p *parser) back(t token) {
	if t.shape != shapeEnd {
		p.at--
	}
}

func (p *parser) unexpected() error {
	t := p.peek()
	if t.shape == shapeEnd {
		return syntaxError(t.start, "syntax error at end of input")
	}
	return syntaxError(t.start, fmt.Sprintf("syntax error at or near %q", t.text))
}

func syntaxError(at int, message string) error {
	return &Error{
		Code:     CodeSyntax,
		Message:  message,
		Position: at + 1,
	}
}
