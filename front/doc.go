// Package front serves callers' sessions: it keeps their values and prepared statements, answers what
// needs no member, and sends the rest to the holder of the service.
//
//	s := front.Server{
//		Tables: tables.Now,
//		Codec:  codec,
//		Open:   fleet.Entry,
//	}
//	err := s.Serve(ctx, listener)
package front
