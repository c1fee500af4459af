// Package keysim stands in for the platform's metadata store: keys with revisions, conditional writes,
// leases and watches over HTTP, and the faults that the platform's store may have for each caller.
//
//	s := &keysim.Server{
//		History: 10_000,
//	}
//	go s.Run(ctx)
//	http.Serve(listener, s.Handler("proxy-1"))
package keysim
