// Package proof tests the guarantees of egretlane with real processes under failures.
//
// It contains only tests. Each test starts its own cluster: the store, the list of VMs, the members
// of one group and the proxies, all on loopback. The links between members, between proxies, and from
// proxies to members and to the store go through a fault injector in the test process. A test can
// drop the data of a single link, delay it or close its connections:
//
//	c := startCluster(t, clusterSettings{Lag: 5 * time.Second})
//	c.link("proxy-1", "member-1").dropAll()
//	defer c.link("proxy-1", "member-1").heal()
//
// Callers record each request and its outcome. Checkers compare these records with the members' logs
// and with a model of the session. A sub-test named baseline runs the same check on callers that
// bypass the mechanism under test, and fails unless the checker finds the violation.
package proof
