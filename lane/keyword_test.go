package lane

import "testing"

func TestSelectMayWriteOutsideOfABlock(t *testing.T) {
	tests := []struct {
		tag               string
		readOnly, inBlock bool
		want              bool
	}{
		{"SELECT 1", false, false, true},
		{"SELECT 1", false, true, false},
		{"SELECT 1", true, false, false},
		{"INSERT 0 1", false, false, true},
		{"COMMIT", false, true, true},
		{"COMMIT", true, true, false},
		{"ROLLBACK", false, true, false},
	}
	for _, tt := range tests {
		if got := writesTag(tt.tag, tt.readOnly, tt.inBlock); got != tt.want {
			t.Errorf("writesTag(%q, %v, %v) = %v, want %v", tt.tag, tt.readOnly, tt.inBlock, got, tt.want)
		}
	}
}
