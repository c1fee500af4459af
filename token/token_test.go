package token

import (
	"errors"
	"fmt"
	"testing"

	"egretlane.example/egret"
)

func TestVerifyRejectsForeignAndChangedTokens(t *testing.T) {
	s := Signer{
		Keys: [][]byte{[]byte("0123456789abcdef")},
	}
	f := egret.Floor{}
	f.Raise("catalogo-1", egret.Position{
		Term:   3,
		Offset: 77,
	})
	text := s.Sign("workshop", "catalogo-db", f.Positions())
	other := Signer{
		Keys: [][]byte{[]byte("another-key-of-16b")},
	}
	rotated := Signer{
		Keys: [][]byte{[]byte("a-newer-key-of-16b"), []byte("0123456789abcdef")},
	}
	tests := []struct {
		name             string
		signer           Signer
		caller, database string
		text             string
		valid            bool
	}{
		{"own", s, "workshop", "catalogo-db", text, true},
		{"after rotation", rotated, "workshop", "catalogo-db", text, true},
		{"other caller", s, "lab", "catalogo-db", text, false},
		{"other database", s, "workshop", "orders-db", text, false},
		{"boundary moved", s, "workshopc", "atalogo-db", text, false},
		{"other key", other, "workshop", "catalogo-db", text, false},
		{"changed", s, "workshop", "catalogo-db", "A" + text[1:], false},
		{"short", s, "workshop", "catalogo-db", "QUJD", false},
		{"not base64", s, "workshop", "catalogo-db", "***", false},
	}
	for _, tt := range tests {
		got, err := tt.signer.Verify(tt.caller, tt.database, tt.text)
		if tt.valid && (err != nil || got.At("catalogo-1") != f.At("catalogo-1")) {
			t.Errorf("%s: Verify = %v, %v, want the floor", tt.name, got, err)
		}
		if !tt.valid && !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: Verify error = %v, want ErrInvalid", tt.name, err)
		}
	}
}

// TestTokenIsLimited guards against tokens that are too long for a start-up packet. The first positions have to be in them.
func TestTokenIsLimited(t *testing.T) {
	s := Signer{
		Keys: [][]byte{[]byte("0123456789abcdef")},
	}
	positions := []egret.GroupPosition{}
	for i := range 2000 {
		positions = append(positions, egret.GroupPosition{
			Group: fmt.Sprintf("catalogo-%d", i),
			Position: egret.Position{
				Term:   1 << 40,
				Offset: uint64(i) << 20,
			},
		})
	}
	for _, n := range []int{0, 1, 150, 200, 201, 202, 203, 204, 205, 2000} {
		text := s.Sign("workshop", "catalogo-db", positions[:n])
		f, err := s.Verify("workshop", "catalogo-db", text)
		if err != nil || len(text) > maxSignedBytes {
			t.Fatalf("%d groups: a token of %d bytes, %v", n, len(text), err)
		}
		if f.Len() < min(n, 200) {
			t.Errorf("%d groups: %d are in the token, want at least 200 of them", n, f.Len())
		}
		for _, p := range positions[:f.Len()] {
			if f.At(p.Group) != p.Position {
				t.Fatalf("%d groups: %s at %v, want %v", n, p.Group, f.At(p.Group), p.Position)
			}
		}
	}
}
