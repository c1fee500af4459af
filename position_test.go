package egret

import "testing"

func TestFloorRaiseKeepsHighest(t *testing.T) {
	var f Floor
	f.Raise("b", Position{
		Term:   2,
		Offset: 5,
	})
	f.Raise("a", Position{
		Term:   1,
		Offset: 9,
	})
	f.Raise("b", Position{
		Term:   1,
		Offset: 50,
	})
	if got := f.At("b").String(); got != "2/5" {
		t.Errorf("At(b) = %s, want 2/5", got)
	}
	if got := len(f.Positions()); got != 2 {
		t.Errorf("len(Positions()) = %d, want 2", got)
	}
}
