// Package proof shows, with real processes under failure, what egretlane promises.
//
// It has tests only. Each test starts a cluster of its own: the store, the list of VMs, the members
// of one group and the proxies, all on loopback. Every link between two processes goes through a
// fault injector in the test, so that one link can be cut, delayed or made silent by its name:
//
//	c := startCluster(t, clusterSettings{Lag: 5 * time.Second})
//	c.link("proxy-1", "member-1").cut()
//	defer c.link("proxy-1", "member-1").heal()
//
// Callers record what they were told. Checkers then compare the record with the members' logs and
// with a model of the session. A sub-test named baseline runs the same check against a caller that
// goes round the mechanism; it fails unless the checker finds the violation.
package proof
