// Package egret holds the types and the interfaces that the parts of egretlane share.
//
// Egretlane stands between callers and database groups. A group has one primary and replicas that
// lag behind it. Each entry VM runs one proxy process. The proxy takes callers in (package entry)
// and holds connections to backend servers (package lane). A caller's transaction goes from its
// entry to the lane of one member, in this process or in that of another proxy:
//
//	t, err := lanes.Begin(ctx, egret.Opening{
//		Member: "member-1",
//		Group:  "catalogo-1",
//		Caller: "workshop",
//	})
//	if err != nil {
//		return err
//	}
//	defer t.Close()
//	done, err := t.Exchange(ctx, batch, sink)
//
// This package decides nothing and does no I/O. Packages below it implement the interfaces, one
// package for each peer that the system talks to.
package egret
