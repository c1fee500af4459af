package peer

import (
	"net/netip"

	"egretlane.example/egret"
	"egretlane.example/egret/internal/peerpb"
	"egretlane.example/egret/peer/roster"
)

func nodeToWire(n egret.Node) *peerpb.Node {
	return &peerpb.Node{
		Id:          n.ID,
		Address:     n.Address.String(),
		Region:      n.Region,
		Domain:      n.Domain,
		Incarnation: n.Incarnation,
		State:       string(n.State),
	}
}

// nodeFromWire returns false for a node without an ID or with an invalid address or state.
func nodeFromWire(w *peerpb.Node) (egret.Node, bool) {
	a, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil || w.GetId() == "" {
		return egret.Node{}, false
	}
	n := egret.Node{
		ID:          w.GetId(),
		Address:     a,
		Region:      w.GetRegion(),
		Domain:      w.GetDomain(),
		Incarnation: w.GetIncarnation(),
		State:       egret.NodeState(w.GetState()),
	}
	switch n.State {
	case egret.NodeAlive, egret.NodeSuspect, egret.NodeLeaving, egret.NodeDead:
		return n, true
	default:
		return egret.Node{}, false
	}
}

func factToWire(f egret.GroupPrimary) *peerpb.Fact {
	return &peerpb.Fact{
		Group:   f.Group,
		Term:    f.Term,
		Primary: f.Primary,
	}
}

func updatesToWire(u roster.Updates) *peerpb.News {
	w := &peerpb.News{}
	for _, n := range u.Nodes {
		w.Nodes = append(w.Nodes, nodeToWire(n))
	}
	for _, f := range u.Facts {
		w.Facts = append(w.Facts, factToWire(f))
	}
	return w
}

// updatesFromWire skips nodes and facts that are incomplete or invalid.
func updatesFromWire(w *peerpb.News) roster.Updates {
	u := roster.Updates{}
	for _, v := range w.GetNodes() {
		if node, ok := nodeFromWire(v); ok {
			u.Nodes = append(u.Nodes, node)
		}
	}
	for _, v := range w.GetFacts() {
		if v.GetGroup() == "" || v.GetPrimary() == "" {
			continue
		}
		u.Facts = append(u.Facts, egret.GroupPrimary{
			Group:   v.GetGroup(),
			Term:    v.GetTerm(),
			Primary: v.GetPrimary(),
		})
	}
	return u
}
