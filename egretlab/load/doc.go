// Package load puts load on a running set of processes in the way that callers do, and measures what they get.
//
// A Phase runs sessions with a deployment's mix of requests under one policy: through egretlane, or directly to the
// members as a baseline. Each session places orders, reads its own orders back, reads stock with a maximum age, and
// switches between proxies. What it reads is checked against what was written:
//
//	p := load.Phase{
//		Target:   target,
//		Policy:   load.PolicyEgretlane,
//		Duration: 20 * time.Second,
//		Sessions: 200,
//		Seed:     1,
//	}
//	result, err := p.Run(ctx)
//
// A Runner compares policies, measures the overhead of the proxies, and causes failures of primaries to measure for how
// long no order can be placed.
package load
