package route

import (
	"testing"
	"time"

	"egretlane.example/egret"
)

func TestClassify(t *testing.T) {
	tests := []struct {
		query    string
		readOnly bool
		kind     string
	}{
		{"SELECT item FROM orders", true, "read"},
		{"  /* note */ -- x\n select 1", true, "read"},
		{"SELECT 1 /*kind='stock',max-age='2s'*/", true, "stock"},
		{"SELECT 1; DELETE FROM orders", false, "write"},
		{"SELECT ';' ; ", true, "read"},
		{`SELECT E'\''; DELETE FROM orders; --'`, false, "write"},
		{"SELECT $a$;$a$, $1", true, "read"},
		{"/* outer /* kind='x' */ */ INSERT INTO orders VALUES (1)", false, "write"},
		{"BEGIN", false, "write"},
		{"begin transaction isolation level repeatable read read only", true, "read"},
		{"START TRANSACTION READ ONLY", true, "read"},
		{"VACUUM", false, "write"},
		{"", true, "read"},
	}
	for _, tt := range tests {
		r := Classify([]ScannedQuery{Scan(tt.query)}, false)
		if r.ReadOnly() != tt.readOnly || r.Kind != tt.kind {
			t.Errorf("Classify(%q) = read-only %v, kind %q, want %v, %q", tt.query, r.ReadOnly(), r.Kind, tt.readOnly, tt.kind)
		}
	}
}

func TestActions(t *testing.T) {
	tests := []struct {
		query string
		want  Action
	}{
		{"SET search_path = x", ActionSessionState},
		{"SELECT 1; SET x = 2", ActionSessionState},
		{"CREATE TEMPORARY TABLE t (a int)", ActionSessionState},
		{"LISTEN c", ActionSessionState},
		{"SET LOCAL x = 1", ActionWrite},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", ActionSetReadOnly},
		{"SHOW egretlane.token", ActionShow},
		{"DISCARD ALL", ActionReset},
	}
	for _, tt := range tests {
		r := Classify([]ScannedQuery{Scan(tt.query)}, false)
		if !r.Has(tt.want) {
			t.Errorf("Classify(%q).Actions = %v, want %v among them", tt.query, r.Actions, tt.want)
		}
	}
}

func TestRankPrefersRegionAndExcludesLaggingReplicas(t *testing.T) {
	member := func(name, region string) *egret.Member {
		return &egret.Member{
			Name:   name,
			Region: region,
		}
	}
	load := func(offset uint64, lag time.Duration) egret.Load {
		return egret.Load{
			State: egret.MemberState{
				Applied: egret.Position{
					Term:   1,
					Offset: offset,
				},
				SampledAt: time.Unix(1, 0),
			},
			Lag: lag,
		}
	}
	candidates := []Candidate{
		{Member: member("primary", "a"), Load: load(9, 0)},
		{Member: member("near-behind", "a"), Load: load(1, 20*time.Millisecond)},
		{Member: member("near-far-behind", "a"), Load: load(1, 5*time.Second)},
		{Member: member("far", "b"), Load: load(9, 0)},
	}
	r := ReadConstraints{
		Region: "a",
		Floor: egret.Position{
			Term:   1,
			Offset: 5,
		},
		MaxCatchUp: 50 * time.Millisecond,
	}
	got := Rank(candidates, "primary", r)
	if len(got) != 1 || got[0].Member.Name != "near-behind" {
		t.Errorf("Rank = %v, want near-behind alone", got)
	}
	r.MaxCatchUp = 10 * time.Millisecond
	got = Rank(candidates, "primary", r)
	if len(got) != 1 || got[0].Member.Name != "far" {
		t.Errorf("Rank with a MaxCatchUp of 10 ms = %v, want far alone", got)
	}
}
