// Package link carries statements between the proxies of service groups, and what else they ask of
// each other, over gRPC.
//
// A Pool has one connection to each proxy and replaces those that have gone silent:
//
//	p := link.Pool{}
//	reply, err := p.Ping(ctx, address)
//	s := p.Stream(address)
//	answer := s.Do(ctx, work)
package link
