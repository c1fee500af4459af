// Package lease implements the lease on each service: the exclusive right to use its members. The process that has it
// is the holder of the service.
//
// The holder is named in a record under one key of the platform's store. The record changes by compare-and-swap only,
// and the revisions of its key order the holders. The holder renews the lease by reading the key: the lease is valid
// until a fixed time after it sent the last read that showed the key unchanged. A successor waits until that time has
// passed, unless it knows that the former holder has stopped:
//
//	l := lease.Lease{
//		Service: "catalogo-db",
//		Keys:    store,
//		Self:    self,
//		Peers:   peers,
//	}
//	l.Init()
//	go l.Run(ctx)
package lease
