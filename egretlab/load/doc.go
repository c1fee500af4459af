// Package load drives a running set of processes as callers do, and measures what they get.
//
// A Phase runs the sessions of a deployment's mix under one policy: through egretlane, or straight to
// the members as a baseline. Each session places orders, reads its own orders back, reads stock of a
// stated age, and moves between proxies. What it reads is checked against what it wrote:
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
// A Failover breaks primaries under such a load and measures how long no order can be placed.
package load
