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
