// Package exec runs statements on the rows of a transaction.
//
//	r, err := exec.Run(ctx, transaction, statement.Node, arguments)
//	for row, more := r.Rows.Next(); more; row, more = r.Rows.Next() {
//		send(row)
//	}
//
// Statements on the session and the platform's functions are in packages sess and plat, which use the
// results and the arguments of this package.
package exec
