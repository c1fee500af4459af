// Package front serves the sessions of callers. It keeps session values and prepared statements, answers
// statements that need no member itself, and sends all others to the proxy that holds the service:
//
//	s := front.Server{
//		Tables:    tables.Current,
//		Codec:     codec,
//		NewStream: fleet.CallerStream,
//	}
//	err := s.Serve(ctx, listener)
package front
