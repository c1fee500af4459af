package notice

import (
	"context"
	"errors"
	"testing"
	"time"

	"egretlane.example/egret"
)

type fakeList struct {
	vms []egret.VM
	err error
}

func (l *fakeList) List(context.Context) ([]egret.VM, error) {
	return l.vms, l.err
}

type fakePeers struct {
	egret.Peers
	live   []egret.Node
	tables *egret.Tables
}

func (p *fakePeers) Self() egret.Node             { return p.live[0] }
func (p *fakePeers) Live() []egret.Node           { return p.live }
func (p *fakePeers) TablesInForce() *egret.Tables { return p.tables }

// TestScoutRepeatsNoticesWhileTheListFails checks that only leaving members are notified, that their notices
// are repeated while the list can't be read, and that they are withdrawn once the list says so.
func TestScoutRepeatsNoticesWhileTheListFails(t *testing.T) {
	list := &fakeList{
		vms: []egret.VM{
			{Name: "member-1", Leaving: true},
		},
	}
	told := map[string]bool{}
	s := &Poller{
		List: list,
		Peers: &fakePeers{
			live: []egret.Node{
				{ID: "proxy-1", Domain: "a"},
				{ID: "proxy-2", Domain: "b"},
			},
			tables: &egret.Tables{
				Pools: []egret.Pool{{
					Groups: []egret.Group{{
						Name:    "g",
						Members: []egret.Member{{Name: "member-1", Domain: "b"}, {Name: "member-2", Domain: "a"}},
					}},
				}},
			},
		},
		Notify: func(_ context.Context, n egret.Node, member string, leaving bool) error {
			told[n.ID+" "+member] = leaving
			return nil
		},
		Notices: &Set{},
	}
	ctx := context.Background()
	s.poll(ctx)
	if !told["proxy-2 member-1"] {
		t.Errorf("told = %v, want proxy-2 notified that member-1 is leaving", told)
	}
	if _, found := told["proxy-2 member-2"]; found {
		t.Errorf("told = %v, want no notice of member-2", told)
	}
	clear(told)
	list.err = errors.New("down")
	s.poll(ctx)
	if !told["proxy-2 member-1"] {
		t.Errorf("told = %v while the list can't be read, want the last notice repeated", told)
	}
	list.err = nil
	list.vms[0].Leaving = false
	s.poll(ctx)
	if leaving, found := told["proxy-2 member-1"]; !found || leaving {
		t.Errorf("told = %v, want the notice withdrawn", told)
	}
}

func TestNoticesExpire(t *testing.T) {
	b := &Set{}
	now := time.Unix(0, 0)
	b.Update("member-1", true, now)
	if !b.Leaving("member-1", now.Add(noticeTTL)) {
		t.Error("Leaving = false before the notice expires, want true")
	}
	if b.Leaving("member-1", now.Add(noticeTTL+1)) {
		t.Error("Leaving = true after the notice has expired, want false")
	}
}
