// Package fleet tracks the proxies of service groups and the holder of each service, and routes the
// service's statements to it. The holder is the process that has the lease on the service (see package
// lease). Only it may use the service's backend servers, through a lane (see package group).
//
//	f := fleet.Fleet{
//		Keys:            store,
//		Self:            self,
//		Pool:            &pool,
//		StartLane:       startLane,
//		PrimaryLocation: primaryLocation,
//	}
//	f.Init()
//	go f.Run(ctx)
//	s := f.CallerStream()
//	answer := s.Do(ctx, request)
package fleet
