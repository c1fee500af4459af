// Package lease implements a lease on each service, so that at most one process at a time uses its primary.
//
// The lease is a record under one key of the platform's store. The record changes by compare-and-swap only, and
// the revisions of its key order the holders. The holder renews its lease by reading the key: the lease is valid
// until a fixed time after it sent the last read that showed the key unchanged. A successor waits until that time
// has passed, unless it knows that the former holder has stopped:
//
//	c := claim.Claim{
//		Service: "catalogo-db",
//		Keys:    store,
//		Self:    self,
//		Peers:   peers,
//	}
//	c.Init()
//	go c.Run(ctx)
package lease
