// Package quota limits the operations of workspaces over all processes without a message for each operation.
//
// The holder of a service keeps a Ledger with a token bucket for each workspace. The buckets of all services together
// refill at the workspace's rate and hold at most its burst, so that they can be used independently. A bucket that runs
// low borrows from those of other services. Tokens only move: the lender subtracts them first, and the borrower keeps room
// in its bucket for what it has asked for.
//
//	l := quota.NewLedger(quota.Opening{At: now})
//	l.Configure(now, quota.Configuration{Services: 8, Workspaces: tables.Workspaces})
//	if v := l.Take(now, "acme", priority); !v.Admitted {
//		return busy(v.Wait)
//	}
//
// The package reads no clock and does no I/O.
package quota
