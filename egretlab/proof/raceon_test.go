//go:build race

package proof

// raceEnabled says whether the tests were built with the race detector.
const raceEnabled = true
