// Package member speaks to backend servers, the members of database groups.
//
// A Dialer opens connections for the three purposes that a proxy has: control, lane and slots. The
// name of the application tells them apart on the member: egretlane/NODE-ID/PURPOSE. Control
// implements egret.Control on kept control connections:
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
// A Conn carries callers' statements. It leaves all decisions to its user.
package member
