package table

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"egretlane.example/egret"
)

// Sign says what became of a part of the tables.
type Sign string

// The signs of a difference.
const (
	// Added is a part that only the later tables have.
	Added Sign = "+"

	// Removed is a part that only the earlier tables have.
	Removed Sign = "-"

	// Altered is a part that both have, with other values.
	Altered Sign = "~"
)

// Difference is one thing that differs between two tables.
type Difference struct {
	// Sign says what became of the part.
	Sign Sign

	// Part names it, as route "orders".
	Part string

	// Text says what differs. It is empty if there is no more to say.
	Text string
}

// String returns the difference in one line.
func (d Difference) String() string {
	if d.Text == "" {
		return fmt.Sprintf("%s %s", d.Sign, d.Part)
	}
	return fmt.Sprintf("%s %s: %s", d.Sign, d.Part, d.Text)
}

// Diff returns what differs from the earlier to the later tables, in the order of their parts. The
// revisions and the edits don't count.
func Diff(earlier *egret.Tables, later *egret.Tables) []Difference {
	before := parts(earlier)
	after := parts(later)
	found := []Difference{}
	for _, p := range before {
		if at(after, p.title) < 0 {
			found = append(found, Difference{
				Sign: Removed,
				Part: p.title,
			})
		}
	}
	for _, p := range after {
		i := at(before, p.title)
		if i < 0 {
			found = append(found, Difference{
				Sign: Added,
				Part: p.title,
				Text: p.String(),
			})
			continue
		}
		found = append(found, p.since(before[i])...)
	}
	return append(found, order(earlier.Routes, later.Routes)...)
}

// part is a route, a pool, a group or a member with its values.
type part struct {
	// title names the part and is unique within tables.
	title string

	// values have the same names in all parts of a kind.
	values []value
}

// value is a named value of a part.
type value struct {
	name string
	text string
}

func (p *part) add(name string, text string) {
	p.values = append(p.values, value{
		name: name,
		text: text,
	})
}

// String returns the values in one line, without those that are empty.
func (p part) String() string {
	texts := []string{}
	for _, v := range p.values {
		if v.text != "" {
			texts = append(texts, v.name+" "+v.text)
		}
	}
	return strings.Join(texts, ", ")
}

// since returns the values that differ from those of an earlier part.
func (p part) since(earlier part) []Difference {
	found := []Difference{}
	for i, v := range p.values {
		old := earlier.values[i].text
		if v.text == old {
			continue
		}
		found = append(found, Difference{
			Sign: Altered,
			Part: p.title,
			Text: fmt.Sprintf("%s %s -> %s", v.name, orNone(old), orNone(v.text)),
		})
	}
	return found
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// at returns the index of the part with the title, or -1.
func at(parts []part, title string) int {
	return slices.IndexFunc(parts, func(p part) bool {
		return p.title == title
	})
}

// order tells whether the routes that both tables have stand in another order.
func order(earlier []egret.Route, later []egret.Route) []Difference {
	before := common(earlier, later)
	after := common(later, earlier)
	if slices.Equal(before, after) {
		return nil
	}
	return []Difference{{
		Sign: Altered,
		Part: "routes",
		Text: fmt.Sprintf("order %s -> %s", strings.Join(before, " "), strings.Join(after, " ")),
	}}
}

// common returns the names of the routes that the others have too.
func common(routes []egret.Route, others []egret.Route) []string {
	names := []string{}
	for _, r := range routes {
		shared := slices.ContainsFunc(others, func(o egret.Route) bool {
			return o.Name == r.Name
		})
		if shared {
			names = append(names, r.Name)
		}
	}
	return names
}

// parts returns the parts of tables.
func parts(t *egret.Tables) []part {
	all := []part{}
	for _, r := range t.Routes {
		all = append(all, routePart(r))
	}
	for _, p := range t.Pools {
		all = append(all, poolPart(p))
		for _, g := range p.Groups {
			all = append(all, groupPart(p.Name, g))
			for _, m := range g.Members {
				all = append(all, memberPart(g.Name, m))
			}
		}
	}
	return all
}

func routePart(r egret.Route) part {
	p := part{
		title: fmt.Sprintf("route %q", r.Name),
	}
	p.add("caller", r.Caller)
	p.add("database", r.Database)
	p.add("kinds", strings.Join(r.Kinds, " "))
	p.add("pool", r.Pool)
	p.add("class", string(r.Class))
	p.add("budget", r.Budget.String())
	p.add("max-age", spanText(r.MaxAge))
	p.add("replicas", strconv.FormatBool(r.Replicas))
	p.add("repeatable", strconv.FormatBool(r.Repeatable))
	p.add("confirm-wait", r.ConfirmWait.String())
	return p
}

func poolPart(p egret.Pool) part {
	weights := []string{}
	for _, w := range p.Weights {
		weights = append(weights, fmt.Sprintf("%s=%d", w.Caller, w.Weight))
	}
	q := part{
		title: fmt.Sprintf("pool %q", p.Name),
	}
	q.add("database", p.Database)
	q.add("slots", strconv.Itoa(p.Slots))
	q.add("connections", strconv.Itoa(p.Connections))
	q.add("reserve", strconv.Itoa(p.Reserve))
	q.add("queue", strconv.Itoa(p.Queue))
	q.add("order-share", strconv.Itoa(p.OrderShare))
	q.add("weights", strings.Join(weights, " "))
	return q
}

func groupPart(pool string, g egret.Group) part {
	p := part{
		title: fmt.Sprintf("group %q", g.Name),
	}
	p.add("pool", pool)
	return p
}

func memberPart(group string, m egret.Member) part {
	p := part{
		title: fmt.Sprintf("member %q", m.Name),
	}
	p.add("group", group)
	p.add("address", m.Address.String())
	p.add("region", m.Region)
	p.add("failure-domain", m.Domain)
	p.add("leaving", strconv.FormatBool(m.Leaving))
	return p
}

// spanText is empty for a span of zero.
func spanText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
