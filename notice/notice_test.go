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

// TestPollerRepeatsNoticesWhileTheListFails checks that only leaving members are notified, that their notices
// are repeated while the list can't be read, and that they are withdrawn once the list says so.
func TestPollerRepeatsNoticesWhileTheListFails(t *testing.T) {
	list := &fakeList{
		vms: []egret.VM{
			{Name: "member-1", Leaving: true},
		},
	}
	notified := map[string]bool{}
	p := &Poller{
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
			notified[n.ID+" "+member] = leaving
			return nil
		},
		Notices: &Set{},
	}
	ctx := context.Background()
	p.poll(ctx)
	if !notified["proxy-2 member-1"] {
		t.Errorf("notified = %v, want proxy-2 notified that member-1 is leaving", notified)
	}
	if _, found := notified["proxy-2 member-2"]; found {
		t.Errorf("notified = %v, want no notice of member-2", notified)
	}
	clear(notified)
	list.err = errors.New("down")
	p.poll(ctx)
	if !notified["proxy-2 member-1"] {
		t.Errorf("notified = %v while the list can't be read, want the last notice repeated", notified)
	}
	list.err = nil
	list.vms[0].Leaving = false
	p.poll(ctx)
	if leaving, found := notified["proxy-2 member-1"]; !found || leaving {
		t.Errorf("notified = %v, want the notice withdrawn", notified)
	}
}

func TestNoticesExpire(t *testing.T) {
	s := &Set{}
	now := time.Unix(0, 0)
	s.Update("member-1", true, now)
	if !s.Leaving("member-1", now.Add(noticeTTL)) {
		t.Error("Leaving = false before the notice expires, want true")
	}
	if s.Leaving("member-1", now.Add(noticeTTL+1)) {
		t.Error("Leaving = true after the notice has expired, want false")
	}
}
