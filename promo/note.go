package promo

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// Limits of notes in the store.
const (
	noteTimeout = 10 * time.Second
	noteTries   = 5
	notePause   = 500 * time.Millisecond
)

// Note is what the store holds about a group. It is for operators: nothing reads it back.
type Note struct {
	// Term is the primary's term. It never falls.
	Term uint64 `json:"term"`

	// Primary names the member that leads in Term.
	Primary string `json:"primary"`

	// Node is the proxy that promoted it.
	Node string `json:"node"`
}

// note writes a promotion down in the background.
func (w *Watcher) note(f egret.GroupFact) {
	if w.Store == nil {
		return
	}
	n := Note{
		Term:    f.Term,
		Primary: f.Primary,
		Node:    w.Peers.Self().ID,
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		for range noteTries {
			if w.write(ctx, w.StorePrefix+f.Group, n) == nil || !pause(ctx, w.jitter(notePause)) {
				return
			}
		}
	}()
}

// write puts a note in place of an older one.
func (w *Watcher) write(ctx context.Context, key string, n Note) error {
	v, err := w.Store.Get(ctx, key)
	if err != nil {
		return errors.Annotatef(err, "key %s", key)
	}
	old := Note{}
	if len(v.Data) > 0 && json.Unmarshal(v.Data, &old) == nil && old.Term >= n.Term {
		return nil
	}
	data, err := json.Marshal(n)
	if err != nil {
		return err
	}
	_, err = w.Store.CompareAndSwap(ctx, key, v.Revision, data, 0)
	return errors.Annotatef(err, "key %s", key)
}
