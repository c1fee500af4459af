package table

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestLargeTablesFitTheStore(t *testing.T) {
	const groups = 2800
	want := largeTables(groups)
	data, err := Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxStoredBytes {
		t.Errorf("%d bytes, want at most %d", len(data), maxStoredBytes)
	}
	got, err := Decode(0, data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.Routes, got.Routes); diff != "" {
		t.Errorf("routes differ (-want +got):\n%s", diff)
	}
	if len(got.Pools) != len(want.Pools) {
		t.Errorf("%d pools, want %d", len(got.Pools), len(want.Pools))
	}
}

func TestDecodeRefusesTruncatedCompressedTables(t *testing.T) {
	data, err := Encode(largeTables(700))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(1, data[:len(data)/2]); err == nil {
		t.Error("Decode of half a value = nil error, want one")
	}
}
