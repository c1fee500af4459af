// Package fleet tracks the proxies of service groups and which of them holds each service, and routes
// statements to the holder. The holder of a service is the only process that may use its backend
// servers.
//
//	f := fleet.Fleet{
//		Keys: store,
//		Self: self,
//		Pool: &pool,
//		Hold: startLane,
//		Home: primaryLocation,
//	}
//	f.Init()
//	go f.Run(ctx)
//	s := f.Stream(true)
//	answer := s.Do(ctx, work)
package fleet
