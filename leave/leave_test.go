package leave

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

func (p *fakePeers) Self() egret.Node         { return p.live[0] }
func (p *fakePeers) Live() []egret.Node       { return p.live }
func (p *fakePeers) TablesNow() *egret.Tables { return p.tables }

func TestScoutTellsAndWithdrawsWhileTheListFails(t *testing.T) {
	list := &fakeList{
		vms: []egret.VM{
			{Name: "member-1", Leaving: true},
		},
	}
	told := map[string]bool{}
	s := &Scout{
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
		Tell: func(_ context.Context, n egret.Node, member string, leaving bool) error {
			told[n.ID+" "+member] = leaving
			return nil
		},
		Board: &Board{},
	}
	ctx := context.Background()
	s.look(ctx)
	if !told["proxy-2 member-1"] {
		t.Errorf("told = %v, want proxy-2 told that member-1 leaves", told)
	}
	if _, found := told["proxy-2 member-2"]; found {
		t.Errorf("told = %v, want nothing of member-2", told)
	}
	clear(told)
	list.err = errors.New("down")
	s.look(ctx)
	if !told["proxy-2 member-1"] {
		t.Errorf("told = %v while the list is down, want the last word repeated", told)
	}
	list.err = nil
	list.vms[0].Leaving = false
	s.look(ctx)
	if leaving, found := told["proxy-2 member-1"]; !found || leaving {
		t.Errorf("told = %v, want the note withdrawn", told)
	}
}

func TestBoardNotesEndByThemselves(t *testing.T) {
	b := &Board{}
	now := time.Unix(0, 0)
	b.Note("member-1", true, now)
	if !b.Leaving("member-1", now.Add(noteLife)) {
		t.Error("Leaving = false within the note's life, want true")
	}
	if b.Leaving("member-1", now.Add(noteLife+1)) {
		t.Error("Leaving = true after the note's life, want false")
	}
}
