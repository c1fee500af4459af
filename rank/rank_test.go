package rank

import (
	"slices"
	"testing"
)

// TestScoreOrderAboveMaximum checks that a process with more services than maxLoad, the largest load that a score
// distinguishes, still ranks last.
func TestScoreOrderAboveMaximum(t *testing.T) {
	o := &Order{
		Service: "s",
		Counts:  map[string]int{"a": 1 << 20, "b": 40, "c": 3},
	}
	scores := []uint64{}
	for _, node := range []string{"d", "c", "b", "a"} {
		scores = append(scores, o.Score(Candidate{Node: node}, 0))
	}
	if !slices.IsSorted(scores) {
		t.Errorf("scores %x of 0, 3, 40 and %d services", scores, 1<<20)
	}
}
