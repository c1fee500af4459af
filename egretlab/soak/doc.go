// Package soak runs proxies as separate processes on the stand-ins of the platform, injects faults from
// outside of them, and checks from what callers and members see that no promise is broken.
//
//	s := &soak.Soak{
//		Program: ".bin/egretlane",
//		Folder:  folder,
//		Plan:    soak.NewPlan(seed, 30*time.Second),
//	}
//	report, err := s.Run(ctx)
package soak
