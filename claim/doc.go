// Package claim agrees in the platform's store on the one process that holds a service.
//
// A service has one key. It changes by compare-and-swap only, and its revision orders the holders. A
// holder reads the key again and again, and may use the service until some time after it sent the last
// read that showed the key unchanged. A successor waits out that time, unless it knows that the
// former holder has stopped:
//
//	c := claim.Claim{
//		Service: "catalogo-db",
//		Keys:    store,
//		Self:    self,
//		Peers:   peers,
//	}
//	go c.Run(ctx)
package claim
