package main

import (
	"context"
	"testing"
)

// TestMemberSettings checks that all errors in the settings are reported together, before any file or port is opened.
func TestMemberSettings(t *testing.T) {
	want := `faults in the settings:
  --name: an empty name not valid
  --primary: a member without either of --primary and --upstream, or with both, not valid
  --lag: -1s, which is below zero, not valid
  --slots: 0, which is below 1, not valid
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
