// Package egret defines the types and interfaces that are shared by the packages of egretlane.
//
// Egretlane is a proxy between callers and database groups. A group has one primary and replicas that
// lag behind it. Each entry VM runs one proxy process. The proxy accepts callers (package entry) and
// holds the connections to backend servers (package lane). The lane of a member is the proxy's
// connections to that member together with a queue of requests. Package entry sends a caller's
// transaction to the lane of one member, which may be in the same process or in another proxy:
//
//	t, err := lanes.Begin(ctx, egret.TransactionOptions{
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
// This package has no policy and does no I/O. The interfaces are implemented by the packages below
// it, one package for each kind of peer.
package egret
