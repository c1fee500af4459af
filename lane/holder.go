package lane

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"egretlane.example/egret"
	"egretlane.example/egret/member"
	"egretlane.example/egret/place"
)

const (
	// adjustInterval is how often the lanes are matched with the live proxies and the tables.
	adjustInterval = 100 * time.Millisecond

	// settleWait is how long the live proxies and the tables must stay the same before lanes are
	// opened that nobody has asked for. A proxy that starts knows few others, and would open the
	// lanes of all.
	settleWait = 300 * time.Millisecond

	// closeWait bounds the end of the lanes when Run ends.
	closeWait = 2 * time.Second
)

// Holder holds the lanes of the members that this proxy is to serve.
//
// It is ready once its fields are set and Run has begun. It implements egret.Lanes for its own
// lanes only, and egret.Positions for all groups.
type Holder struct {
	// Peers says which proxies live and what the tables are. If it has a method Nodes() that lists
	// all known proxies, then leaving ones are told from dead ones by it.
	Peers egret.Peers

	// Control asks members for their state. If it has a method Require, as member.Control, then
	// waits for floors take no slots.
	Control egret.Control

	// Dialer opens connections for statements and slot locks.
	Dialer *member.Dialer

	// Leaving reports whether the platform said that a member leaves, or is nil. The tables and the
	// member's own word count without it.
	Leaving func(member string) bool

	// Metrics counts what the lanes do.
	Metrics *Metrics

	// Log takes lines for changes of state, or is nil.
	Log *log.Logger

	// mu guards the fields below.
	mu sync.Mutex

	// ctx ends the lanes. It is nil before Run and after its end.
	ctx context.Context

	// lanes has one lane for each member held.
	lanes map[string]*lane

	// owned is what the lanes were last matched with.
	owned ownership

	// positions looks up where groups' logs end.
	positions positions

	// absent tells which proxies have been gone for long.
	absent absence

	// workers are the goroutines of the lanes.
	workers sync.WaitGroup
}

var (
	_ egret.Lanes     = (*Holder)(nil)
	_ egret.Positions = (*Holder)(nil)
)

// ownership is what decides which lanes a proxy holds.
type ownership struct {
	tables *egret.Tables
	live   []egret.Node

	// since is when it was taken over.
	since time.Time

	// opened says that the lanes that this proxy owns by it have been opened.
	opened bool
}

// Run holds lanes until the context ends. Then it closes all connections.
func (h *Holder) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	h.ctx = ctx
	h.lanes = map[string]*lane{}
	h.mu.Unlock()
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	h.adjust()
	for {
		select {
		case <-ticker.C:
			h.adjust()
		case <-ctx.Done():
			cancel()
			h.close()
			return nil
		}
	}
}

// Begin implements egret.Lanes. It waits for nothing; the first Exchange waits in the queue.
func (h *Holder) Begin(_ context.Context, o egret.Opening) (egret.Transaction, error) {
	l := h.lane(o.Member)
	if l == nil {
		return nil, notRun(egret.ReasonNoLane, "proxy %s does not hold the lane of member %s", h.Peers.Self().ID, o.Member)
	}
	return l.begin(o)
}

// Load implements egret.Lanes.
func (h *Holder) Load(_ context.Context, name string) (egret.Load, error) {
	l := h.lane(name)
	if l == nil {
		return egret.Load{}, errors.NotFoundf("lane of member %s", name)
	}
	return l.load(), nil
}

// Status returns the lanes for operators, ordered by member.
func (h *Holder) Status() []Status {
	h.mu.Lock()
	lanes := h.sorted()
	h.mu.Unlock()
	all := make([]Status, 0, len(lanes))
	for _, l := range lanes {
		all = append(all, l.status())
	}
	return all
}

// Drain waits until no lane is left. The proxy must have told its peers that it leaves, so that it
// owns none.
func (h *Holder) Drain(ctx context.Context) error {
	ticker := time.NewTicker(adjustInterval)
	defer ticker.Stop()
	for {
		h.mu.Lock()
		left := len(h.lanes)
		h.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d lanes left", left)
		}
	}
}

// lane returns the lane of the member, or nil if this proxy doesn't hold it. A lane that this proxy
// has come to own is made at once.
func (h *Holder) lane(name string) *lane {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx == nil || h.ctx.Err() != nil {
		return nil
	}
	if l, found := h.lanes[name]; found {
		return l
	}
	s, found := settingsOf(h.Peers.TablesNow(), name)
	if !found || !h.owns(h.Peers.Live(), s.member) {
		return nil
	}
	return h.open(s)
}

// adjust matches the lanes with the live proxies and the tables.
func (h *Holder) adjust() {
	tables := h.Peers.TablesNow()
	live := h.Peers.Live()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.absent.any() {
		h.absent.update(h.present())
	}
	now := time.Now()
	if tables != nil && !h.owned.same(tables, live) {
		h.owned = ownership{
			tables: tables,
			live:   live,
			since:  now,
		}
		h.match()
	}
	if h.owned.tables != nil && !h.owned.opened && now.Sub(h.owned.since) >= settleWait {
		h.owned.opened = true
		h.match()
	}
	for name, l := range h.lanes {
		if l.finished() {
			l.stop()
			delete(h.lanes, name)
			h.note(name, "lane handed over")
		}
	}
}

// same reports whether the lanes need no new match. The nodes' addresses don't matter.
func (o *ownership) same(tables *egret.Tables, live []egret.Node) bool {
	return o.tables == tables && slices.EqualFunc(o.live, live, func(a, b egret.Node) bool {
		return a.ID == b.ID && a.State == b.State
	})
}

// match keeps the lanes that this proxy owns and hands over the rest. Once all is settled it opens
// those that are missing. The caller has mu.
func (h *Holder) match() {
	tables := h.owned.tables
	kept := map[string]bool{}
	for _, s := range allSettings(tables) {
		if !h.owns(h.owned.live, s.member) {
			continue
		}
		kept[s.member.Name] = true
		if l, found := h.lanes[s.member.Name]; found {
			l.keep(s)
			continue
		}
		if h.owned.opened {
			h.open(s)
		}
	}
	for name, l := range h.lanes {
		if kept[name] {
			continue
		}
		if s, found := settingsOf(tables, name); found {
			l.configure(s)
		}
		l.handOver()
	}
}

func (h *Holder) owns(live []egret.Node, m egret.Member) bool {
	owner, found := place.Lane(live, m)
	return found && owner.ID == h.Peers.Self().ID
}

// open makes a lane. The caller has mu.
func (h *Holder) open(s settings) *lane {
	l := newLane(h, s)
	h.lanes[s.member.Name] = l
	l.start(&h.workers)
	h.note(s.member.Name, "lane opened")
	return l
}

// close ends all lanes and waits for them, within bounds.
func (h *Holder) close() {
	h.mu.Lock()
	for _, l := range h.lanes {
		l.stop()
	}
	h.lanes = map[string]*lane{}
	h.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		h.workers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeWait):
	}
}

// sorted returns the lanes by member. The caller has mu.
func (h *Holder) sorted() []*lane {
	lanes := []*lane{}
	for _, l := range h.lanes {
		lanes = append(lanes, l)
	}
	slices.SortFunc(lanes, func(a, b *lane) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return lanes
}

func (h *Holder) note(name string, change string) {
	if h.Log != nil {
		h.Log.Info().Str("member", name).Msg(change)
	}
}
