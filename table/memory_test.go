package table

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// errDown is the error of a memory that doesn't answer.
const errDown = errors.ConstError("the store is down")

// memory is a store with one key. Its hooks stand for faults.
type memory struct {
	egret.Store

	mu    sync.Mutex
	value egret.Value

	// down fails all calls.
	down bool

	// beforeSwap runs ahead of a compare-and-swap, without mu.
	beforeSwap func()

	// loseAnswers is how many compare-and-swaps take effect and then fail.
	loseAnswers int

	// loseCalls is how many compare-and-swaps fail without an effect.
	loseCalls int

	// gets counts the calls of Get.
	gets int

	// changed is closed at the next change, or when down is set.
	changed chan struct{}
}

func (m *memory) Get(context.Context, string) (egret.Value, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gets++
	if m.down {
		return egret.Value{}, errDown
	}
	return m.value, nil
}

func (m *memory) CompareAndSwap(_ context.Context, _ string, revision uint64, data []byte, _ egret.LeaseID) (uint64, error) {
	if m.beforeSwap != nil {
		m.beforeSwap()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, errDown
	}
	if m.loseCalls > 0 {
		m.loseCalls--
		return 0, errDown
	}
	if revision != m.value.Revision {
		return 0, errors.WithType(errors.New("aborted"), egret.ErrConflict)
	}
	m.put(data)
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, errDown
	}
	return m.value.Revision, nil
}

func (m *memory) Watch(ctx context.Context, _ string, after uint64) (egret.Value, error) {
	for {
		m.mu.Lock()
		v, down, changed := m.value, m.down, m.signal()
		m.mu.Unlock()
		if down {
			return egret.Value{}, errDown
		}
		if v.Revision > after {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return egret.Value{}, ctx.Err()
		}
	}
}

// put writes a value. The caller holds mu.
func (m *memory) put(data []byte) {
	m.value = egret.Value{
		Revision: m.value.Revision + 1,
		Data:     data,
	}
	close(m.signal())
	m.changed = nil
}

// signal returns the channel that is closed at the next change. The caller holds mu.
func (m *memory) signal() chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

func (m *memory) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	close(m.signal())
	m.changed = nil
}

func (m *memory) write(data []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put(data)
}

// sample returns tables that differ by their slots.
func sample(slots int) *egret.Tables {
	return &egret.Tables{
		Routes: []egret.Route{{
			Name:        "orders",
			Caller:      "workshop",
			Database:    "catalogo-db",
			Pool:        "catalogo",
			Class:       egret.ClassOrder,
			Budget:      time.Second,
			ConfirmWait: time.Second,
		}},
		Pools: []egret.Pool{{
			Name:        "catalogo",
			Slots:       slots,
			Connections: 16,
			Reserve:     4,
			Queue:       10,
			OrderShare:  80,
			Groups: []egret.Group{{
				Name: "catalogo-1",
				Members: []egret.Member{{
					Name:    "member-1",
					Address: netip.MustParseAddrPort("127.0.0.1:6501"),
					Region:  "lombardia",
					Domain:  "lecco-a",
				}},
			}},
		}},
	}
}

func encoded(t *testing.T, slots int) []byte {
	t.Helper()
	data, err := Encode(sample(slots))
	if err != nil {
		t.Fatal(err)
	}
	return data
}
