package main

import (
	"context"
	"testing"
)

// TestMemberSettings checks that all errors in the settings are reported together, before any file or port is opened.
func TestMemberSettings(t *testing.T) {
	want := `invalid settings:
  --name: must not be empty
  --primary: exactly one of --primary and --upstream must be set
  --lag: -1s is negative
  --slots: 0 is less than 1
  --connections: strconv.ParseInt: parsing "many": invalid syntax
  --address-map: address rule "x" without "=" not valid
  --listen: ParseAddr("localhost"): unable to parse IP`
	err := rootCommand().Run(context.Background(), []string{
		"egretlab", "member", "--slots", "0", "--connections", "many", "--lag", "-1s", "--address-map", "x",
		"--listen", "localhost:6501",
	})
	if err == nil || err.Error() != want {
		t.Errorf("got:\n%v\nwant:\n%s", err, want)
	}
}
