package sites

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretlane.example/egret/table/codec"
)

var update = flag.Bool("update", false, "write the golden files")

func TestPlans(t *testing.T) {
	for _, name := range []string{"bregonzi", "tapis"} {
		d, err := Find(name)
		if err != nil {
			t.Fatal(err)
		}
		s := Set{
			Deployment: d,
			Folder:     "folder",
		}
		tables, err := codec.YAML(s.Tables())
		if err != nil {
			t.Fatal(err)
		}
		if _, findings := codec.Parse("tables.yaml", tables); len(findings) > 0 {
			t.Errorf("%s: %v", name, findings)
		}
		network := strings.Builder{}
		for _, l := range s.Links().Links {
			fmt.Fprintf(&network, "%s > %s: %s, %s, %s to %s\n", l.From.Name, l.To.Name, l.Cause, l.Latency, l.Listen, l.Dial)
		}
		processes := strings.Builder{}
		for _, p := range append(s.PlatformProcesses(), s.ProxyProcesses()...) {
			processes.WriteString(p.String() + "\n")
		}
		golden(t, name+".tables.golden", string(tables))
		golden(t, name+".links.golden", network.String())
		golden(t, name+".processes.golden", processes.String())
	}
}

func TestEachGroupHasAMemberInEachDomainAndPrimariesAreSpread(t *testing.T) {
	d, err := Find("bregonzi")
	if err != nil {
		t.Fatal(err)
	}
	s := Set{
		Deployment: d,
	}
	domains := map[string]map[string]bool{}
	first := map[string]bool{}
	for _, m := range s.Members() {
		if domains[m.Group] == nil {
			domains[m.Group] = map[string]bool{}
		}
		domains[m.Group][m.Domain.Name] = true
		if m.StartsAsPrimary {
			first[m.Domain.Name] = true
		}
	}
	for g, d := range domains {
		if len(d) != 3 {
			t.Errorf("%s is in %d domains, want 3", g, len(d))
		}
	}
	if len(first) != 3 {
		t.Errorf("primaries are in %d domains, want 3", len(first))
	}
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}
