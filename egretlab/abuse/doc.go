// Package abuse tests that callers that misbehave neither exhaust the memory or the descriptors of a proxy nor shut out
// ordinary callers.
//
// It has tests only. Each test starts real processes on loopback addresses, lets a crowd of callers misbehave in one way, and
// checks that the proxy still runs, that its resident memory and its descriptors stayed below fixed bounds, and that it then
// answers an ordinary request:
//
//	p := startFleet(t, memoryMB)
//	p.crowd(200, func(i int) { p.open().send(message, 4<<10, 0) })
//	p.check()
package abuse
