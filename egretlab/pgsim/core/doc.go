// Package core holds the state of a database member: its role, its log and the rows visible to reads.
//
// A member is primary, replica or fenced in the highest term that it has granted. A primary appends
// an entry to its log when a transaction commits. A replica receives entries immediately and applies each
// one after the lag, so that its reads are stale. A fenced member neither commits nor receives entries, but
// still applies those that it has received.
//
//	m := &core.Member{
//		Name: "member-1",
//		InitialGrant: walog.Grant{
//			Term: 1,
//			Role: egret.RolePrimary,
//		},
//		LockTimeout: 10 * time.Second,
//		Now:         time.Now,
//	}
//	err := m.Open()
//	go m.Run(ctx)
//	t := m.Begin(origin)
//	err = t.Insert(ctx, order)
//	err = t.Commit()
//
// One mutex guards the whole state. To wait for a change, use the channel of Changed without holding it.
package core
