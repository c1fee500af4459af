// Package link implements the calls between the proxies of service groups over gRPC: statements, pings,
// promises to the holders of services, and changes of the store.
//
// A Pool has one connection to each proxy, and replaces a connection on which a call has timed out:
//
//	p := link.Pool{}
//	reply, err := p.Ping(ctx, address)
//	s := p.Stream(address, false)
//	answer := s.Do(ctx, request)
package link
