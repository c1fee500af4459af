package parse

import (
	"strings"

	"egretlane.example/egret/egretlab/pgsim/query"
	"egretlane.example/egret/egretlab/pgsim/scan"
)

const (
	settingIsolation = "transaction_isolation"
	settingTimeZone  = "timezone"
)

func (p *parser) start() (query.Node, error) {
	if err := p.expectWord("transaction"); err != nil {
		return nil, err
	}
	a, err := p.modes()
	return &query.Begin{
		Start:  true,
		Access: a,
	}, err
}

// modes takes the modes of a transaction, with or without commas between them.
func (p *parser) modes() (query.Access, error) {
	access := query.AccessDefault
	for {
		switch {
		case p.takeWord("read"):
			a, err := p.access()
			if err != nil {
				return access, err
			}
			access = a
		case p.takeWord("isolation"):
			if err := p.isolation(); err != nil {
				return access, err
			}
		case p.takeWord("not"):
			if err := p.expectWord("deferrable"); err != nil {
				return access, err
			}
		case p.takeWord("deferrable"):
		case p.takeSymbol(","):
		default:
			return access, nil
		}
	}
}

func (p *parser) access() (query.Access, error) {
	if p.takeWord("only") {
		return query.AccessReadOnly, nil
	}
	return query.AccessReadWrite, p.expectWord("write")
}

// isolation takes a level. The levels above read committed are refused, not weakened.
func (p *parser) isolation() error {
	if err := p.expectWord("level"); err != nil {
		return err
	}
	t := p.peek()
	if p.takeWord("read") {
		if p.takeWord("uncommitted") {
			return nil
		}
		return p.expectWord("committed")
	}
	if t.Shape != scan.Word || (t.Text != "repeatable" && t.Text != "serializable") {
		return p.unexpected()
	}
	return &query.Error{
		Code:     query.CodeUnsupported,
		Message:  "this member has no isolation level above read committed",
		Position: t.Start + 1,
	}
}

func (p *parser) set() (query.Node, error) {
	s := &query.Set{}
	switch {
	case p.takeWord("transaction"):
		a, err := p.modes()
		return &query.SetAccess{
			Access: a,
		}, err
	case p.takeWord("local"):
		s.Local = true
	case p.takeWord("session"):
		if p.takeWord("characteristics") {
			return p.characteristics()
		}
	}
	if p.takeWord("time") {
		s.Name = settingTimeZone
		if err := p.expectWord("zone"); err != nil {
			return nil, err
		}
		return s, p.setValue(s)
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	s.Name = strings.ToLower(name)
	if !p.takeSymbol("=") {
		if err := p.expectWord("to"); err != nil {
			return nil, err
		}
	}
	return s, p.setValue(s)
}

func (p *parser) characteristics() (query.Node, error) {
	if err := p.expectWord("as"); err != nil {
		return nil, err
	}
	if err := p.expectWord("transaction"); err != nil {
		return nil, err
	}
	a, err := p.modes()
	return &query.SetAccess{
		Session: true,
		Access:  a,
	}, err
}

// setValue takes DEFAULT or a list of words, strings and numbers.
func (p *parser) setValue(s *query.Set) error {
	if p.takeWord("default") {
		s.Default = true
		return nil
	}
	var parts []string
	for {
		t := p.take()
		switch t.Shape {
		case scan.Word, scan.Quoted, scan.String, scan.Number:
			parts = append(parts, t.Text)
		default:
			p.back(t)
			return p.unexpected()
		}
		if !p.takeSymbol(",") {
			s.Value = strings.Join(parts, ", ")
			return nil
		}
	}
}

func (p *parser) reset() (query.Node, error) {
	s := &query.Set{
		Default: true,
		Reset:   true,
	}
	if p.takeWord("all") {
		return s, nil
	}
	name, err := p.name()
	s.Name = strings.ToLower(name)
	return s, err
}

func (p *parser) show() (query.Node, error) {
	if p.takeWord("transaction") {
		if err := p.expectWord("isolation"); err != nil {
			return nil, err
		}
		return &query.Show{
			Name: settingIsolation,
		}, p.expectWord("level")
	}
	if p.takeWord("time") {
		return &query.Show{
			Name: settingTimeZone,
		}, p.expectWord("zone")
	}
	name, err := p.name()
	return &query.Show{
		Name: strings.ToLower(name),
	}, err
}

func (p *parser) deallocate() (query.Node, error) {
	p.takeAny("prepare")
	if p.takeWord("all") {
		return &query.Deallocate{}, nil
	}
	name, err := p.name()
	return &query.Deallocate{
		Name: name,
	}, err
}
