// Package core is the state of a database member: its role, its log and the rows that its reads see.
//
// A member is primary, replica or fenced in the highest term that it has granted. A primary appends
// to its log when a transaction commits. A replica receives entries at once and applies each when
// it has been there for the lag, so that its reads are behind. A fenced member does neither.
//
//	m := &core.Member{
//		Name: "member-1",
//		Initial: walog.Grant{
//			Term: 1,
//			Role: egret.RolePrimary,
//		},
//	}
//	err := m.Open()
//	go m.Run(ctx)
//	t := m.Begin(origin)
//	_, err = t.Insert(ctx, order)
//	err = t.Commit()
//
// One mutex guards all of it. Whoever waits for a change holds no lock and watches Changed.
package core
