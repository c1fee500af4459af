//go:build race

package proof

// raceEnabled says that the test was built with the race detector.
const raceEnabled = true
