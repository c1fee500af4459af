package egret

import "testing"

// TestRevisionsOfRestoredStore guards against a revision that a restored store has given out again and that counts as older
// than those that were lost.
func TestRevisionsOfRestoredStore(t *testing.T) {
	lost, again := Revision{Era: 1, Number: 31}, Revision{Era: 2, Number: 27}
	if !lost.Before(again) || again.Before(lost) || again.Compare(again) != 0 {
		t.Errorf("the order of %s and %s is wrong", lost, again)
	}
	if lost.Token() >= again.Token() {
		t.Errorf("the tokens are %d and %d", lost.Token(), again.Token())
	}
	if s := again.String(); s != "2.27" {
		t.Errorf("the revision is %q", s)
	}
	if s := (Revision{Number: 5}).String(); s != "5" {
		t.Errorf("the revision of a store without eras is %q", s)
	}
}
