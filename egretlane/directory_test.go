package main

import (
	"fmt"
	"testing"

	"egretlane.example/egret"
	"egretlane.example/egret/platform"
)

// TestConfigurationNeverFallsBack shows configurations out of order, as a watch and another proxy may.
func TestConfigurationNeverFallsBack(t *testing.T) {
	d := newDirectory(nil, nil)
	versions := []uint64{}
	d.configured = func(tables *egret.Tables) { versions = append(versions, tables.Revision) }
	for _, version := range []int{3, 2, 7, 7, 5, 9} {
		d.operator(egret.Item{
			Key:      platform.ConfigKey,
			Data:     []byte(fmt.Sprintf(`{"version":%d}`, version)),
			Revision: 1,
		})
	}
	if got := fmt.Sprint(versions); got != "[3 7 9]" {
		t.Errorf("in force were %s", got)
	}
	d.operator(egret.Item{Key: platform.ConfigKey, Data: []byte("{"), Revision: 2})
	d.operator(egret.Item{Key: platform.ConfigKey, Removed: true, Revision: 3})
	d.operator(egret.Item{Key: platform.OperatorPrefix + "other", Data: []byte(`{"version":99}`), Revision: 4})
	if now := d.tables.Load(); now.Revision != 9 {
		t.Errorf("version %d is in force", now.Revision)
	}
}

// TestUnreadableEntryNamesNoMember spoils the entry of one member.
func TestUnreadableEntryNamesNoMember(t *testing.T) {
	d := newDirectory(nil, nil)
	d.changed = func(string, []egret.Backend) {}
	entry := `{"service":"s","address":"10.0.0.1:80","capacity":2,"state":"ready","db_role":"primary","zone":"z"}`
	d.resetMembers([]egret.Item{
		{Key: "servers/a", Data: []byte(entry), Revision: 1},
		{Key: "servers/b", Data: []byte(entry), Revision: 2},
	})
	d.changeMember(egret.Item{Key: "servers/a", Data: []byte("\x00"), Revision: 3})
	if members := d.of("s"); len(members) != 1 || members[0].ID != "b" {
		t.Errorf("members %v", members)
	}
	if home := d.home("s"); home != "z" {
		t.Errorf("home %q", home)
	}
}

// TestMembersOfManyServices checks that a member is found under the service that its newest entry names, and
// that asking for the primary's domain, which each process does for each service several times a second,
// doesn't depend on how many there are.
func TestMembersOfManyServices(t *testing.T) {
	d := newDirectory(nil, nil)
	d.changed = func(string, []egret.Backend) {}
	entry := `{"service":"s%d","address":"10.0.0.1:80","capacity":2,"state":"ready","db_role":"primary","zone":"z"}`
	items := []egret.Item{}
	for i := range 600 {
		items = append(items, egret.Item{
			Key:      fmt.Sprintf("servers/m%d", i),
			Data:     []byte(fmt.Sprintf(entry, i%200)),
			Revision: uint64(i + 1),
		})
	}
	d.resetMembers(items)
	if n := len(d.of("s7")); n != 3 {
		t.Errorf("%d members of s7", n)
	}
	if allocations := testing.AllocsPerRun(20, func() { d.home("s7") }); allocations != 0 {
		t.Errorf("%.0f allocations to find a primary's domain", allocations)
	}
	d.changeMember(egret.Item{Key: "servers/m7", Data: []byte(fmt.Sprintf(entry, 8)), Revision: 1000})
	if a, b := len(d.of("s7")), len(d.of("s8")); a != 2 || b != 4 {
		t.Errorf("%d members of s7 and %d of s8 after one went from one to the other", a, b)
	}
	d.changeMember(egret.Item{Key: "servers/m7", Removed: true, Revision: 1001})
	if n := len(d.of("s8")); n != 3 {
		t.Errorf("%d members of s8 after one was removed", n)
	}
}
