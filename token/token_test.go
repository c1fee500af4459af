package token

import (
	"errors"
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
	text := s.Sign("workshop", "catalogo-db", &f)
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
