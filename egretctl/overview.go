package main

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
)

// overview is the state of the proxies that were asked, and of the groups as they see them.
type overview struct {
	// Store is the state of the tables in the store.
	Store storeRow `json:"store"`

	// Proxies are in the order in which they were asked.
	Proxies []proxyRow `json:"proxies"`

	// Groups are ordered by name.
	Groups []groupRow `json:"groups"`

	// Members are ordered by group, name and lane. While a lane moves, a member may have two.
	Members []memberRow `json:"members"`
}

// storeRow is the state of the tables in the store.
type storeRow struct {
	// Revision is the one that each proxy should have. It is zero if there are no tables.
	Revision uint64 `json:"revision"`

	// Error says why the revision isn't known.
	Error string `json:"error,omitempty"`
}

// proxyRow is the state of a proxy.
type proxyRow struct {
	Address  netip.AddrPort `json:"address"`
	ID       string         `json:"id"`
	Region   string         `json:"region"`
	Domain   string         `json:"failure-domain"`
	State    string         `json:"state"`
	Revision uint64         `json:"revision"`
	Ready    bool           `json:"ready"`
	Sessions uint32         `json:"sessions"`

	// Peers is how many other proxies it holds to be live.
	Peers int `json:"peers"`

	// Error says why the proxy gave no status. All else but Address is empty then.
	Error string `json:"error,omitempty"`
}

// groupRow is the newest fact about a group.
type groupRow struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`

	// Behind lists the proxies that hold an older fact, or none.
	Behind []string `json:"behind,omitempty"`
}

// memberRow is a lane's view of its member.
type memberRow struct {
	Member      string   `json:"member"`
	Group       string   `json:"group"`
	Lane        string   `json:"lane"`
	Reached     bool     `json:"reached"`
	Role        string   `json:"role"`
	Granted     uint64   `json:"granted"`
	Received    position `json:"received"`
	Applied     position `json:"applied"`
	LagMillis   *float64 `json:"lag-ms"`
	Connections uint32   `json:"connections"`
	Running     uint32   `json:"running"`
	Queued      uint32   `json:"queued"`
}

// position is an egret.Position in its JSON form.
type position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// summarize joins what the proxies said.
func summarize(answers []answer) *overview {
	o := &overview{
		Proxies: []proxyRow{},
		Groups:  []groupRow{},
		Members: []memberRow{},
	}
	for _, a := range answers {
		o.Proxies = append(o.Proxies, toProxy(a))
		for _, l := range a.reply.GetLanes() {
			o.Members = append(o.Members, toMember(a.reply.GetSelf().GetId(), l))
		}
		for _, f := range a.reply.GetFacts() {
			o.addFact(f)
		}
	}
	for i := range o.Groups {
		o.Groups[i].Behind = behind(answers, o.Groups[i])
	}
	slices.SortFunc(o.Groups, func(a, b groupRow) int {
		return cmp.Compare(a.Group, b.Group)
	})
	slices.SortFunc(o.Members, func(a, b memberRow) int {
		return cmp.Or(
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.Member, b.Member),
			cmp.Compare(a.Lane, b.Lane),
		)
	})
	return o
}

// addFact keeps the fact with the highest term for its group.
func (o *overview) addFact(f *peerpb.Fact) {
	row := groupRow{
		Group:   f.GetGroup(),
		Term:    f.GetTerm(),
		Primary: f.GetPrimary(),
	}
	i := slices.IndexFunc(o.Groups, func(g groupRow) bool {
		return g.Group == row.Group
	})
	if i < 0 {
		o.Groups = append(o.Groups, row)
		return
	}
	if row.Term > o.Groups[i].Term {
		o.Groups[i] = row
	}
}

// behind returns the IDs of the proxies that don't hold the fact.
func behind(answers []answer, g groupRow) []string {
	ids := []string(nil)
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		holds := slices.ContainsFunc(a.reply.GetFacts(), func(f *peerpb.Fact) bool {
			return f.GetGroup() == g.Group && f.GetTerm() == g.Term
		})
		if !holds {
			ids = append(ids, a.reply.GetSelf().GetId())
		}
	}
	return ids
}

func toProxy(a answer) proxyRow {
	if a.err != nil {
		return proxyRow{
			Address: a.address,
			Error:   a.err.Error(),
		}
	}
	n := a.reply.GetSelf()
	return proxyRow{
		Address:  a.address,
		ID:       n.GetId(),
		Region:   n.GetRegion(),
		Domain:   n.GetDomain(),
		State:    n.GetState(),
		Revision: a.reply.GetRevision(),
		Ready:    a.reply.GetReady(),
		Sessions: a.reply.GetSessions(),
		Peers:    livePeers(a.reply),
	}
}

// livePeers counts the other proxies that aren't dead.
func livePeers(r *peerpb.StatusReply) int {
	n := 0
	for _, p := range r.GetNodes() {
		if p.GetId() != r.GetSelf().GetId() && p.GetState() != string(egret.NodeDead) {
			n++
		}
	}
	return n
}

func toMember(lane string, l *peerpb.LaneStatus) memberRow {
	return memberRow{
		Member:  l.GetMember(),
		Group:   l.GetGroup(),
		Lane:    lane,
		Reached: l.GetReached(),
		Role:    l.GetRole(),
		Granted: l.GetGranted(),
		Received: position{
			Term:   l.GetReceivedTerm(),
			Offset: l.GetReceivedOffset(),
		},
		Applied: position{
			Term:   l.GetAppliedTerm(),
			Offset: l.GetAppliedOffset(),
		},
		LagMillis:   lagMillis(l.GetLagMicros()),
		Connections: l.GetConnections(),
		Running:     l.GetRunning(),
		Queued:      l.GetQueued(),
	}
}

// lagMillis returns nil for a lag that isn't known.
func lagMillis(micros int64) *float64 {
	if micros < 0 {
		return nil
	}
	lag := float64(micros) / 1000
	return &lag
}

// err returns the error for proxies that gave no status, or nil.
func (o *overview) err() error {
	silent := 0
	for _, p := range o.Proxies {
		if p.Error != "" {
			silent++
		}
	}
	if silent == 0 {
		return nil
	}
	status := exitPartial
	if silent == len(o.Proxies) {
		status = exitFailed
	}
	return &exitError{
		status: status,
		err:    errors.Errorf("%d of %d proxies gave no status", silent, len(o.Proxies)),
	}
}
