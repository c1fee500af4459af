package table

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"egretlane.example/egret"
)

// Sign tells whether a part of the tables was added, removed or altered.
type Sign string

// The signs of a difference.
const (
	// Added marks a part that only the later tables have.
	Added Sign = "+"

	// Removed marks a part that only the earlier tables have.
	Removed Sign = "-"

	// Altered marks a part that both have, with different values.
	Altered Sign = "~"
)

// Difference is a single difference between two revisions of the tables.
type Difference struct {
	// Sign tells whether the part was added, removed or altered.
	Sign Sign

	// Part identifies the route, pool, group or member, such as route "orders".
	Part string

	// Text lists the values of an added part or describes the altered value. It is empty for a removed part.
	Text string
}

// String returns the difference as one line.
func (d Difference) String() string {
	if d.Text == "" {
		return fmt.Sprintf("%s %s", d.Sign, d.Part)
	}
	return fmt.Sprintf("%s %s: %s", d.Sign, d.Part, d.Text)
}

// Diff returns the differences between the earlier and the later tables: the removed parts, then the added and
// altered ones in the order of the later tables. Revisions and edits are not compared.
func Diff(earlier *egret.Tables, later *egret.Tables) []Difference {
	before := parts(earlier)
	after := parts(later)
	differences := []Difference{}
	for _, p := range before {
		if indexOf(after, p.title) < 0 {
			differences = append(differences, Difference{
				Sign: Removed,
				Part: p.title,
			})
		}
	}
	for _, p := range after {
		i := indexOf(before, p.title)
		if i < 0 {
			differences = append(differences, Difference{
				Sign: Added,
				Part: p.title,
				Text: p.String(),
			})
			continue
		}
		differences = append(differences, p.changesFrom(before[i])...)
	}
	return append(differences, orderDifference(earlier.Routes, later.Routes)...)
}

// part is a route, a pool, a group or a member with its values.
type part struct {
	// title identifies the part, uniquely within the tables.
	title string

	// fields have the same names and order in all parts of one kind.
	fields []field
}

// field is a named value of a part.
type field struct {
	name string
	text string
}

func (p *part) add(name string, text string) {
	p.fields = append(p.fields, field{
		name: name,
		text: text,
	})
}

// String returns the fields as one line, without the empty ones.
func (p part) String() string {
	texts := []string{}
	for _, f := range p.fields {
		if f.text != "" {
			texts = append(texts, f.name+" "+f.text)
		}
	}
	return strings.Join(texts, ", ")
}

// changesFrom returns the fields that differ from those of an earlier version of the part.
func (p part) changesFrom(earlier part) []Difference {
	changes := []Difference{}
	for i, f := range p.fields {
		old := earlier.fields[i].text
		if f.text == old {
			continue
		}
		changes = append(changes, Difference{
			Sign: Altered,
			Part: p.title,
			Text: fmt.Sprintf("%s %s -> %s", f.name, orNone(old), orNone(f.text)),
		})
	}
	return changes
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// indexOf returns the index of the part with the title, or -1.
func indexOf(parts []part, title string) int {
	return slices.IndexFunc(parts, func(p part) bool {
		return p.title == title
	})
}

// orderDifference returns a difference if the routes that both tables have are in a different order.
func orderDifference(earlier []egret.Route, later []egret.Route) []Difference {
	before := commonNames(earlier, later)
	after := commonNames(later, earlier)
	if slices.Equal(before, after) {
		return nil
	}
	return []Difference{{
		Sign: Altered,
		Part: "routes",
		Text: fmt.Sprintf("order %s -> %s", strings.Join(before, " "), strings.Join(after, " ")),
	}}
}

// commonNames returns the names of the routes that are also among the others.
func commonNames(routes []egret.Route, others []egret.Route) []string {
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

// parts returns all routes, pools, groups and members of the tables.
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
	p.add("kinds", strings.Join(r.RequestKinds, " "))
	p.add("pool", r.Pool)
	p.add("class", string(r.Class))
	p.add("budget", r.Budget.String())
	p.add("max-age", durationText(r.MaxAge))
	p.add("replicas", strconv.FormatBool(r.AllowReplicas))
	p.add("repeatable", strconv.FormatBool(r.Retryable))
	p.add("confirm-wait", r.ConfirmTimeout.String())
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
	q.add("reserve", strconv.Itoa(p.ReservedConnections))
	q.add("queue", strconv.Itoa(p.QueueLimit))
	q.add("order-share", strconv.Itoa(p.OrderSharePercent))
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

// durationText formats a duration. Zero gives an empty text.
func durationText(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
