// Package front shows, with real processes, what callers and operators meet: drivers in all their
// modes, refusals, encryption and proof of identity, settings with faults, and traces.
//
// It has tests only. Each test starts a set of its own, with or without encryption, all on loopback:
//
//	s := startSet(t, setup{Secure: true})
//	conn := s.connect(0, "sslmode=verify-full")
package front
