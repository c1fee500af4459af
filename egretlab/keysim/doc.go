// Package keysim simulates the platform's metadata store: keys with revisions, conditional writes, leases
// and watches over HTTP. Faults of the store can be injected for each caller or for all.
//
//	s := &keysim.Server{
//		History: 10_000,
//	}
//	go s.Run(ctx)
//	http.Serve(listener, s.Handler("proxy-1"))
package keysim
