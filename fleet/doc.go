// Package fleet knows the proxies of service groups and who holds which service, and brings
// statements to the holder.
//
//	f := fleet.Fleet{
//		Keys: store,
//		Self: self,
//		Pool: &pool,
//	}
//	go f.Run(ctx)
//	s := f.Stream(true)
//	answer := s.Do(ctx, work)
package fleet
