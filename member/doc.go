// Package member connects to backend servers, the members of database groups.
//
// A Dialer opens connections for a proxy's three purposes: control, lane and slots. Their application name tells them
// apart on the member: egretlane/NODE-ID/PURPOSE. Control implements egret.MemberControl on persistent
// connections:
//
//	d := &member.Dialer{
//		NodeID:   "proxy-1",
//		User:     "egretlane",
//		Database: "catalogo-db",
//	}
//	c := &member.Control{
//		Dialer: d,
//	}
//	state, err := c.Status(ctx, m)
//
// A Conn carries callers' statements. It leaves all decisions, such as retries, to the code that uses it.
package member
