// Package exec runs statements on the rows of a transaction.
//
//	r, err := exec.Run(ctx, transaction, statement.Node, arguments)
//	for row, more := r.Rows.Next(); more; row, more = r.Rows.Next() {
//		send(row)
//	}
//
// What touches the session or the platform is in packages sess and plat, which use the results and
// the arguments of this one.
package exec
