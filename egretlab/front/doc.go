// Package front tests egretlane end to end, with real processes, as callers and operators use it: a driver in all its
// modes, refused requests, encryption and authentication, invalid settings, failures, and traces.
//
// It has tests only. Each test starts its own set of processes on loopback, with or without encryption:
//
//	s := startSet(t, options{Secure: true})
//	conn := s.connect(0, "sslmode=verify-full")
package front
