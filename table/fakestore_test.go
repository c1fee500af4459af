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

// errUnavailable is the error of a call that the fake store fails.
const errUnavailable = errors.ConstError("the store is down")

// fakeStore is an in-memory store with a single key. Its fields inject faults.
type fakeStore struct {
	egret.Store

	mu    sync.Mutex
	value egret.Value

	// unavailable makes all calls fail.
	unavailable bool

	// beforeSwap runs before each compare-and-swap, without mu held.
	beforeSwap func()

	// dropReplies is the number of compare-and-swaps that take effect and then fail.
	dropReplies int

	// dropRequests is the number of compare-and-swaps that fail without taking effect.
	dropRequests int

	// gets counts the calls of Get.
	gets int

	// changed is closed at the next change of value or unavailable.
	changed chan struct{}
}

func (s *fakeStore) Get(context.Context, string) (egret.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	if s.unavailable {
		return egret.Value{}, errUnavailable
	}
	return s.value, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, _ string, revision uint64, data []byte, _ egret.LeaseID) (uint64, error) {
	if s.beforeSwap != nil {
		s.beforeSwap()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, errUnavailable
	}
	if s.dropRequests > 0 {
		s.dropRequests--
		return 0, errUnavailable
	}
	if revision != s.value.Revision {
		return 0, errors.WithType(errors.New("aborted"), egret.ErrConflict)
	}
	s.setValueLocked(data)
	if s.dropReplies > 0 {
		s.dropReplies--
		return 0, errUnavailable
	}
	return s.value.Revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after uint64) (egret.Value, error) {
	for {
		s.mu.Lock()
		v, unavailable, changed := s.value, s.unavailable, s.changedChannel()
		s.mu.Unlock()
		if unavailable {
			return egret.Value{}, errUnavailable
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

// setValueLocked replaces the value and increments its revision. The caller holds mu.
func (s *fakeStore) setValueLocked(data []byte) {
	s.value = egret.Value{
		Revision: s.value.Revision + 1,
		Data:     data,
	}
	close(s.changedChannel())
	s.changed = nil
}

// changedChannel returns the channel that is closed at the next change. The caller holds mu.
func (s *fakeStore) changedChannel() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	close(s.changedChannel())
	s.changed = nil
}

func (s *fakeStore) write(data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setValueLocked(data)
}

// sampleTables returns valid tables whose only pool has the given number of slots.
func sampleTables(slots int) *egret.Tables {
	return &egret.Tables{
		Routes: []egret.Route{{
			Name:           "orders",
			Caller:         "workshop",
			Database:       "catalogo-db",
			Pool:           "catalogo",
			Class:          egret.ClassOrder,
			Budget:         time.Second,
			ConfirmTimeout: time.Second,
		}},
		Pools: []egret.Pool{{
			Name:                "catalogo",
			Slots:               slots,
			Connections:         16,
			ReservedConnections: 4,
			QueueLimit:          10,
			OrderSharePercent:   80,
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

func encodedTables(t *testing.T, slots int) []byte {
	t.Helper()
	data, err := Encode(sampleTables(slots))
	if err != nil {
		t.Fatal(err)
	}
	return data
}
