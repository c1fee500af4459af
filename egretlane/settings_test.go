package main

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"
)

// settingsPage is the page that is made from the flags. With UPDATE_GOLDEN=1 the test writes it.
const settingsPage = "../docs/SETTINGS.md"

func TestSettingsPage(t *testing.T) {
	s := &Settings{}
	var b strings.Builder
	b.WriteString("# Settings\n\nMade from the flags of `egretlane`. Each flag has an environment variable; the flag goes first.\n")
	b.WriteString("All faults in the settings are reported together at the start.\n\n")
	b.WriteString("| flag | environment | default | meaning |\n|---|---|---|---|\n")
	for _, f := range s.flags() {
		d := f.(cli.DocGenerationFlag)
		name := f.Names()[0]
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", name, strings.Join(d.GetEnvVars(), ", "), code(d.GetValue()), d.GetUsage())
	}
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.WriteFile(settingsPage, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), b.String()); diff != "" {
		t.Errorf("%s differs from the flags (-page +flags):\n%s", settingsPage, diff)
	}
}

func TestConfigReportsAllFaultsTogether(t *testing.T) {
	s := &Settings{
		callerListen:   "nowhere",
		trace:          "paper",
		logLevel:       "loud",
		statementLimit: 1,
		seedPeers:      []string{"1.2.3.4"},
		addressMap:     []string{"a=b=c", "127.0.0.1:1"},
		tokenKeyFile:   "/does/not/exist",
		peerTLSCert:    "/does/not/exist",
	}
	_, err := s.config()
	if err == nil {
		t.Fatal("config() = nil error, want the faults")
	}
	for _, want := range []string{
		"--node-id is missing", "--caller-listen:", "--peer-listen is missing", "--trace:", "--log-level:",
		"--statement-limit:", "--seed-peer:", "--address-map:", "--token-key-file:", "--peer-tls-cert and --peer-tls-key",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("config() error lacks %q:\n%v", want, err)
		}
	}
}

func code(value string) string {
	if value == "" {
		return ""
	}
	return "`" + value + "`"
}
