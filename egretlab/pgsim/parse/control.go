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

func (p *parser) parseStartTransaction() (query.Node, error) {
	if err := p.expectWord("transaction"); err != nil {
		return nil, err
	}
	a, err := p.parseTransactionModes()
	return &query.Begin{
		Start:  true,
		Access: a,
	}, err
}

// parseTransactionModes parses transaction modes, with or without commas between them.
func (p *parser) parseTransactionModes() (query.Access, error) {
	access := query.AccessDefault
	for {
		switch {
		case p.acceptWord("read"):
			a, err := p.parseAccessMode()
			if err != nil {
				return access, err
			}
			access = a
		case p.acceptWord("isolation"):
			if err := p.parseIsolationLevel(); err != nil {
				return access, err
			}
		case p.acceptWord("not"):
			if err := p.expectWord("deferrable"); err != nil {
				return access, err
			}
		case p.acceptWord("deferrable"):
		case p.acceptSymbol(","):
		default:
			return access, nil
		}
	}
}

func (p *parser) parseAccessMode() (query.Access, error) {
	if p.acceptWord("only") {
		return query.AccessReadOnly, nil
	}
	return query.AccessReadWrite, p.expectWord("write")
}

// parseIsolationLevel parses an isolation level. Levels above read committed are rejected rather than
// silently weakened.
func (p *parser) parseIsolationLevel() error {
	if err := p.expectWord("level"); err != nil {
		return err
	}
	t := p.peek()
	if p.acceptWord("read") {
		if p.acceptWord("uncommitted") {
			return nil
		}
		return p.expectWord("committed")
	}
	if t.Kind != scan.Word || (t.Text != "repeatable" && t.Text != "serializable") {
		return p.syntaxError()
	}
	return &query.Error{
		Code:     query.CodeFeatureNotSupported,
		Message:  "this member has no isolation level above read committed",
		Position: t.Start + 1,
	}
}

func (p *parser) parseSet() (query.Node, error) {
	s := &query.Set{}
	switch {
	case p.acceptWord("transaction"):
		a, err := p.parseTransactionModes()
		return &query.SetAccess{
			Access: a,
		}, err
	case p.acceptWord("local"):
		s.Local = true
	case p.acceptWord("session"):
		if p.acceptWord("characteristics") {
			return p.parseSessionCharacteristics()
		}
	}
	if p.acceptWord("time") {
		s.Name = settingTimeZone
		if err := p.expectWord("zone"); err != nil {
			return nil, err
		}
		return s, p.parseSetValue(s)
	}
	name, err := p.parseName()
	if err != nil {
		return nil, err
	}
	s.Name = strings.ToLower(name)
	if !p.acceptSymbol("=") {
		if err := p.expectWord("to"); err != nil {
			return nil, err
		}
	}
	return s, p.parseSetValue(s)
}

func (p *parser) parseSessionCharacteristics() (query.Node, error) {
	if err := p.expectWord("as"); err != nil {
		return nil, err
	}
	if err := p.expectWord("transaction"); err != nil {
		return nil, err
	}
	a, err := p.parseTransactionModes()
	return &query.SetAccess{
		Session: true,
		Access:  a,
	}, err
}

// parseSetValue parses DEFAULT or a list of words, strings and numbers.
func (p *parser) parseSetValue(s *query.Set) error {
	if p.acceptWord("default") {
		s.Default = true
		return nil
	}
	var parts []string
	for {
		t := p.next()
		switch t.Kind {
		case scan.Word, scan.QuotedIdentifier, scan.String, scan.Number:
			parts = append(parts, t.Text)
		default:
			p.unread(t)
			return p.syntaxError()
		}
		if !p.acceptSymbol(",") {
			s.Value = strings.Join(parts, ", ")
			return nil
		}
	}
}

func (p *parser) parseReset() (query.Node, error) {
	s := &query.Set{
		Default: true,
		Reset:   true,
	}
	if p.acceptWord("all") {
		return s, nil
	}
	name, err := p.parseName()
	s.Name = strings.ToLower(name)
	return s, err
}

func (p *parser) parseShow() (query.Node, error) {
	if p.acceptWord("transaction") {
		if err := p.expectWord("isolation"); err != nil {
			return nil, err
		}
		return &query.Show{
			Name: settingIsolation,
		}, p.expectWord("level")
	}
	if p.acceptWord("time") {
		return &query.Show{
			Name: settingTimeZone,
		}, p.expectWord("zone")
	}
	name, err := p.parseName()
	return &query.Show{
		Name: strings.ToLower(name),
	}, err
}

func (p *parser) parseDeallocate() (query.Node, error) {
	p.acceptAny("prepare")
	if p.acceptWord("all") {
		return &query.Deallocate{}, nil
	}
	name, err := p.parseName()
	return &query.Deallocate{
		Name: name,
	}, err
}
