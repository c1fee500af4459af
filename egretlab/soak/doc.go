// Package soak runs proxies as separate processes against simulated platform services, injects faults from
// outside the processes, and checks the guarantees of the proxies from what callers and members observe.
//
//	s := &soak.Soak{
//		Program:  ".bin/egretlane",
//		Folder:   folder,
//		Plan:     soak.NewPlan(seed, 30*time.Second),
//		Proxies:  5,
//		Services: 2,
//		Callers:  3,
//	}
//	report, err := s.Run(ctx)
package soak
