package main

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
)

// overview is the state of the proxies that were queried, and the state of the groups as these proxies see them.
type overview struct {
	// Store is the state of the tables in the store.
	Store storeRow `json:"store"`

	// Proxies are in the order in which they were queried.
	Proxies []proxyRow `json:"proxies"`

	// Groups are ordered by name.
	Groups []groupRow `json:"groups"`

	// Members are ordered by group, name and lane. A member may have two rows while its lane moves to another proxy.
	Members []memberRow `json:"members"`
}

// storeRow is the state of the tables in the store.
type storeRow struct {
	// Revision is the revision that each proxy should have. It is zero if there are no tables.
	Revision uint64 `json:"revision"`

	// Error is the error of the call, if the revision is unknown.
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

	// Peers is the number of other proxies that this one does not consider dead.
	Peers int `json:"peers"`

	// Error is the error of the call if the proxy returned no status. All other fields but Address are empty then.
	Error string `json:"error,omitempty"`
}

// groupRow is the primary of a group in the highest term that a proxy knows.
type groupRow struct {
	Group   string `json:"group"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`

	// Behind lists the IDs of the proxies that don't know this primary of the group in this term, or none.
	Behind []string `json:"behind,omitempty"`
}

// memberRow is the state of a member as its lane sees it.
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

// position is the JSON form of an egret.Position.
type position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// newOverview combines the results of the proxies.
func newOverview(results []statusResult) *overview {
	o := &overview{
		Proxies: []proxyRow{},
		Groups:  []groupRow{},
		Members: []memberRow{},
	}
	for _, r := range results {
		o.Proxies = append(o.Proxies, newProxyRow(r))
		for _, l := range r.reply.GetLanes() {
			o.Members = append(o.Members, newMemberRow(r.reply.GetSelf().GetId(), l))
		}
		for _, f := range r.reply.GetFacts() {
			o.addGroup(f)
		}
	}
	for i := range o.Groups {
		o.Groups[i].Behind = proxiesBehind(results, o.Groups[i])
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

// addGroup adds the primary of a group, unless one with the same or a higher term is known.
func (o *overview) addGroup(f *peerpb.Fact) {
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

// proxiesBehind returns the IDs of the proxies that returned a status without this primary of the group in this term.
func proxiesBehind(results []statusResult, g groupRow) []string {
	ids := []string(nil)
	for _, r := range results {
		if r.err != nil {
			continue
		}
		known := slices.ContainsFunc(r.reply.GetFacts(), func(f *peerpb.Fact) bool {
			return f.GetGroup() == g.Group && f.GetTerm() == g.Term && f.GetPrimary() == g.Primary
		})
		if !known {
			ids = append(ids, r.reply.GetSelf().GetId())
		}
	}
	return ids
}

func newProxyRow(r statusResult) proxyRow {
	if r.err != nil {
		return proxyRow{
			Address: r.address,
			Error:   r.err.Error(),
		}
	}
	n := r.reply.GetSelf()
	return proxyRow{
		Address:  r.address,
		ID:       n.GetId(),
		Region:   n.GetRegion(),
		Domain:   n.GetDomain(),
		State:    n.GetState(),
		Revision: r.reply.GetRevision(),
		Ready:    r.reply.GetReady(),
		Sessions: r.reply.GetSessions(),
		Peers:    livePeers(r.reply),
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

func newMemberRow(lane string, l *peerpb.LaneStatus) memberRow {
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

// lagMillis converts a lag to milliseconds. It returns nil if the lag is unknown, which is a negative value.
func lagMillis(micros int64) *float64 {
	if micros < 0 {
		return nil
	}
	lag := float64(micros) / 1000
	return &lag
}

// err returns an error if a proxy returned no status, or nil. Its exit status is exitFailed if no proxy returned a status,
// and exitPartial otherwise.
func (o *overview) err() error {
	failed := 0
	for _, p := range o.Proxies {
		if p.Error != "" {
			failed++
		}
	}
	return missingStatusError(failed, len(o.Proxies))
}

// missingStatusError returns the error if some of the proxies that were queried returned no status, or nil.
func missingStatusError(failed, queried int) error {
	if failed == 0 {
		return nil
	}
	status := exitPartial
	if failed == queried {
		status = exitFailed
	}
	return &exitError{
		status: status,
		err:    errors.Errorf("%d of %d proxies returned no status", failed, queried),
	}
}
